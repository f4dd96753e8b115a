package garnetreel.codec;

/** The peer broke its protocol in a way after which the stream can't be followed; the connection is closed. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    public ProtocolException(String message) {
        super(message, null, false, false);
    }
}
