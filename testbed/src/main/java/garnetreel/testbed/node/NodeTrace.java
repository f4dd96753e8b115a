package garnetreel.testbed.node;

import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Request;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import garnetreel.testbed.trace.TraceLabels;

/** Writes the events of a fake node to the trace. */
final class NodeTrace {
    private final NodeSettings settings;
    private final Trace trace;
    private final Turn turn;

    NodeTrace(NodeSettings settings, Trace trace, Turn turn) {
        this.settings = settings;
        this.trace = trace;
        this.turn = turn;
    }

    void started(String address) {
        state(Kind.START, address, settings.startedLongAgo() ? "warm" : "cold");
    }

    void collapsed(String reason) {
        state(Kind.COLLAPSE, "", reason);
    }

    void fault(NodeFault fault) {
        state(Kind.FAULT, fault.kind().label(), fault.clears() ? "off" : "on");
    }

    private void state(Kind kind, String op, String outcome) {
        trace.add(TraceEvent.state(turn.now(), settings.name(), "", kind, op, settings.shard(), outcome));
    }

    /** Records that a command of the map service was executed or rejected. */
    void migrationStep(ControlCommand command, long nodeIncarnation, boolean ok) {
        trace.add(new TraceEvent(
                turn.now(),
                settings.name(),
                "map",
                Kind.MIGRATION_STEP,
                0,
                command.seq(),
                0,
                nodeIncarnation,
                TraceLabels.of(command.step()),
                command.volume(),
                settings.shard(),
                0,
                command.version(),
                command.extent(),
                0,
                0,
                ok ? "ok" : "no"));
    }

    void request(Kind kind, ClientConnection connection, Request request, String outcome) {
        // NONE ignores events anyway; this avoids creating one for each request of a benchmark.
        if (trace == Trace.NONE) {
            return;
        }
        trace.add(new TraceEvent(
                turn.now(),
                settings.name(),
                Integer.toString(connection.gateway),
                kind,
                request.tag(),
                request.id(),
                request.attempt(),
                connection.incarnation,
                TraceLabels.of(request.op()),
                request.volume(),
                request.shard(),
                request.units(),
                request.version(),
                request.key(),
                request.offset(),
                request.length(),
                outcome));
    }
}
