package garnetreel.cli.config;

/** A place in a settings file; lines and columns count from 1. */
public record Place(int line, int column) {
    @Override
    public String toString() {
        return line + ":" + column;
    }
}
