package garnetreel.cli.config;

import java.util.List;

/** Invalid settings; each problem is one line with file, location, the value found and what is expected. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> problems;

    /** @param problems a line each */
    public SettingsException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    /** The problems, a line each. */
    public List<String> problems() {
        return problems;
    }
}
