package garnetreel.simhost;

/** The input does not keep to the wire; the message names the line or the field. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
