package garnetreel.mapservice;

import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.map.ExtentMap;
import garnetreel.map.MapState;
import garnetreel.map.Rebalancer;
import garnetreel.map.Rebalancer.Extent;
import garnetreel.map.Rebalancer.Proposal;
import garnetreel.map.Rebalancer.Shard;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Polls the load of all nodes once a second and starts the migrations that the {@link Rebalancer} proposes. */
final class RebalanceCoordinator {
    private static final long POLL_INTERVAL = 1_000_000;
    /** Maximum number of extents of a draining shard that are considered in one round. */
    private static final int DRAIN_BATCH = 64;
    /** Size of a load report's header, and of each extent entry after it, in bytes (docs/node-protocol.md). */
    private static final int LOAD_HEADER_BYTES = 32;

    private static final int LOAD_ENTRY_BYTES = 24;

    /** The latest load report of a node. */
    private record NodeLoad(double load, double utilization, long freeBytes, List<Extent> busiestExtents) {
        static final NodeLoad UNKNOWN = new NodeLoad(0, 0, 0, List.of());
    }

    private final TurnContext turn;
    private final MapServiceSettings settings;
    private final MapState state;
    private final NodeCommandClient nodes;
    private final Consumer<Proposal> proposalHandler;
    private final Rebalancer rebalancer;
    private final Map<Integer, NodeLoad> loads = new TreeMap<>();
    private long nextPoll;

    /** @param proposalHandler receives each proposed migration */
    RebalanceCoordinator(
            TurnContext turn,
            MapServiceSettings settings,
            MapState state,
            NodeCommandClient nodes,
            Consumer<Proposal> proposalHandler) {
        this.turn = turn;
        this.settings = settings;
        this.state = state;
        this.nodes = nodes;
        this.proposalHandler = proposalHandler;
        this.rebalancer = new Rebalancer(settings.limits());
    }

    void start() {
        nextPoll = turn.now() + POLL_INTERVAL;
    }

    long nextDeadline() {
        return nextPoll;
    }

    /** Records that an extent has switched to a new node; it is not proposed again until its rest period is over. */
    void migrated(long volume, long extent, long time) {
        rebalancer.migrated(volume, extent, time);
    }

    /** Polls and proposes once per interval; proposals use the reports of earlier polls. */
    void run() {
        if (turn.now() < nextPoll) {
            return;
        }
        nextPoll = turn.now() + POLL_INTERVAL;
        for (NodeCommandClient.Node node : nodes.nodes()) {
            if (node.ready()) {
                int shard = node.shard();
                nodes.send(node, StepCommand.load(), report -> loadReported(shard, report));
            }
        }
        List<Integer> draining = state.draining();
        if (settings.rebalance() || !draining.isEmpty()) {
            rebalancer
                    .propose(turn.now(), shards(draining), candidates(draining), state.migrations())
                    .forEach(proposalHandler);
        }
    }

    private List<Shard> shards(List<Integer> draining) {
        List<Shard> shards = new ArrayList<>();
        for (NodeCommandClient.Node node : nodes.nodes()) {
            int shard = node.shard();
            EndpointEntry entry = node.entry();
            NodeLoad latest = loads.getOrDefault(shard, NodeLoad.UNKNOWN);
            shards.add(new Shard(
                    shard,
                    latest.load(),
                    settings.nodeCapacity(),
                    latest.utilization(),
                    latest.freeBytes(),
                    draining.contains(shard) || entry.state() == EndpointState.DRAINING && settings.rebalance(),
                    entry.startedAt() > 0 && turn.now() - entry.startedAt() < settings.warmUpDuration(),
                    node.ready()));
        }
        return shards;
    }

    private List<Extent> candidates(List<Integer> draining) {
        List<Extent> extents = new ArrayList<>();
        if (settings.rebalance()) {
            loads.forEach((shard, latest) -> latest.busiestExtents().stream()
                    .filter(e -> holds(e, shard))
                    .forEach(extents::add));
        }
        draining.forEach(shard -> extents.addAll(heldBy(shard)));
        return extents;
    }

    private boolean holds(Extent extent, int shard) {
        ExtentMap map = state.map(extent.volume());
        return map != null && extent.extent() < map.extents() && map.shard(extent.extent()) == shard;
    }

    private void loadReported(int shard, CommandReport report) {
        if (report == null || report.data().remaining() < LOAD_HEADER_BYTES) {
            return;
        }
        ByteBuffer data = report.data().duplicate();
        double load = data.getDouble();
        double utilization = data.getDouble();
        long usedBytes = data.getLong();
        long freeBytes = data.getLong() - usedBytes;
        List<Extent> busiestExtents = new ArrayList<>();
        while (data.remaining() >= LOAD_ENTRY_BYTES) {
            long volume = data.getLong();
            long extent = data.getLong();
            double units = data.getDouble();
            ExtentMap map = state.map(volume);
            if (map != null) {
                busiestExtents.add(new Extent(volume, extent, shard, units, map.extentBytes()));
            }
        }
        loads.put(shard, new NodeLoad(load, utilization, freeBytes, busiestExtents));
    }

    /** The first extents that a shard holds, up to {@link #DRAIN_BATCH}. */
    private List<Extent> heldBy(int shard) {
        List<Extent> held = new ArrayList<>();
        for (ExtentMap map : state.maps()) {
            for (long extent = 0; extent < map.extents() && held.size() < DRAIN_BATCH; extent++) {
                if (map.shard(extent) == shard) {
                    held.add(new Extent(map.volume(), extent, shard, 0, map.extentBytes()));
                }
            }
        }
        return held;
    }
}
