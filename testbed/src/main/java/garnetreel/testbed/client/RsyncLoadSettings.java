package garnetreel.testbed.client;

/**
 * Settings of a scripted rsync client that pushes directories into a module and pulls them back to compare. Times are
 * in microseconds.
 *
 * @param name its name in traces
 * @param module the rsync module, which no other client uses
 * @param gateway number of the gateway that serves the module
 * @param address rsync address of that gateway
 * @param files number of files
 * @param minBytes minimum size of a file
 * @param maxBytes exclusive upper bound of file sizes
 * @param changesPerPush pages overwritten in random files before each push; the rest matches the server's copy
 * @param meanPause mean time between runs
 * @param start start of the load, after its first call of {@code handle}
 * @param stop end of the load, after its first call of {@code handle}; afterwards only pulls start, until one succeeds
 */
public record RsyncLoadSettings(
        String name,
        String module,
        int gateway,
        String address,
        int files,
        int minBytes,
        int maxBytes,
        int changesPerPush,
        long meanPause,
        long start,
        long stop) {}
