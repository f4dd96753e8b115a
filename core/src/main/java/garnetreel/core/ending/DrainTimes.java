package garnetreel.core.ending;

/** Time limits of clients whose connections end, in microseconds. */
public final class DrainTimes {
    /** During a shutdown: silence after which a client counts as having sent all that was on its way. */
    public static final long SILENCE_MICROS = 200_000;
    /** During a shutdown: time to send the rest of a request, and limit for a client that never falls silent. */
    public static final long REST_OF_REQUEST_MICROS = 1_000_000;
    /** Time in which a client has to take a byte of its replies. */
    public static final long UNREAD_REPLIES_MICROS = 5_000_000;

    private DrainTimes() {}
}
