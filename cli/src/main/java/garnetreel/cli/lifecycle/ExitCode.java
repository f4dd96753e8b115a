package garnetreel.cli.lifecycle;

/** The exit codes of all commands; scripts and the operators' documentation rely on them. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int OK = 0;

    /** The command failed, or a check that it made failed. */
    public static final int FAILED = 1;

    /** The command line or a settings file is wrong. */
    public static final int USAGE = 2;

    private ExitCode() {}
}
