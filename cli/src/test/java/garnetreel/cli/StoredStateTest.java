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
import garnetreel.net.BackgroundStoreWriter;
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
 * State files written by version 0.2 must be read as that version read them: the map service's journal, the file
 * catalogue, and a gateway's cached extent map and node list. The files and the expected texts are in
 * {@code stored-state-0.2}.
 */
@Timeout(120)
class StoredStateTest {
    private static final String STATE_RESOURCE = "/stored-state-0.2";
    private static final long EXTENT_BYTES = 1 << 20;
    private static final int TRANSACTIONS = 39;
    private static final String LOOPBACK = "127.0.0.1:";

    @TempDir
    Path temp;

    private final ServiceProcess process = new ServiceProcess();
    private BackgroundStoreWriter journalWriter;
    private Path file;

    @BeforeEach
    void copy() throws Exception {
        Path source = Path.of(StoredStateTest.class.getResource(STATE_RESOURCE).toURI());
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
        if (journalWriter != null) {
            journalWriter.close();
        }
    }

    @Test
    void fileCatalogueIsReadUnchanged() throws Exception {
        String checked = run("files", "check", file.toString(), "--head", "0");
        assertTrue(checked.contains(" 26 names, 2518259 bytes,"), checked);
        assertEquals(expected("files-check.txt"), checked);
        assertEquals(expected("files-ls.txt"), run("files", "ls", file.toString(), "--head", "0"));
    }

    @Test
    void mapServiceJournalIsReadUnchanged() throws Exception {
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
    void cachedMapOfAGatewayIsReadUnchanged() throws Exception {
        List<NetAction> actions = new ArrayList<>();
        MapServiceClient map = cachedMap(actions);
        assertEquals(List.of(), actions);
        assertEquals(10, map.version());
        assertEquals(shownRows("map-show-1.txt"), extentRows(map, "births", 64));
        assertEquals(shownRows("map-show-2.txt"), extentRows(map, "folders", 32));
    }

    @Test
    void cachedNodeListOfAGatewayIsReadUnchanged() throws Exception {
        List<NetAction> actions = new ArrayList<>();
        List<String> nodes = cachedNodes(actions);
        assertEquals(List.of(), actions);
        assertEquals(
                List.of("127.0.0.1:4720 zone-a shard 0 UP 1.0 0", "127.0.0.1:4721 zone-a shard 1 UP 1.0 0"), nodes);
        assertEquals(3, cachedNodeListVersion());
    }

    private String expected(String name) throws IOException {
        return Files.readString(temp.resolve("expected").resolve(name));
    }

    /**
     * The rows of the transactions that version 0.2 wrote, without the heading and the rows that later starts added.
     */
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

    /** Runs a command, which has to succeed, and returns its standard output. */
    private static String run(String... arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        int code;
        try {
            code = runMain(arguments);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
        assertEquals(0, code, () -> String.join(" ", arguments) + ": " + errors.toString(StandardCharsets.UTF_8));
        return output.toString(StandardCharsets.UTF_8);
    }

    private static int runMain(String... arguments) {
        return Main.run(List.of(), arguments);
    }

    private Settings settings() throws Exception {
        return Settings.read(file);
    }

    /** Starts the map service on its stored state as its command does, on a free port, and returns its address. */
    private String startMapService(String nodeList) throws Exception {
        Settings settings = settings();
        Path directory = temp.resolve("state/map");
        Journal journal = new Journal(directory.resolve("map.journal"));
        Journal.Contents contents = journal.contents();
        MapState state = MapState.recover(settings.initialMaps(), contents.snapshot(), contents.records());
        journalWriter = new BackgroundStoreWriter(new StateDirectory(directory), journal);
        EventLoop eventLoop = process.run(
                "mapd",
                new MapService(settings.mapService(LOOPBACK + 0, nodeList, process.clock.currentMicros()), state),
                journalWriter);
        return ServiceProcess.bound(eventLoop, MapService.LISTENER);
    }

    private GatewaySettings gateway() throws Exception {
        return settings().gateway(0, 1, LOOPBACK + 0, "", "");
    }

    private byte[] cached(String name) throws Exception {
        return new StateDirectory(temp.resolve("state/head-0")).read(name).orElseThrow();
    }

    private MapServiceClient cachedMap(List<NetAction> actions) throws Exception {
        MapServiceClient client = new MapServiceClient(gateway(), new ConnectionIdAllocator());
        client.beginTurn(0, actions);
        client.start(cached(MapServiceClient.CACHE_NAME));
        return client;
    }

    /** Extent, shard and version of each extent in a cached map of a volume, as in the rows of {@code map show}. */
    private List<String> extentRows(MapServiceClient map, String name, int extents) throws Exception {
        Volume volume = settings().volumes().get(name);
        List<String> rows = new ArrayList<>();
        for (long extent = 0; extent < extents; extent++) {
            ExtentLayout.ExtentLocation location = map.locate(volume, extent * EXTENT_BYTES);
            rows.add(extent + " " + location.shard() + " " + location.version());
        }
        return rows;
    }

    private List<String> cachedNodes(List<NetAction> actions) throws Exception {
        List<EndpointUpdate> updates = new ArrayList<>();
        NodeListClient client = new NodeListClient(gateway(), new ConnectionIdAllocator(), updates::add);
        client.beginTurn(0, actions);
        client.start(cached(NodeListClient.CACHE_NAME));
        return updates.stream()
                .flatMap(n -> n.entries().stream())
                .map(e -> e.name() + " " + e.zone() + " shard " + e.shard() + " " + e.state() + " " + e.weight() + " "
                        + e.startedAt())
                .toList();
    }

    private long cachedNodeListVersion() throws Exception {
        ByteQueue queue = new ByteQueue();
        queue.add(ByteBuffer.wrap(cached(NodeListClient.CACHE_NAME)));
        return ((NodeListUpdate) NodeListCodec.next(queue)).version();
    }
}
