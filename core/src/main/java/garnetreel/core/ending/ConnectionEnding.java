package garnetreel.core.ending;

/**
 * Why the connection of a client ends, and what the server owes the client until its socket is closed. All servers
 * follow this table; docs/gateway.md has it with what each protocol can say.
 *
 * <p>A request counts as received once its last byte has been read from the socket. One that was received in part is
 * answered where the protocol can name it.
 */
public enum ConnectionEnding {
    /** The client has asked for the end, or its transfer is complete. */
    COMPLETED("completed", true, false, false),
    /** This process shuts down. */
    SHUTDOWN("shutdown", true, true, false),
    /** Nothing was received for too long, or the handshake took too long. */
    IDLE("idle", true, false, false),
    /** There are too many connections. */
    EVICTED("evicted", true, false, false),
    /** The client stopped within a request, or sends one too slowly. */
    STALLED("stalled", true, false, false),
    /** The input can't be parsed any further. */
    PROTOCOL_ERROR("protocol_error", true, false, false),
    /** The client does not read its replies. */
    REPLIES_UNREAD("replies_unread", false, false, true),
    /** The client or the network has closed the connection. */
    PEER_GONE("peer_gone", false, false, false);

    private final String label;
    private final boolean owesAnswers;
    private final boolean refusesFurtherRequests;
    private final boolean resetsConnection;

    ConnectionEnding(String label, boolean owesAnswers, boolean refusesFurtherRequests, boolean resetsConnection) {
        this.label = label;
        this.owesAnswers = owesAnswers;
        this.refusesFurtherRequests = refusesFurtherRequests;
        this.resetsConnection = resetsConnection;
    }

    /** The name in log lines. */
    public String label() {
        return label;
    }

    /** Whether requests received before the ending began are answered before the connection is closed. */
    public boolean owesAnswers() {
        return owesAnswers;
    }

    /** Whether requests that wait, or are received until the connection is closed, are answered as refused. */
    public boolean refusesFurtherRequests() {
        return refusesFurtherRequests;
    }

    /** Whether the socket is closed at once, without waiting for sent bytes to arrive. */
    public boolean resetsConnection() {
        return resetsConnection;
    }

    /**
     * Whether this ending takes the place of another one in progress. What ends the connection for the client takes the
     * place of a shutdown; an ending that owes nothing takes the place of all that owe answers.
     */
    boolean replaces(ConnectionEnding inProgress) {
        return this != inProgress && (inProgress == SHUTDOWN || inProgress.owesAnswers && !owesAnswers);
    }
}
