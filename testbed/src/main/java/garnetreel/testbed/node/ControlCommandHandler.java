package garnetreel.testbed.node;

import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Step;
import java.nio.ByteBuffer;

/** Executes the commands of the map service: LOAD, LIST_EXTENTS and the steps of migrations. */
final class ControlCommandHandler {
    private final NodeSettings settings;
    private final Turn turn;
    private final MemoryDisk disk;
    private final LoadMeter meter;
    private final ExecutionQueue queue;
    private final NodeTrace trace;
    private final long nodeIncarnation;
    private final MigrationParticipant participant;

    ControlCommandHandler(
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

    CommandReport execute(ControlCommand command) {
        if (command.step() == Step.LOAD) {
            return loadReport(command);
        }
        if (command.step() == Step.LIST_EXTENTS) {
            return participant.listExtents(command);
        }
        CommandReport report = participant.execute(command, queue.isExecuting(command.volume(), command.extent()));
        trace.migrationStep(command, nodeIncarnation, report.ok());
        return report;
    }

    private CommandReport loadReport(ControlCommand command) {
        ByteBuffer load = meter.takeReport(turn.now(), settings.cores(), disk.usedBytes(), settings.capacity());
        return new CommandReport(command.seq(), true, false, nodeIncarnation, 0, load);
    }
}
