package garnetreel.testbed.scenario;

import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.StoredState;
import garnetreel.core.connection.MapServiceClient;
import garnetreel.core.connection.NodeListClient;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.core.request.RequestRegistry;
import garnetreel.core.server.rsync.FileCatalogueStore;
import garnetreel.map.MapState;
import garnetreel.mapservice.MapService;
import garnetreel.testbed.list.FakeNodeList;
import garnetreel.testbed.node.FakeNode;
import garnetreel.testbed.node.MemoryDisk;
import garnetreel.testbed.node.NodeSettings;
import garnetreel.testbed.trace.Trace;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/**
 * The processes of a scenario: nodes, node list, gateways and map service. Each can be killed and restarted; it keeps
 * its address and its durable state.
 */
final class Deployment {
    private static final String ANY_PORT = "127.0.0.1:0";
    /** Name of the listener of a fake node. */
    private static final String NODE_LISTENER = "node";
    /** Name of the fake node list as a process, and of its listener. */
    private static final String LIST = "list";

    private static final String MAP_SERVICE = "mapd";
    private static final String GATEWAY_PREFIX = "head-";

    /** A storage node; its disk survives restarts. */
    final class Node {
        private final NodeSettings settings;
        private final MemoryDisk disk = new MemoryDisk();
        private ScenarioEnvironment.RunningProcess process;
        private long incarnations;
        private String address = ANY_PORT;

        private Node(NodeSettings settings) {
            this.settings = settings;
        }

        int shard() {
            return settings.shard();
        }

        /** @param first whether the node may start warm if its settings say so; a restarted node is cold */
        private void start(boolean first) {
            NodeSettings current = settings.withListen(address)
                    .withList(listAddress)
                    .withStartedLongAgo(first && settings.startedLongAgo());
            incarnations++;
            // A node with a journal loses no answered writes in a crash, so its incarnation stays the same.
            long nodeIncarnation = settings.journal() ? 1 : incarnations;
            FakeNode node = new FakeNode(current, disk, trace, random.nextLong(), nodeIncarnation);
            process = environment.launch(settings.name(), node, ScenarioEnvironment.StateStore.NONE);
            address = process.address(NODE_LISTENER);
        }

        void restart() {
            start(false);
        }

        void crash() {
            process.kill();
            disk.crash();
        }

        void sendCommand(NetEvent.Command command) {
            process.send(command);
        }
    }

    /** An instance of the gateway. */
    final class GatewayProcess {
        private final int number;
        private final MemoryStore store = new MemoryStore();
        private ScenarioEnvironment.RunningProcess process;
        private String address = ANY_PORT;
        private String rsyncAddress = ANY_PORT;

        private GatewayProcess(int number) {
            this.number = number;
        }

        String name() {
            return GATEWAY_PREFIX + number;
        }

        void start() {
            GatewaySettings settings = scenario.gatewaySettings()
                    .apply(new Scenario.GatewayParameters(number, environment.now(), address, listAddress, mapAddress));
            GatewaySettings.Files files = settings.files();
            boolean servesFiles = !files.modules().isEmpty();
            if (servesFiles) {
                settings = settings.withFiles(
                        new GatewaySettings.Files(rsyncAddress, files.modules(), files.challengeSecret()));
            }
            MemoryStore.Journal catalogue = store.journal();
            StateMachine gateway = wrapper.apply(new Gateway(
                    settings,
                    scenario.scheduler().apply(settings.scheduling(), random.nextLong()),
                    new StoredState(
                            store.value(NodeListClient.CACHE_NAME),
                            store.value(MapServiceClient.CACHE_NAME),
                            store.value(RequestRegistry.UNFLUSHED_WRITES_NAME),
                            new FileCatalogueStore.StoredCatalogue(catalogue.snapshot(), catalogue.records()))));
            process = environment.launch(name(), gateway, store);
            address = process.address(Gateway.NBD);
            if (servesFiles) {
                rsyncAddress = process.address(Gateway.RSYNC);
            }
        }

        void kill() {
            process.kill();
        }

        void stall(long micros) {
            process.stall(micros);
        }
    }

    private final Scenario scenario;
    private final ScenarioEnvironment environment;
    private final Trace trace;
    private final SplittableRandom random;
    private final UnaryOperator<StateMachine> wrapper;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final MemoryStore mapStore = new MemoryStore();
    private ScenarioEnvironment.RunningProcess mapService;
    private ScenarioEnvironment.RunningProcess list;
    private String listAddress = ANY_PORT;
    private String mapAddress = "";

    Deployment(
            Scenario scenario,
            ScenarioEnvironment environment,
            Trace trace,
            SplittableRandom random,
            UnaryOperator<StateMachine> wrapper) {
        this.scenario = scenario;
        this.environment = environment;
        this.trace = trace;
        this.random = random;
        this.wrapper = wrapper;
    }

    void start() {
        scenario.nodes().forEach(settings -> nodes.put(settings.name(), new Node(settings)));
        nodes.values().forEach(node -> node.start(true));
        // All nodes are listed from the start, so that the first list that a gateway receives is complete.
        startList(nodes.values().stream().map(this::entry).toList());
        // The address of the list was not known when the nodes started.
        nodes.values().forEach(node -> node.sendCommand(new FakeNode.SetNodeList(listAddress)));
        if (scenario.map() != null) {
            mapAddress = ANY_PORT;
            startMapService();
        }
        for (int number = 0; number < scenario.gateways(); number++) {
            GatewayProcess gateway = new GatewayProcess(number);
            gateways.add(gateway);
            gateway.start();
        }
    }

    private Entry entry(Node node) {
        long startedAt = node.settings.startedLongAgo() ? 0 : environment.now();
        return new Entry(node.address, node.settings.zone(), node.shard(), State.UP, 1, startedAt);
    }

    void kill() {
        gateways.forEach(GatewayProcess::kill);
        nodes.values().forEach(node -> node.process.kill());
        list.kill();
        if (mapService != null) {
            mapService.kill();
        }
    }

    Node node(String name) {
        return nodes.get(name);
    }

    /** The shards of the nodes, in the order of the nodes. */
    List<Integer> shards() {
        return nodes.values().stream().map(Node::shard).toList();
    }

    GatewayProcess gateway(int number) {
        return gateways.get(number);
    }

    /** NBD addresses of the gateways, in the order of their numbers. */
    List<String> nbdAddresses() {
        return gateways.stream().map(gateway -> gateway.address).toList();
    }

    /** rsync addresses of the gateways, in the order of their numbers. */
    List<String> rsyncAddresses() {
        return gateways.stream().map(gateway -> gateway.rsyncAddress).toList();
    }

    // ---------------------------------------------------------------- node list

    /** Restarts the node list without entries; the nodes register with it again. */
    void restartList() {
        startList(List.of());
    }

    private void startList(List<Entry> entries) {
        FakeNodeList machine = new FakeNodeList(LIST, listAddress, entries, scenario.listLag(), trace);
        list = environment.launch(LIST, machine, ScenarioEnvironment.StateStore.NONE);
        listAddress = list.address(LIST);
    }

    ScenarioEnvironment.RunningProcess list() {
        return list;
    }

    // ---------------------------------------------------------------- map service

    void startMapService() {
        Scenario.MapScenario map = scenario.map();
        MemoryStore.Journal journal = mapStore.journal();
        MapState state = MapState.recover(map.initialMaps(), journal.snapshot(), journal.records());
        MapService service = new MapService(map.settings().apply(mapAddress, listAddress), state);
        mapService = environment.launch(MAP_SERVICE, service, mapStore);
        mapAddress = mapService.address(MapService.LISTENER);
    }

    /** Starts the map service from a backup that lacks the given number of latest transactions. */
    void restoreMapService(int transactions) {
        mapStore.restore(transactions);
        startMapService();
    }

    ScenarioEnvironment.RunningProcess mapService() {
        return mapService;
    }
}
