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

/** Operators' commands against a whole service on loopback sockets. */
class MapCommandTest {
    private static final int EXTENT = 64 << 10;
    private static final String TEXT =
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
    private String map;
    private String head;
    private Path file;

    @BeforeEach
    void start() throws Exception {
        Settings settings = Settings.of(HclFile.parse("maps.hcl", TEXT));
        List<Entry> entries = new ArrayList<>();
        for (int shard = 0; shard < 3; shard++) {
            disks.add(new MemoryDisk());
            EventLoop node = process.run(
                    "n" + shard,
                    new FakeNode(
                            NodeSettings.free("n" + shard, "127.0.0.1:0", "", shard),
                            disks.get(shard),
                            Trace.NONE,
                            shard,
                            1));
            entries.add(new Entry(ServiceProcess.bound(node, "node"), "zone-a", shard, State.UP, 1, 0));
        }
        String list = ServiceProcess.bound(
                process.run("list", new FakeNodeList("list", "127.0.0.1:0", entries, 0, Trace.NONE)), "list");
        map = ServiceProcess.bound(
                process.run(
                        "mapd",
                        new MapService(
                                settings.mapService("127.0.0.1:0", list, 1), new MapState(settings.initialMaps()))),
                MapService.LISTENER);
        head = ServiceProcess.bound(
                process.startGateway(settings.gateway(0, 1, "127.0.0.1:0", list, map), temp.resolve("head")),
                Gateway.NBD);
        file = Files.writeString(temp.resolve("maps.hcl"), TEXT);
        try (NbdSocket client = NbdSocket.connect(head, "births")) {
            for (int extent = 0; extent < 16; extent++) {
                byte[] data = new byte[EXTENT];
                Arrays.fill(data, (byte) (extent + 1));
                assertEquals(0, client.retried(Nbd.CMD_WRITE, 0, (long) extent * EXTENT, EXTENT, data).error);
            }
        }
    }

    @AfterEach
    void stop() {
        process.close();
    }

    private record Said(int code, String out, String err) {
        JsonNode json() throws Exception {
            String[] lines = out.strip().split("\n");
            return new ObjectMapper().readTree(lines[lines.length - 1]);
        }
    }

    private Said map(String order, Object... more) {
        List<String> words = new ArrayList<>(List.of("map", order, "--json", "--service", map));
        Arrays.stream(more).map(Object::toString).forEach(words::add);
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        ByteArrayOutputStream complained = new ByteArrayOutputStream();
        System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(complained, true, StandardCharsets.UTF_8));
        try {
            int code = Main.run(List.of(), words.toArray(String[]::new));
            return new Said(code, said.toString(StandardCharsets.UTF_8), complained.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void movesDrainsAndDiffs() throws Exception {
        assertEquals(
                16,
                map("verify", file, "--head", head).json().path("extents_equal").asInt());
        Said moved = map("move", "--wait", 1, 4, 2);
        assertEquals(0, moved.code(), moved.err());
        assertEquals(
                2, map("show", 1, 4).json().path("rows").get(0).path("shard").asInt());
        Said diff = map("diff", "--since", 1);
        assertEquals(1, diff.code());
        assertEquals(4, diff.json().get(0).path("extent").asInt());
        assertEquals(0, map("drain-node", "--wait", 0).code());
        assertEquals(
                0, map("status").json().path("draining").get(0).path("extents").asInt());
        for (JsonNode row : map("show", 1).json().path("rows")) {
            assertTrue(row.path("shard").asInt() != 0, row.toString());
        }
        assertEquals(
                16,
                map("verify", file, "--head", head).json().path("extents_equal").asInt());
        assertEquals(0, disks.get(0).usedBytes(), "what was moved away is still kept");
        String who = map("history", "--who", "somebody", 200).out();
        assertTrue(who.contains("drain shard 0") && who.contains("copied and fenced"), who);
    }

    @Test
    void verifyFindsADamagedPageAndNamesIt() throws Exception {
        assertTrue(disks.get(1).damage(1, 5L * EXTENT + 8192));
        Said said = map("verify", file, "--head", head);
        assertEquals(1, said.code());
        assertEquals(15, said.json().path("extents_equal").asInt());
        assertEquals(5, said.json().path("extents_not").get(0).path("extent").asInt());
    }

    @Test
    void ordersThatCantBeAreRefusedWithTheReason() {
        assertTrue(map("move", 9, 0, 1).err().contains("can't begin"));
        assertTrue(map("show", 9).err().contains("no volume 9"));
        assertTrue(map("diff", "--since", 77).err().contains("not in the history"));
        assertEquals(2, map("diff").code());
        assertEquals(1, map("abort", 12).code());
        assertEquals(0, map("adopt").code());
        assertEquals(0, map("undrain-node", 0).code());
    }
}
