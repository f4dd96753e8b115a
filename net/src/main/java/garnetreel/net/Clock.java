package garnetreel.net;

/** The time that state machines receive: microseconds since the epoch, never decreasing. */
@FunctionalInterface
public interface Clock {
    /** Microseconds since the epoch. */
    long currentMicros();

    /**
     * A clock that starts at the wall-clock time of this call and is advanced by the monotonic clock. A step of the
     * host's wall clock has no effect on a running process. The clocks of all processes on a host agree within a few
     * milliseconds unless the wall clock was stepped between their starts.
     */
    static Clock system() {
        long base = System.currentTimeMillis() * 1000;
        long start = System.nanoTime();
        return () -> base + (System.nanoTime() - start) / 1000;
    }
}
