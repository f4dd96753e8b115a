package garnetreel.testbed.client;

/** An operation of the NBD load generator. */
enum LoadOperation {
    READ("read"),
    WRITE("write"),
    FLUSH("flush"),
    /** Reads written data back after the load has ended. */
    VERIFY("verify");

    private final String label;

    LoadOperation(String label) {
        this.label = label;
    }

    /** The name in {@link NbdLoadGenerator#tallies()}. */
    String label() {
        return label;
    }

    boolean isRead() {
        return this == READ || this == VERIFY;
    }

    /** The name in traces, where a verification is a read, as it is on the wire. */
    String traceLabel() {
        return isRead() ? READ.label : label;
    }
}
