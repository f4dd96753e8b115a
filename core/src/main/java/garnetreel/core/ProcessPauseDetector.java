package garnetreel.core;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import java.util.List;

/**
 * Detects that this process was paused or got no CPU time. Requests may have waited in the sockets meanwhile; if their
 * deadlines were counted from when they are read, the deadlines would pass only after the clients have given up. Data
 * read right after a pause therefore counts as received when the pause began. Requests that arrived towards the end of
 * the pause get less time than they should.
 */
public final class ProcessPauseDetector {
    private static final long MICROS_PER_MILLI = 1000;
    /** Maximum interval between turns while clients are connected, so that a much longer gap indicates a pause. */
    private static final long HEARTBEAT_MICROS = 50_000;
    /** A shorter gap may be a late turn on a busy host. */
    private static final long PAUSE_THRESHOLD_MICROS = 4 * HEARTBEAT_MICROS;
    /** Time after a pause within which all data that arrived during it has been read from the sockets. */
    private static final long CATCH_UP_MICROS = 100_000;
    /** Value of {@link #lastTurn} before the first turn. */
    private static final long NO_TURN = -1;

    private long lastTurn = NO_TURN;
    private long pausedAt;
    private long catchUpEndsAt;

    /**
     * Begins a turn.
     *
     * @param hasClients whether clients are connected; without clients there are no regular turns, so gaps are ignored
     * @return the earliest time at which the data read in this turn may have been received
     */
    public long beginTurn(long now, boolean hasClients, List<NetAction> actions) {
        if (lastTurn != NO_TURN && now - lastTurn > PAUSE_THRESHOLD_MICROS && hasClients) {
            pausedAt = lastTurn;
            catchUpEndsAt = now + CATCH_UP_MICROS;
            actions.add(new NetAction.Log(Level.WARN, describePause(now - lastTurn)));
        }
        lastTurn = now;
        return now < catchUpEndsAt ? pausedAt : now;
    }

    private static String describePause(long micros) {
        return "no turn for " + micros / MICROS_PER_MILLI
                + " ms: process was paused or got no CPU time; data read now counts as received before the pause";
    }

    /** When the next turn is due even without events; {@link Long#MAX_VALUE} for never. */
    public long nextDeadline(boolean hasClients) {
        return hasClients ? lastTurn + HEARTBEAT_MICROS : Long.MAX_VALUE;
    }
}
