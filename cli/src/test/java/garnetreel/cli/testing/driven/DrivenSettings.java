package garnetreel.cli.testing.driven;

/** Settings of a {@link DrivenGateway}: one volume for NBD clients and one module of files. */
final class DrivenSettings {
    static final String EXPORT = "disk";
    static final String MODULE = "registers";

    /** Time limit of each request class. */
    static final long TIME_LIMIT_MICROS = 2_000_000;

    /** Size of each volume. */
    static final int VOLUME_BYTES = 1 << 20;

    private DrivenSettings() {}

    /** Settings in which both volumes lie on these shards. */
    static String on(int... shards) {
        StringBuilder list = new StringBuilder();
        for (int shard : shards) {
            list.append(list.isEmpty() ? "" : ", ").append(shard);
        }
        return """
                service {
                  heads = 1
                }
                bounds {
                  head_bytes = "1MiB"
                  payload    = "256KiB"
                }
                class "read" {
                  aim = "1s"
                  deadline = "2s"
                  effect = "repeatable"
                }
                class "write" {
                  aim = "1s"
                  deadline = "2s"
                  effect = "repeatable"
                  writes = true
                }
                plan "open" {
                  rate = 100000
                  weight = 1
                }
                volume "disk" {
                  id = 1
                  size = "1MiB"
                  plan = "open"
                  read_class = "read"
                  write_class = "write"
                  flush_class = "read"
                  shards = [%1$s]
                  extent = "64KiB"
                }
                volume "files" {
                  id = 2
                  size = "1MiB"
                  plan = "open"
                  read_class = "read"
                  write_class = "write"
                  flush_class = "read"
                  shards = [%1$s]
                }
                module_of_files "registers" {
                  volume = "files"
                }
                """
                .formatted(list);
    }
}
