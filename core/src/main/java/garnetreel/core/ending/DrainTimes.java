package garnetreel.core.ending;

/** Time limits of clients whose connections end, in microseconds. */
public final class DrainTimes {
    /** During a shutdown: silence after which a client counts as having sent all that was on its way. */
    public static final long SILENCE_MICROS = 200_000;
    /** During a shutdown: time to send the rest of a request, and limit for a client that never falls silent. */
    public static final long REST_OF_REQUEST_MICROS = 1_000_000;
    /** Time in which a client has to take a byte of its replies. */
    public static final long UNREAD_REPLIES_MICROS = 5_000_000;

    /** At the end of a shutdown: time without a byte taken after which replies count as unread. */
    public static final long UNREAD_AT_SHUTDOWN_MICROS = 1_000_000;
    /** Part of a shutdown's time that is kept for the client to read why its transfer has ended. */
    private static final long FAREWELL_MICROS = 1_000_000;

    private DrainTimes() {}

    /** Time after the beginning of a shutdown at which transfers are ended, if the shutdown may take this long. */
    public static long transferLimit(long shutdownMicros) {
        return Math.max(shutdownMicros / 2, shutdownMicros - FAREWELL_MICROS);
    }
}
