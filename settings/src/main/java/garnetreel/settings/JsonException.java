package garnetreel.settings;

/** Thrown when JSON input is malformed or lacks an expected field; the message names the line or the field. */
public final class JsonException extends Exception {
    private static final long serialVersionUID = 1L;

    public JsonException(String message) {
        super(message);
    }
}
