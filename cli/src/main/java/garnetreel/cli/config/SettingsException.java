package garnetreel.cli.config;

import java.util.List;

/** Settings that can't be used; each problem is one line with file, place, what was found and what was expected. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> problems;

    public SettingsException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    public List<String> problems() {
        return problems;
    }
}
