package garnetreel.core.link;

/** Numbers for connections that a machine opens: below 0, never used twice. */
public final class ConnectionNumbers {
    private long last;

    public long next() {
        return --last;
    }
}
