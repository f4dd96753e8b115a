package garnetreel.mapservice;

import com.fasterxml.jackson.databind.node.ObjectNode;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.map.Adoption;
import garnetreel.map.ExtentMap;
import garnetreel.map.MapState;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Polls all nodes for the extents they hold, and starts a new epoch with maps rebuilt from their reports. */
final class AdoptionCoordinator {
    /** Maximum bytes of entries in one report; a node with more is polled again, starting after the last entry. */
    private static final int MAX_REPORT_BYTES = 1 << 20;
    /** Size of an entry in bytes: volume, extent, extent bytes, state and version (docs/node-protocol.md). */
    private static final int ENTRY_BYTES = 29;
    /** Volume number and extent number that sort before all others. */
    private static final long BEFORE_FIRST = Long.MIN_VALUE;

    /** Receives the outcome of an adoption and its findings. */
    @FunctionalInterface
    interface Completion {
        void completed(boolean ok, ObjectNode findings);
    }

    private final TurnContext turn;
    private final MapState state;
    private final NodeCommandClient nodes;
    private final TransactionLog log;
    private final RollbackDetector rollbacks;
    private final MigrationCoordinator migrations;
    private final Set<Integer> pendingShards = new HashSet<>();
    private final TreeSet<Integer> unresponsive = new TreeSet<>();
    private List<Adoption.ReportedExtent> entries = new ArrayList<>();
    /** Null unless nodes are being polled for an adoption. */
    private Completion completion;

    private String initiator;
    private boolean force;

    AdoptionCoordinator(
            TurnContext turn,
            MapState state,
            NodeCommandClient nodes,
            TransactionLog log,
            RollbackDetector rollbacks,
            MigrationCoordinator migrations) {
        this.turn = turn;
        this.state = state;
        this.nodes = nodes;
        this.log = log;
        this.rollbacks = rollbacks;
        this.migrations = migrations;
    }

    /**
     * Starts an adoption; fails while nodes are being polled for another one.
     *
     * @param operator recorded in the history as the one who requested it
     * @param ignoreUnresponsive proceed without nodes that do not answer; extents that only they hold keep their map
     *     entries
     * @param callback called once, when the adoption has been committed or has failed
     */
    void begin(String operator, boolean ignoreUnresponsive, Completion callback) {
        if (completion != null) {
            callback.completed(false, OperatorReports.message("it is under way already"));
            return;
        }
        initiator = operator;
        force = ignoreUnresponsive;
        completion = callback;
        entries = new ArrayList<>();
        unresponsive.clear();
        for (ExtentMap map : state.maps()) {
            unresponsive.addAll(map.shards());
        }
        for (NodeCommandClient.Node node : nodes.nodes()) {
            if (node.ready()) {
                pendingShards.add(node.shard());
                unresponsive.remove(node.shard());
                poll(node, BEFORE_FIRST, BEFORE_FIRST);
            }
        }
        if (pendingShards.isEmpty()) {
            finish();
        }
    }

    private void poll(NodeCommandClient.Node node, long volume, long extent) {
        nodes.send(
                node, StepCommand.listExtents(volume, extent, MAX_REPORT_BYTES), report -> handleReport(node, report));
    }

    private void handleReport(NodeCommandClient.Node node, CommandReport report) {
        int shard = node.shard();
        if (report == null || !report.ok()) {
            unresponsive.add(shard);
        } else {
            Adoption.ReportedExtent last = readEntries(shard, report.data().duplicate());
            if (report.hasMore() && last != null) {
                poll(node, last.volume(), last.extent());
                return;
            }
        }
        pendingShards.remove(shard);
        if (pendingShards.isEmpty()) {
            finish();
        }
    }

    /** Adds all entries of a report and returns the last one, or null if there are none. */
    private Adoption.ReportedExtent readEntries(int shard, ByteBuffer data) {
        Adoption.ReportedExtent last = null;
        while (data.remaining() >= ENTRY_BYTES) {
            long volume = data.getLong();
            long extent = data.getLong();
            data.getInt(); // size of the extent; already known from the map
            Adoption.State held = Adoption.State.ofCode(data.get() & 0xff);
            last = new Adoption.ReportedExtent(volume, extent, shard, held, data.getLong());
            entries.add(last);
        }
        return last;
    }

    private void finish() {
        Completion callback = completion;
        completion = null;
        if (!unresponsive.isEmpty() && !force) {
            callback.completed(
                    false,
                    OperatorReports.message(
                            "the nodes of shards " + unresponsive + " do not answer; bring them back, or adopt force"));
            return;
        }
        Adoption.Reconciliation found = Adoption.of(state, entries);
        log.submit(
                () -> state.adopt(
                        found.changes(),
                        rollbacks.newestEpoch(),
                        Math.max(found.highestVersion(), rollbacks.newestVersion()),
                        initiator,
                        turn.now(),
                        "adopted " + found.changes().size() + " places from nodes"),
                t -> {
                    if (t == null) {
                        callback.completed(
                                false,
                                OperatorReports.message("it could not be committed; the service's log says why"));
                        return;
                    }
                    nodes.startNumbering(state.epoch(), state.seq());
                    migrations.adopted(found.lostMigrations());
                    callback.completed(true, OperatorReports.adopted(state, found));
                });
    }
}
