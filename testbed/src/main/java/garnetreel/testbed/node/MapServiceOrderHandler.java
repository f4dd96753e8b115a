package garnetreel.testbed.node;

import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Step;
import java.nio.ByteBuffer;

/** Handles the orders of the map service: load reports, ownership reports and migration steps. */
final class MapServiceOrderHandler {
    private final NodeSettings settings;
    private final Turn turn;
    private final MemoryDisk disk;
    private final LoadMeter meter;
    private final ExecutionQueue queue;
    private final NodeTrace trace;
    private final long nodeIncarnation;
    private final MigrationParticipant participant;

    MapServiceOrderHandler(
            NodeSettings settings,
            Turn turn,
            MemoryDisk disk,
            LoadMeter meter,
            ExecutionQueue queue,
            NodeTrace trace,
            long nodeIncarnation) {
        this.settings = settings;
        this.turn = turn;
        this.disk = disk;
        this.meter = meter;
        this.queue = queue;
        this.trace = trace;
        this.nodeIncarnation = nodeIncarnation;
        this.participant = new MigrationParticipant(disk, nodeIncarnation);
    }

    CommandReport execute(ControlCommand order) {
        if (order.step() == Step.LOAD) {
            return loadReport(order);
        }
        if (order.step() == Step.LIST_EXTENTS) {
            return participant.reportOwnership(order);
        }
        CommandReport report = participant.execute(order, queue.isExecuting(order.volume(), order.extent()));
        trace.migrationStep(order, nodeIncarnation, report.ok());
        return report;
    }

    private CommandReport loadReport(ControlCommand order) {
        ByteBuffer load = meter.takeReport(turn.now(), settings.cores(), disk.usedBytes(), settings.capacity());
        return new CommandReport(order.seq(), true, false, nodeIncarnation, 0, load);
    }
}
