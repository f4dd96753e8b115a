package garnetreel.policy.timing;

/** Process pause that every time-critical decision allows for. */
public final class ProcessPause {
    /**
     * Maximum pause between reading the clock and writing, in microseconds, fixed by the project's requirements.
     * Whatever must start before a given time is decided at least this much earlier.
     */
    public static final long MARGIN_MICROS = 150_000;

    private ProcessPause() {}
}
