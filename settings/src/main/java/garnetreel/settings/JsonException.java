package garnetreel.settings;

/**
 * Thrown when JSON input is malformed or a field is missing or has the wrong type; the message names the input, and the
 * field if one is at fault.
 */
public final class JsonException extends Exception {
    private static final long serialVersionUID = 1L;

    public JsonException(String message) {
        super(message);
    }
}
