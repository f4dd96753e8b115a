package garnetreel.policy.event;

/** Result of an attempt or of a health check. */
public enum Outcome {
    /** The endpoint executed the request and responded successfully. */
    OK,
    /** The endpoint responded with an error. */
    ERROR,
    /** Rejected by the endpoint, because its queue is full or it is draining; nothing was executed. */
    OVERLOADED,
    /** No response in time. */
    TIMEOUT,
    /**
     * No connection could be established, or the attempt ended before its request was sent completely; nothing was
     * executed.
     */
    CONNECT_FAILED,
    /** The connection was lost during the attempt. */
    RESET,
    /** Cancelled by this gateway. */
    CANCELLED,
    /** Not executed: never sent completely, or not started by the endpoint according to its response. */
    NOT_STARTED,
    /** A result that this version does not recognize. */
    UNKNOWN;

    /** Whether this outcome proves that the endpoint did not execute the request. */
    public boolean provesNotExecuted() {
        return this == OVERLOADED || this == CONNECT_FAILED || this == NOT_STARTED;
    }
}
