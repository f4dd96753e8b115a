package garnetreel.core.server;

/**
 * A handshake option violates the specification or exceeds a limit. The message is sent to the client and the
 * connection stays open.
 */
final class InvalidOptionException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidOptionException(String message) {
        super(message);
    }
}
