package garnetreel.cli.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import garnetreel.cli.Main;
import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.core.Gateway;
import garnetreel.map.MapState;
import garnetreel.mapservice.MapService;
import garnetreel.net.EventLoop;
import garnetreel.testbed.list.FakeNodeList;
import garnetreel.testbed.node.FakeNode;
import garnetreel.testbed.node.MemoryDisk;
import garnetreel.testbed.node.NodeSettings;
import garnetreel.testbed.trace.Trace;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The map commands for operators, against a complete service on loopback sockets. */
class MapCommandTest {
    private static final int EXTENT_BYTES = 64 << 10;
    private static final String SETTINGS =
            """
            service {
              heads = 1
            }
            class "read" {
              aim      = "5s"
              deadline = "20s"
              effect   = "repeatable"
            }
            class "write" {
              aim      = "5s"
              deadline = "20s"
              effect   = "once"
              writes   = true
            }
            plan "open" {
              rate   = 100000
              weight = 1
            }
            volume "births" {
              id          = 1
              size        = "1MiB"
              plan        = "open"
              read_class  = "read"
              write_class = "write"
              flush_class = "read"
              shards      = [0, 1]
              extent      = "64KiB"
            }
            map {
              copy_rate = "1GiB"
            }
            """;

    @TempDir
    Path temp;

    private final ServiceProcess process = new ServiceProcess();
    private final List<MemoryDisk> disks = new ArrayList<>();
    private String mapService;
    private String gateway;
    private Path file;

    @BeforeEach
    void start() throws Exception {
        Settings settings = Settings.of(HclFile.parse("maps.hcl", SETTINGS));
        List<Entry> entries = new ArrayList<>();
        for (int shard = 0; shard < 3; shard++) {
            disks.add(new MemoryDisk());
            EventLoop node = process.run(
                    "n" + shard,
                    new FakeNode(
                            NodeSettings.instantaneous("n" + shard, "127.0.0.1:0", "", shard),
                            disks.get(shard),
                            Trace.NONE,
                            shard,
                            1));
            entries.add(new Entry(ServiceProcess.bound(node, "node"), "zone-a", shard, State.UP, 1, 0));
        }
        String list = ServiceProcess.bound(
                process.run("list", new FakeNodeList("list", "127.0.0.1:0", entries, 0, Trace.NONE)), "list");
        mapService = ServiceProcess.bound(
                process.run(
                        "mapd",
                        new MapService(
                                settings.mapService("127.0.0.1:0", list, 1), new MapState(settings.initialMaps()))),
                MapService.LISTENER);
        gateway = ServiceProcess.bound(
                process.startGateway(settings.gateway(0, 1, "127.0.0.1:0", list, mapService), temp.resolve("head")),
                Gateway.NBD);
        file = Files.writeString(temp.resolve("maps.hcl"), SETTINGS);
        try (NbdSocket client = NbdSocket.connect(gateway, "births")) {
            for (int extent = 0; extent < 16; extent++) {
                byte[] data = new byte[EXTENT_BYTES];
                Arrays.fill(data, (byte) (extent + 1));
                assertEquals(
                        0,
                        client.callWithRetries(Nbd.CMD_WRITE, 0, (long) extent * EXTENT_BYTES, EXTENT_BYTES, data)
                                .error);
            }
        }
    }

    @AfterEach
    void stop() {
        process.close();
    }

    private record CommandResult(int code, String out, String err) {
        JsonNode json() throws Exception {
            String[] lines = out.strip().split("\n");
            return new ObjectMapper().readTree(lines[lines.length - 1]);
        }
    }

    private CommandResult runMapCommand(String command, Object... operands) {
        List<String> arguments = new ArrayList<>(List.of("map", command, "--json", "--service", mapService));
        Arrays.stream(operands).map(Object::toString).forEach(arguments::add);
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
        try {
            int code = Main.run(List.of(), arguments.toArray(String[]::new));
            return new CommandResult(
                    code, capturedOut.toString(StandardCharsets.UTF_8), capturedErr.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void movesDrainsAndShowsDifferences() throws Exception {
        assertEquals(
                16,
                runMapCommand("verify", file, "--head", gateway)
                        .json()
                        .path("extents_equal")
                        .asInt());
        CommandResult moved = runMapCommand("move", "--wait", 1, 4, 2);
        assertEquals(0, moved.code(), moved.err());
        assertEquals(
                2,
                runMapCommand("show", 1, 4)
                        .json()
                        .path("rows")
                        .get(0)
                        .path("shard")
                        .asInt());
        CommandResult diff = runMapCommand("diff", "--since", 1);
        assertEquals(1, diff.code());
        assertEquals(4, diff.json().get(0).path("extent").asInt());
        assertEquals(0, runMapCommand("drain-node", "--wait", 0).code());
        assertEquals(
                0,
                runMapCommand("status")
                        .json()
                        .path("draining")
                        .get(0)
                        .path("extents")
                        .asInt());
        for (JsonNode row : runMapCommand("show", 1).json().path("rows")) {
            assertTrue(row.path("shard").asInt() != 0, row.toString());
        }
        assertEquals(
                16,
                runMapCommand("verify", file, "--head", gateway)
                        .json()
                        .path("extents_equal")
                        .asInt());
        assertEquals(0, disks.get(0).usedBytes(), "shard 0 still holds data of migrated extents");
        String history = runMapCommand("history", "--who", "somebody", 200).out();
        assertTrue(history.contains("drain shard 0") && history.contains("copied and fenced"), history);
    }

    @Test
    void verifyReportsTheExtentOfADamagedPage() throws Exception {
        assertTrue(disks.get(1).damage(1, 5L * EXTENT_BYTES + 8192));
        CommandResult result = runMapCommand("verify", file, "--head", gateway);
        assertEquals(1, result.code());
        assertEquals(15, result.json().path("extents_equal").asInt());
        assertEquals(5, result.json().path("extents_not").get(0).path("extent").asInt());
    }

    @Test
    void invalidCommandsAreRejectedWithTheReason() {
        assertTrue(runMapCommand("move", 9, 0, 1).err().contains("can't begin"));
        assertTrue(runMapCommand("show", 9).err().contains("no volume 9"));
        assertTrue(runMapCommand("diff", "--since", 77).err().contains("not in the history"));
        assertEquals(2, runMapCommand("diff").code());
        assertEquals(1, runMapCommand("abort", 12).code());
        assertEquals(0, runMapCommand("adopt").code());
        assertEquals(0, runMapCommand("undrain-node", 0).code());
    }
}
