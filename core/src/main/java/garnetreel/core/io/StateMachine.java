package garnetreel.core.io;

import java.util.List;

/**
 * A program without I/O, clock, threads or log of its own: its input is events and the current time, its output is
 * actions. It runs unchanged on sockets (garnetreel.net) and on an emulated network.
 *
 * <p>It is called by one thread at a time, and is deterministic: the same calls give the same actions.
 */
public interface StateMachine {

    /**
     * Handles the events since the last turn. The first turn has no events; in it, the state machine starts to listen
     * and connect.
     *
     * @param now microseconds since the epoch, as the start times in the node list are, by a clock that never goes back
     * @param actions receives the requested actions, in order
     */
    void handle(long now, List<NetEvent> events, List<NetAction> actions);

    /** When the next turn is due even without events; {@link Long#MAX_VALUE} for never. */
    long nextDeadline();
}
