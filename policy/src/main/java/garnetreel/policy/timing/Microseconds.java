package garnetreel.policy.timing;

/** Microseconds, the unit of all times in the scheduler. */
public final class Microseconds {
    /** Microseconds per second; floating-point because rates are stated per second. */
    public static final double PER_SECOND = 1e6;

    private Microseconds() {}
}
