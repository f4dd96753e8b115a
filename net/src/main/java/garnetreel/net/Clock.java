package garnetreel.net;

/** The time machines are told: microseconds of the epoch that never go back. */
@FunctionalInterface
public interface Clock {
    long micros();

    /**
     * The epoch as it was when this was made, moved on by the monotonic clock. All processes of one host agree within
     * a few milliseconds; a step of the host's clock moves nothing that runs.
     */
    static Clock system() {
        long base = System.currentTimeMillis() * 1000;
        long start = System.nanoTime();
        return () -> base + (System.nanoTime() - start) / 1000;
    }
}
