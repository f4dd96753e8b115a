package garnetreel.settings;

/** A text is not the JSON that was expected; the message names the line or the field. */
public final class JsonException extends Exception {
    private static final long serialVersionUID = 1L;

    public JsonException(String message) {
        super(message);
    }
}
