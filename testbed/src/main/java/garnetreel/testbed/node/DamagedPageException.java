package garnetreel.testbed.node;

/** Thrown when a page does not match its checksum, so that the requested data cannot be read. */
public final class DamagedPageException extends Exception {
    private static final long serialVersionUID = 1;

    DamagedPageException(String message) {
        super(message);
    }
}
