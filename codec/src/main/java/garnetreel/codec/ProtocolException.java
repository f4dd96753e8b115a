package garnetreel.codec;

/** The peer violated the protocol, and the rest of the stream cannot be parsed; the connection is closed. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    public ProtocolException(String message) {
        super(message, null, false, false);
    }
}
