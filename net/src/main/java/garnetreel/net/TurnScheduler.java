package garnetreel.net;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.xnio.XnioIoThread;

/**
 * Decides when the turns (calls of {@code handle}) of one state machine run on its I/O thread: on request, at its
 * deadline, or after the next selection if the sockets have to be read first. Used on the I/O thread, except for
 * {@link #request} and {@link #simulatePause}.
 */
final class TurnScheduler {
    /** XNIO counts timers in whole milliseconds; it treats a shorter one as a task, which runs before the selection. */
    private static final long AFTER_SELECTION_MILLIS = 1;
    /**
     * Before a turn that is this late, the sockets are read. XNIO runs timers before it selects, so without this a
     * gateway that got no CPU for 250 ms would time out open connections and discard responses that have arrived, and
     * the scheduler would take several endpoints for unreachable.
     */
    private static final long LATE_TURN_MICROS = 10_000;
    /** Maximum duration of a timer; a later deadline is checked again when it fires. */
    private static final long MAX_WAIT_MICROS = 3_600_000_000L;

    private final String name;
    private final Logger log;
    private final XnioIoThread ioThread;
    private final Clock clock;
    private final Runnable runTurns;
    /** Deadline of the earliest timer that is set. */
    private long timerDeadline = Long.MAX_VALUE;

    /** Time of the last turn. */
    private long lastTurn;
    /** The state machine's deadline as of its last turn. */
    private long deadline = Long.MAX_VALUE;

    private boolean afterSelectionPending;
    private volatile long pausedUntil = Long.MIN_VALUE;

    /** @param runTurns runs the turns that are due */
    TurnScheduler(String name, Logger log, XnioIoThread ioThread, Clock clock, Runnable runTurns) {
        this.name = name;
        this.log = log;
        this.ioThread = ioThread;
        this.clock = clock;
        this.runTurns = runTurns;
    }

    /** Requests a turn; on any thread. */
    void request() {
        try {
            ioThread.execute(this::runRequested);
        } catch (RejectedExecutionException e) {
            log.debug("{} is closed", name);
        }
    }

    /**
     * Runs a requested turn, after the selection if it is late. Otherwise the turn of a request queued before a pause
     * of the process would run before the bytes that wait in the sockets are read, as a timer's would.
     */
    private void runRequested() {
        boolean late = deadline > lastTurn && clock.currentMicros() - deadline >= LATE_TURN_MICROS;
        if (late) {
            runAfterSelection();
        } else {
            runTurns.run();
        }
    }

    /** Records that a turn begins, and returns its time. */
    long beginTurn() {
        lastTurn = clock.currentMicros();
        return lastTurn;
    }

    /** Whether another turn is due that can run before the sockets are read. */
    boolean isDueNow(long nextDeadline) {
        long lateness = clock.currentMicros() - nextDeadline;
        return lateness >= 0 && (lateness < LATE_TURN_MICROS || nextDeadline <= lastTurn);
    }

    /** Schedules a turn at a deadline, unless another runs before. */
    void schedule(long nextDeadline) {
        deadline = nextDeadline;
        long now = clock.currentMicros();
        if (nextDeadline <= now) {
            // One timer at a time, and not due before the selection: XNIO runs all due tasks and timers before it
            // selects, so a state machine whose deadline is always due would never read its sockets (a timer of 1 us
            // kept a map service from reading a report for 2 s).
            runAfterSelection();
        } else if (nextDeadline < timerDeadline && nextDeadline != Long.MAX_VALUE) {
            timerDeadline = nextDeadline;
            long wait = Math.min(MAX_WAIT_MICROS, nextDeadline - now);
            ioThread.executeAfter(() -> onTimer(nextDeadline), wholeMillis(wait), TimeUnit.MILLISECONDS);
        }
    }

    private void onTimer(long dueAt) {
        if (timerDeadline == dueAt) {
            timerDeadline = Long.MAX_VALUE;
        }
        if (clock.currentMicros() - dueAt < LATE_TURN_MICROS) {
            runTurns.run();
        } else {
            runAfterSelection();
        }
    }

    /** Runs a turn after the next selection, when readable sockets have been read. */
    private void runAfterSelection() {
        if (!afterSelectionPending) {
            afterSelectionPending = true;
            ioThread.executeAfter(
                    () -> {
                        afterSelectionPending = false;
                        runTurns.run();
                    },
                    AFTER_SELECTION_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * The delay of a timer in milliseconds, rounded up, so a timer is up to 1 ms late. XNIO truncates a delay to whole
     * milliseconds and runs a timer with none at once, so without this a state machine with a deadline in 1.9 ms would
     * run turn after turn during the last 0.9 ms.
     */
    static long wholeMillis(long micros) {
        return Math.max(1, (micros + 999) / 1_000);
    }

    /** Runs no turn for a time, as if the process were paused; on any thread. */
    void simulatePause(long micros) {
        pausedUntil = clock.currentMicros() + micros;
    }

    /** Whether a simulated pause is in progress. */
    boolean isPauseSimulated() {
        return clock.currentMicros() < pausedUntil;
    }

    /** Waits for the end of a simulated pause; may return before it. */
    void parkDuringPause() {
        LockSupport.parkNanos((pausedUntil - clock.currentMicros()) * 1000);
    }
}
