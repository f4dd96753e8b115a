package garnetreel.cli.config;

/** A location in a settings file; lines and columns count from 1. */
public record SourceLocation(int line, int column) {
    /** The start of a file. */
    static final SourceLocation START = new SourceLocation(1, 1);

    @Override
    public String toString() {
        return line + ":" + column;
    }
}
