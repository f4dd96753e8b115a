package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.StoredState;
import garnetreel.core.io.StateMachine;
import garnetreel.net.Clock;
import garnetreel.net.EventLoop;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.testbed.list.FakeNodeList;
import garnetreel.testbed.node.FakeNode;
import garnetreel.testbed.node.MemoryDisk;
import garnetreel.testbed.node.NodeFault;
import garnetreel.testbed.node.NodeSettings;
import garnetreel.testbed.rules.RuleSettings;
import garnetreel.testbed.rules.RulesChecker;
import garnetreel.testbed.rules.Verdict;
import garnetreel.testbed.trace.TraceEvent;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Gateways, fake nodes and a fake node list on sockets, for tests; records the trace events and injects faults. */
final class DeploymentHarness implements AutoCloseable {
    /** Time that the checker allows for transmission, in microseconds. */
    private static final long TRANSIT = 500_000;

    private final Clock clock = Clock.system();
    private final List<TraceEvent> events = new ArrayList<>();
    private final Settings settings;
    private final List<EventLoop> nodeLoops = new ArrayList<>();
    private final List<NodeSettings> nodeSettings = new ArrayList<>();
    private final List<MemoryDisk> disks = new ArrayList<>();
    private final List<EventLoop> gatewayLoops = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final EventLoop nodeList;
    private final String nodeListAddress;
    private long incarnation = 1;

    DeploymentHarness(int shards, String extraSettings) throws Exception {
        this(shards, extraSettings, "20s");
    }

    DeploymentHarness(int shards, String extraSettings, String deadline) throws Exception {
        this(shards, extraSettings, deadline, "keyed");
    }

    DeploymentHarness(int shards, String extraSettings, String deadline, String effect) throws Exception {
        this(1, shards, deadline, effect, "  rate = 100000\n  weight = 1\n", extraSettings);
    }

    /** Gateways that share one rate limit. */
    static DeploymentHarness limited(int gateways, int limit, int burst, int slack) throws Exception {
        return new DeploymentHarness(
                gateways,
                1,
                "400ms",
                "keyed",
                "  rate = 10\n  weight = 1\n  limit = " + limit + "\n  burst = " + burst + "\n  slack = " + slack
                        + "\n",
                "");
    }

    private DeploymentHarness(
            int gatewayCount, int shards, String deadline, String effect, String planSettings, String extraSettings)
            throws Exception {
        StringBuilder shardList = new StringBuilder("0");
        for (int i = 1; i < shards; i++) {
            shardList.append(", ").append(i);
        }
        settings = Settings.of(HclFile.parse(
                "harness.hcl",
                """
                service {
                  heads = %d
                }
                class "read" {
                  aim = "%s"
                  deadline = "%s"
                  effect = "repeatable"
                }
                class "write" {
                  aim = "%s"
                  deadline = "%s"
                  effect = "%s"
                  window = "5s"
                  writes = true
                }
                plan "open" {
                %s}
                volume "v" {
                  id = 1
                  size = "16MiB"
                  plan = "open"
                  read_class = "read"
                  write_class = "write"
                  flush_class = "read"
                  shards = [%s]
                  extent = "1MiB"
                }
                %s"""
                        .formatted(
                                gatewayCount,
                                deadline,
                                deadline,
                                deadline,
                                deadline,
                                effect,
                                planSettings,
                                shardList,
                                extraSettings)));
        List<Entry> entries = new ArrayList<>();
        for (int shard = 0; shard < shards; shard++) {
            NodeSettings node = NodeFile.of(settings)
                    .getOrDefault("n" + shard, NodeSettings.instantaneous("n" + shard, "127.0.0.1:0", "", shard));
            MemoryDisk disk = new MemoryDisk();
            EventLoop eventLoop = run(node.name(), new FakeNode(node, disk, this::recordEvent, shard, incarnation));
            String address = ServiceProcess.bound(eventLoop, "node");
            nodeLoops.add(eventLoop);
            disks.add(disk);
            nodeSettings.add(node.withListen(address));
            entries.add(new Entry(address, "zone-a", shard, State.UP, 1, 0));
        }
        nodeList = run("list", new FakeNodeList("list", "127.0.0.1:0", entries, 0, this::recordEvent));
        nodeListAddress = ServiceProcess.bound(nodeList, "list");
        for (int gateway = 0; gateway < gatewayCount; gateway++) {
            gatewayLoops.add(null);
            gateways.add(null);
            addresses.add("127.0.0.1:0");
            startGateway(gateway);
        }
    }

    private EventLoop run(String name, StateMachine machine) throws IOException {
        return new EventLoop(name, machine, clock, (state, data) -> {}).start();
    }

    private void startGateway(int gateway) throws IOException {
        GatewaySettings gatewaySettings =
                settings.gateway(gateway, clock.currentMicros(), addresses.get(gateway), nodeListAddress, "");
        gateways.set(
                gateway,
                new Gateway(
                        gatewaySettings, new FairQueueScheduler(gatewaySettings.scheduling(), 1), StoredState.NONE));
        gatewayLoops.set(gateway, run("head-" + gateway, gateways.get(gateway)));
        addresses.set(gateway, ServiceProcess.bound(gatewayLoops.get(gateway), Gateway.NBD));
    }

    void restartGateway(int gateway) throws IOException {
        gatewayLoops.get(gateway).close();
        startGateway(gateway);
    }

    /** Kills a node, so that it loses its unflushed writes, and restarts it. */
    void restartNode(int shard) throws IOException {
        nodeLoops.get(shard).close();
        disks.get(shard).crash();
        nodeLoops.set(
                shard,
                run(
                        "n" + shard,
                        new FakeNode(
                                nodeSettings.get(shard), disks.get(shard), this::recordEvent, shard, ++incarnation)));
        ServiceProcess.bound(nodeLoops.get(shard), "node");
    }

    private void recordEvent(TraceEvent event) {
        synchronized (events) {
            events.add(event);
            events.notifyAll();
        }
    }

    List<TraceEvent> trace() {
        synchronized (events) {
            return List.copyOf(events);
        }
    }

    /** Waits for an event that matches. */
    void await(Predicate<TraceEvent> condition) throws InterruptedException {
        synchronized (events) {
            while (events.stream().noneMatch(condition)) {
                events.wait();
            }
        }
    }

    /** Sets a fault and waits until the node has applied it. */
    void fault(int shard, NodeFault.Kind kind, double amount) throws InterruptedException {
        String name = nodeSettings.get(shard).name();
        long countBefore = count(name, kind, amount);
        nodeLoops.get(shard).submitCommand(new NodeFault(kind, amount));
        synchronized (events) {
            while (count(name, kind, amount) == countBefore) {
                events.wait();
            }
        }
    }

    private long count(String node, NodeFault.Kind kind, double amount) {
        return trace().stream()
                .filter(e -> e.kind() == TraceEvent.Kind.FAULT
                        && e.observer().equals(node)
                        && e.operation().equalsIgnoreCase(kind.name())
                        && e.outcome().equals(amount == 0 ? "off" : "on"))
                .count();
    }

    String address() {
        return addresses.get(0);
    }

    NbdSocket client() throws IOException {
        return client(0);
    }

    NbdSocket client(int gateway) throws IOException {
        return NbdSocket.connect(addresses.get(gateway), "v");
    }

    /** Waits until the first gateway has this number of client connections. */
    void awaitConnections(int count) {
        while (gateways.get(0).statistics().connections() != count) {
            Thread.onSpinWait();
        }
    }

    long bytesHeld() {
        return gateways.get(0).statistics().reservedBytes();
    }

    void shutDown() {
        gatewayLoops.get(0).submitCommand(new Gateway.Shutdown());
    }

    void awaitStopped() throws Exception {
        gatewayLoops.get(0).stopped().get(30, TimeUnit.SECONDS);
    }

    List<Verdict> verdicts() {
        return RulesChecker.check(
                new RuleSettings(
                        settings.rules(), settings.volumesById(), settings.classes(), settings.plans(), TRANSIT),
                trace());
    }

    @Override
    public void close() {
        gatewayLoops.forEach(EventLoop::close);
        nodeLoops.forEach(EventLoop::close);
        nodeList.close();
    }
}
