package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
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

/** Heads, nodes and a list on sockets, for tests: what passes is seen, and faults are set. */
final class DeploymentHarness implements AutoCloseable {
    private static final long TRANSIT = 500_000;

    private final Clock clock = Clock.system();
    private final List<TraceEvent> seen = new ArrayList<>();
    private final Settings settings;
    private final List<EventLoop> nodes = new ArrayList<>();
    private final List<NodeSettings> nodeSettings = new ArrayList<>();
    private final List<MemoryDisk> disks = new ArrayList<>();
    private final List<EventLoop> headDrivers = new ArrayList<>();
    private final List<Gateway> heads = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final EventLoop list;
    private final String listAddress;
    private long lives = 1;

    DeploymentHarness(int shards, String more) throws Exception {
        this(shards, more, "20s");
    }

    DeploymentHarness(int shards, String more, String deadline) throws Exception {
        this(shards, more, deadline, "keyed");
    }

    DeploymentHarness(int shards, String more, String deadline, String effect) throws Exception {
        this(1, shards, deadline, effect, "  rate = 100000\n  weight = 1\n", more);
    }

    /** Heads that share one limit. */
    static DeploymentHarness limited(int heads, int limit, int burst, int slack) throws Exception {
        return new DeploymentHarness(
                heads,
                1,
                "400ms",
                "keyed",
                "  rate = 10\n  weight = 1\n  limit = " + limit + "\n  burst = " + burst + "\n  slack = " + slack
                        + "\n",
                "");
    }

    private DeploymentHarness(int headCount, int shards, String deadline, String effect, String plan, String more)
            throws Exception {
        StringBuilder shardList = new StringBuilder("0");
        for (int i = 1; i < shards; i++) {
            shardList.append(", ").append(i);
        }
        settings = Settings.of(HclFile.parse(
                "rig.hcl",
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
                        .formatted(headCount, deadline, deadline, deadline, deadline, effect, plan, shardList, more)));
        List<Entry> entries = new ArrayList<>();
        for (int shard = 0; shard < shards; shard++) {
            NodeSettings node = NodeFile.of(settings)
                    .getOrDefault("n" + shard, NodeSettings.free("n" + shard, "127.0.0.1:0", "", shard));
            MemoryDisk disk = new MemoryDisk();
            EventLoop driver = run(node.name(), new FakeNode(node, disk, this::see, shard, lives));
            String address = ServiceProcess.bound(driver, "node");
            nodes.add(driver);
            disks.add(disk);
            nodeSettings.add(node.withListen(address));
            entries.add(new Entry(address, "zone-a", shard, State.UP, 1, 0));
        }
        list = run("list", new FakeNodeList("list", "127.0.0.1:0", entries, 0, this::see));
        listAddress = ServiceProcess.bound(list, "list");
        for (int head = 0; head < headCount; head++) {
            headDrivers.add(null);
            heads.add(null);
            addresses.add("127.0.0.1:0");
            startHead(head);
        }
    }

    private EventLoop run(String name, StateMachine machine) throws IOException {
        return new EventLoop(name, machine, clock, (state, data) -> {}).start();
    }

    private void startHead(int head) throws IOException {
        GatewaySettings told = settings.gateway(head, clock.currentMicros(), addresses.get(head), listAddress, "");
        heads.set(head, new Gateway(told, new FairQueueScheduler(told.scheduling(), 1), null, null));
        headDrivers.set(head, run("head-" + head, heads.get(head)));
        addresses.set(head, ServiceProcess.bound(headDrivers.get(head), Gateway.NBD));
    }

    void restartHead(int head) throws IOException {
        headDrivers.get(head).close();
        startHead(head);
    }

    /** Kills a node, which loses what it has not flushed, and starts it again. */
    void restartNode(int shard) throws IOException {
        nodes.get(shard).close();
        disks.get(shard).crash();
        nodes.set(
                shard,
                run("n" + shard, new FakeNode(nodeSettings.get(shard), disks.get(shard), this::see, shard, ++lives)));
        ServiceProcess.bound(nodes.get(shard), "node");
    }

    private void see(TraceEvent event) {
        synchronized (seen) {
            seen.add(event);
            seen.notifyAll();
        }
    }

    List<TraceEvent> trace() {
        synchronized (seen) {
            return List.copyOf(seen);
        }
    }

    /** Waits until something has been seen. */
    void await(Predicate<TraceEvent> what) throws InterruptedException {
        synchronized (seen) {
            while (seen.stream().noneMatch(what)) {
                seen.wait();
            }
        }
    }

    /** Sets a fault and waits until the node has it. */
    void fault(int shard, NodeFault.Kind kind, double amount) throws InterruptedException {
        String name = nodeSettings.get(shard).name();
        long before = count(name, kind, amount);
        nodes.get(shard).submitCommand(new NodeFault(kind, amount));
        synchronized (seen) {
            while (count(name, kind, amount) == before) {
                seen.wait();
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

    NbdSocket client(int head) throws IOException {
        return NbdSocket.connect(addresses.get(head), "v");
    }

    /** Waits until the head holds so many connections of clients. */
    void awaitConnections(int count) {
        while (heads.get(0).statistics().connections() != count) {
            Thread.onSpinWait();
        }
    }

    long bytesHeld() {
        return heads.get(0).statistics().reservedBytes();
    }

    void drain() {
        headDrivers.get(0).submitCommand(new Gateway.Drain());
    }

    void awaitStopped() throws Exception {
        headDrivers.get(0).stopped().get(30, TimeUnit.SECONDS);
    }

    List<Verdict> verdicts() {
        return RulesChecker.check(
                new RuleSettings(
                        settings.rules(), settings.volumesById(), settings.classes(), settings.plans(), TRANSIT),
                trace());
    }

    @Override
    public void close() {
        headDrivers.forEach(EventLoop::close);
        nodes.forEach(EventLoop::close);
        list.close();
    }
}
