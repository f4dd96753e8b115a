package garnetreel.cli.config;

/** A text is not valid in the subset of HCL that settings files use. */
final class HclSyntaxException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient SourceLocation location;

    HclSyntaxException(SourceLocation location, String message) {
        super(message);
        this.location = location;
    }

    SourceLocation location() {
        return location;
    }
}
