package garnetreel.core.ending;

/** The end of one connection: its cause, and what is still awaited from the client. */
public final class EndingProgress {
    private ConnectionEnding cause;
    private long beganAt;

    /**
     * Begins the end of the connection, or changes its cause.
     *
     * @return false if another ending is in progress, which goes on
     */
    public boolean begin(ConnectionEnding newCause, long now) {
        if (cause != null && !newCause.replaces(cause)) {
            return false;
        }
        cause = newCause;
        beganAt = now;
        return true;
    }

    /** Whether the connection is about to end. */
    public boolean hasBegun() {
        return cause != null;
    }

    /** Why the connection ends; null while it does not. */
    public ConnectionEnding cause() {
        return cause;
    }

    /** Whether requests are answered as refused instead of being run. */
    public boolean refusesRequests() {
        return cause != null && cause.refusesFurtherRequests();
    }

    /** Whether received bytes are no requests any more and can be discarded. */
    public boolean discardsInput() {
        return cause != null && !cause.refusesFurtherRequests();
    }

    /**
     * Whether the socket is still read. While requests are in progress, further ones are read and refused; after that
     * only for a limited time, since a client may send without end.
     */
    public boolean readsSocket(long now, boolean requestsInProgress) {
        return !refusesRequests() || requestsInProgress || now < beganAt + DrainTimes.REST_OF_REQUEST_MICROS;
    }

    /**
     * Whether the client may still have bytes on their way that would be answered.
     *
     * @param lastReceivedAt when bytes were last received
     * @param partialMessage whether a message has been received in part
     */
    public boolean awaitsInput(long now, long lastReceivedAt, boolean partialMessage) {
        boolean silent = now >= Math.max(beganAt, lastReceivedAt) + DrainTimes.SILENCE_MICROS;
        return refusesRequests() && now < beganAt + DrainTimes.REST_OF_REQUEST_MICROS && (partialMessage || !silent);
    }

    /** When {@link #awaitsInput} or {@link #readsSocket} may change next; {@link Long#MAX_VALUE} for never. */
    public long nextDeadline(long now, long lastReceivedAt) {
        if (!refusesRequests()) {
            return Long.MAX_VALUE;
        }
        long silentAt = Math.max(beganAt, lastReceivedAt) + DrainTimes.SILENCE_MICROS;
        long restOverAt = beganAt + DrainTimes.REST_OF_REQUEST_MICROS;
        if (now < silentAt && silentAt < restOverAt) {
            return silentAt;
        }
        return now < restOverAt ? restOverAt : Long.MAX_VALUE;
    }
}
