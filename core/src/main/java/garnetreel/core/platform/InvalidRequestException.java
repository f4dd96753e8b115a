package garnetreel.core.platform;

/** Thrown for an invalid request. The client gets a response with this status and the exception message as the body. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;

    /** Creates an exception without a stack trace, so that an invalid request costs no more than a valid one. */
    InvalidRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
