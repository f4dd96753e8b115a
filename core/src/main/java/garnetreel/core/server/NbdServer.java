package garnetreel.core.server;

import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.request.BlockBackend;
import java.util.LinkedHashMap;
import java.util.Map;

/** The NBD server of a gateway: its connections, and the exports that they can open. */
public final class NbdServer extends ProtocolServer<NbdSession> {
    /** Time between turns from which the process counts as held up; with clients, turns are 50 ms apart at most. */
    private static final long HELD_UP_MICROS = 200_000;
    /** Interval between two checks for stalled connections. */
    private static final long STALL_CHECK_INTERVAL_MICROS = 250_000;

    final BlockBackend backend;
    /** Exports by name, in the order of the settings, which is also the order in the reply to LIST. */
    final Map<String, Volume> exports = new LinkedHashMap<>();

    private long lastTurnAt;
    private long nextStallCheckAt;

    /** Creates a server without connections for the exports of the settings. */
    public NbdServer(
            GatewaySettings settings,
            BlockBackend backend,
            ByteBudget byteBudget,
            ClosedConnections closedConnections) {
        super(settings, byteBudget, closedConnections);
        this.backend = backend;
        settings.exports().forEach(v -> exports.put(v.name(), v));
    }

    GatewaySettings settings() {
        return settings;
    }

    ByteBudget byteBudget() {
        return byteBudget;
    }

    /** The export with this name, or the first export for the empty name; null if there is none. */
    Volume export(String name) {
        return name.isEmpty() && !exports.isEmpty()
                ? exports.values().iterator().next()
                : exports.get(name);
    }

    long time() {
        return now();
    }

    /** Closes connections whose handshake takes too long, and those that hold up others. */
    @Override
    public void expire() {
        super.expire();
        boolean heldUp = now() - lastTurnAt > HELD_UP_MICROS;
        lastTurnAt = now();
        if (heldUp) {
            sessions().forEach(NbdSession::restartStallTimes);
        } else if (now() >= nextStallCheckAt) {
            nextStallCheckAt = now() + STALL_CHECK_INTERVAL_MICROS;
            sessions().forEach(NbdSession::endIfStalled);
        }
    }

    @Override
    protected NbdSession open(long connectionId, boolean rejected, long handshakeDeadline) {
        return new NbdSession(this, connectionId, rejected, handshakeDeadline);
    }
}
