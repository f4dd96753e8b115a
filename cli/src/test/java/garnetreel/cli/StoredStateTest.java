package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.config.Settings;
import garnetreel.codec.ByteQueue;
import garnetreel.codec.nodelist.NodeListCodec;
import garnetreel.codec.nodelist.NodeListMessage.NodeListUpdate;
import garnetreel.core.ExtentLayout;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.connection.MapServiceClient;
import garnetreel.core.connection.NodeListClient;
import garnetreel.core.io.NetAction;
import garnetreel.map.MapState;
import garnetreel.mapservice.MapService;
import garnetreel.net.BackgroundJournalWriter;
import garnetreel.net.EventLoop;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.store.Journal;
import garnetreel.store.StateDirectory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * State files that version 0.2 wrote are read as that version read them: the map service's journal, the file catalogue,
 * and a gateway's cached extent map and node list. The files and the expected texts are in {@code stored-state-0.2}.
 */
@Timeout(120)
class StoredStateTest {
    private static final String FOLDER = "/stored-state-0.2";
    private static final long EXTENT_BYTES = 1 << 20;
    private static final int TRANSACTIONS = 39;
    private static final String LOOPBACK = "127.0.0.1:";

    @TempDir
    Path temp;

    private final ServiceProcess process = new ServiceProcess();
    private BackgroundJournalWriter keeper;
    private Path file;

    @BeforeEach
    void copy() throws Exception {
        Path source = Path.of(StoredStateTest.class.getResource(FOLDER).toURI());
        try (Stream<Path> all = Files.walk(source)) {
            for (Path from : all.filter(Files::isRegularFile).toList()) {
                Path to = temp.resolve(source.relativize(from).toString());
                Files.createDirectories(to.getParent());
                Files.write(to, Files.readAllBytes(from));
            }
        }
        file = temp.resolve("service.hcl");
        Files.writeString(file, Files.readString(file).replace("\"state/", "\"" + temp + "/state/"));
    }

    @AfterEach
    void close() {
        process.close();
        if (keeper != null) {
            keeper.close();
        }
    }

    @Test
    void fileCatalogueIsReadAsItWas() throws Exception {
        String checked = run("files", "check", file.toString(), "--head", "0");
        assertTrue(checked.contains(" 26 names, 2518259 bytes,"), checked);
        assertEquals(expected("files-check.txt"), checked);
        assertEquals(expected("files-ls.txt"), run("files", "ls", file.toString(), "--head", "0"));
    }

    @Test
    void journalOfTheMapServiceIsReadAsItWas() throws Exception {
        try (ServerSocket silentNodeList = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String service = startMapService(LOOPBACK + silentNodeList.getLocalPort());
            List<String> status = run("map", "--service", service, "status")
                    .lines()
                    .filter(l -> l.matches("(epoch|version|horizon|moves|draining): .*"))
                    .toList();
            assertEquals(List.of("epoch: 1", "version: 10", "horizon: 1", "moves: 0", "draining: none"), status);
            assertEquals(expected("map-show-1.txt"), run("map", "--service", service, "show", "1"));
            assertEquals(expected("map-show-2.txt"), run("map", "--service", service, "show", "2"));
            assertEquals(expected("map-history.txt"), storedRows(run("map", "--service", service, "history")));
        }
    }

    @Test
    void cachedMapOfAGatewayIsReadAsItWas() throws Exception {
        List<NetAction> notes = new ArrayList<>();
        MapServiceClient map = cachedMap(notes);
        assertEquals(List.of(), notes);
        assertEquals(10, map.version());
        assertEquals(shownRows("map-show-1.txt"), places(map, "births", 64));
        assertEquals(shownRows("map-show-2.txt"), places(map, "folders", 32));
    }

    @Test
    void cachedNodeListOfAGatewayIsReadAsItWas() throws Exception {
        List<NetAction> notes = new ArrayList<>();
        List<String> nodes = cachedNodes(notes);
        assertEquals(List.of(), notes);
        assertEquals(
                List.of("127.0.0.1:4720 zone-a shard 0 UP 1.0 0", "127.0.0.1:4721 zone-a shard 1 UP 1.0 0"), nodes);
        assertEquals(3, cachedNodeListVersion());
    }

    private String expected(String name) throws IOException {
        return Files.readString(temp.resolve("expected").resolve(name));
    }

    /** The transactions that version 0.2 wrote, without the heading and without what starts since then added. */
    private static String storedRows(String history) {
        StringBuilder rows = new StringBuilder();
        history.lines()
                .filter(l -> l.matches("\\d+ .*") && Integer.parseInt(l.split(" ")[0]) <= TRANSACTIONS)
                .forEach(l -> rows.append(l).append('\n'));
        return rows.toString();
    }

    /** Extent, shard and version of each extent that {@code map show} printed. */
    private List<String> shownRows(String name) throws IOException {
        return expected(name)
                .lines()
                .filter(l -> l.matches("\\d+ .*"))
                .map(l -> l.replaceAll(" +", " "))
                .toList();
    }

    /** Runs a command that has to succeed and gives what it printed. */
    private static String run(String... words) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        ByteArrayOutputStream complained = new ByteArrayOutputStream();
        System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(complained, true, StandardCharsets.UTF_8));
        int code;
        try {
            code = runMain(words);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
        assertEquals(0, code, () -> String.join(" ", words) + ": " + complained.toString(StandardCharsets.UTF_8));
        return said.toString(StandardCharsets.UTF_8);
    }

    private static int runMain(String... words) {
        return Main.run(List.of(), words);
    }

    private Settings settings() throws Exception {
        return Settings.read(file);
    }

    /** Starts the map service on its stored state as its command does, on a free port, and gives its address. */
    private String startMapService(String nodeList) throws Exception {
        Settings settings = settings();
        Path directory = temp.resolve("state/map");
        Journal journal = new Journal(directory.resolve("map.journal"));
        Journal.Contents kept = journal.contents();
        MapState state = MapState.recover(settings.initialMaps(), kept.snapshot(), kept.records());
        keeper = new BackgroundJournalWriter(new StateDirectory(directory), journal);
        EventLoop driver = process.run(
                "mapd",
                new MapService(settings.mapService(LOOPBACK + 0, nodeList, process.clock.currentMicros()), state),
                keeper);
        return ServiceProcess.bound(driver, MapService.LISTENER);
    }

    private GatewaySettings gateway() throws Exception {
        return settings().gateway(0, 1, LOOPBACK + 0, "", "");
    }

    private byte[] cached(String name) throws Exception {
        return new StateDirectory(temp.resolve("state/head-0")).read(name).orElseThrow();
    }

    private MapServiceClient cachedMap(List<NetAction> notes) throws Exception {
        MapServiceClient link = new MapServiceClient(gateway(), new ConnectionIdAllocator());
        link.beginTurn(0, notes);
        link.start(cached(MapServiceClient.CACHE_NAME));
        return link;
    }

    /** Where a gateway sends requests for each extent of a volume, in the form of the rows of {@code map show}. */
    private List<String> places(MapServiceClient map, String name, int extents) throws Exception {
        Volume volume = settings().volumes().get(name);
        List<String> rows = new ArrayList<>();
        for (long extent = 0; extent < extents; extent++) {
            ExtentLayout.ExtentLocation place = map.locate(volume, extent * EXTENT_BYTES);
            rows.add(extent + " " + place.shard() + " " + place.version());
        }
        return rows;
    }

    private List<String> cachedNodes(List<NetAction> notes) throws Exception {
        List<EndpointUpdate> news = new ArrayList<>();
        NodeListClient link = new NodeListClient(gateway(), new ConnectionIdAllocator(), news::add);
        link.beginTurn(0, notes);
        link.start(cached(NodeListClient.CACHE_NAME));
        return news.stream()
                .flatMap(n -> n.entries().stream())
                .map(e -> e.address() + " " + e.zone() + " shard " + e.shard() + " " + e.state() + " " + e.weight()
                        + " " + e.startedAt())
                .toList();
    }

    private long cachedNodeListVersion() throws Exception {
        ByteQueue queue = new ByteQueue();
        queue.add(ByteBuffer.wrap(cached(NodeListClient.CACHE_NAME)));
        return ((NodeListUpdate) NodeListCodec.next(queue)).version();
    }
}
