package garnetreel.core.server;

/**
 * Tells when a client that holds bytes of the gateway's budget makes no progress: it has stopped within a write's
 * payload, or holds up connections that wait for capacity.
 */
final class StallDetector {
    /** Time without a byte after which a client counts as stopped within a request, or as not reading its replies. */
    static final long TIMEOUT_MICROS = 2_500_000;
    /** Lowest rate at which a payload has to come while other connections wait for capacity, after the time above. */
    private static final long MIN_PAYLOAD_BYTES_PER_SECOND = 1 << 20;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private long payloadBeganAt;
    private long lastReceivedAt;
    /** When bytes were last sent, or the first ones written. */
    private long lastSentAt;

    /** The process was held up: what the client has done meanwhile is not known yet. */
    void restart(long now) {
        payloadBegan(now);
        lastSentAt = now;
    }

    /** The header of a request with a payload was read. */
    void payloadBegan(long now) {
        payloadBeganAt = now;
        lastReceivedAt = now;
    }

    /** Bytes were received. */
    void received(long now) {
        lastReceivedAt = now;
    }

    /** Bytes were sent, or the first ones written. */
    void sent(long now) {
        lastSentAt = now;
    }

    /** Whether the client has stopped within a payload, or sends it too slowly for others that wait. */
    boolean payloadStalled(long now, int receivedBytes, boolean othersWait) {
        long allowedTime = TIMEOUT_MICROS + receivedBytes * MICROS_PER_SECOND / MIN_PAYLOAD_BYTES_PER_SECOND;
        return now - lastReceivedAt >= TIMEOUT_MICROS || othersWait && now - payloadBeganAt >= allowedTime;
    }

    /** Whether no byte of the replies that wait for the client was sent for a time. */
    boolean nothingSentFor(long now, long micros) {
        return now - lastSentAt >= micros;
    }
}
