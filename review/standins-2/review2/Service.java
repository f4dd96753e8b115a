package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A small service like deploy/example.hcl, with the classes of ktm-records: the project's node list and one gateway as
 * processes, and one stand-in node.
 */
public abstract class Service extends Case {
    protected int nbdPort;
    protected int rsyncPort;
    protected Node node;
    protected Process gateway;
    private Path settings;

    protected final void startService(String more) throws Exception {
        int listPort = freePort();
        nbdPort = freePort();
        rsyncPort = freePort();
        settings = temporary.resolve("service.hcl");
        Files.writeString(settings, """
                service {
                  heads = 1
                  list  = "127.0.0.1:%1$d"
                }
                list {
                  listen = "127.0.0.1:%1$d"
                }
                head "0" {
                  listen = "127.0.0.1:%2$d"
                  rsync  = "127.0.0.1:%3$d"
                  state  = "%4$s"
                }
                class "record-read" {
                  aim      = "400ms"
                  deadline = "2500ms"
                  effect   = "repeatable"
                }
                class "record-write" {
                  aim      = "400ms"
                  deadline = "3s"
                  effect   = "once"
                  writes   = true
                }
                plan "priority" {
                  rate   = 1000
                  weight = 1
                }
                volume "births" {
                  id          = 1
                  size        = "64MiB"
                  plan        = "priority"
                  read_class  = "record-read"
                  write_class = "record-write"
                  flush_class = "record-read"
                  shards      = [0]
                  extent      = "1MiB"
                }
                %5$s
                """.formatted(listPort, nbdPort, rsyncPort, temporary.resolve("head-0"), more));
        Process list = garnetreel("list", "garnetreel.jar", "nodelist", settings.toString());
        awaitListening(listPort, list);
        node = closing(new Node(record, "node", 0, listPort));
        startGateway();
        Thread.sleep(1500); // the node is listed and known
    }

    protected static final String RSYNC_MODULE = """
            module_of_files "registers" {
              volume = "births"
              head   = 0
            }
            """;

    protected final void startGateway() throws Exception {
        gateway = garnetreel("gateway", "garnetreel-serve.jar", "serve", settings.toString(), "--head", "0");
        awaitListening(nbdPort, gateway);
    }
}
