package garnetreel.testbed.rules;

import java.util.ArrayList;
import java.util.List;

/** Collects the checks and breaches of one rule. */
final class Findings {
    private static final int MAX_SHOWN = 5;

    private final List<String> shown = new ArrayList<>();
    private long checks;
    private long breaches;

    /** Counts one check against the rule. */
    void recordCheck() {
        checks++;
    }

    /** Counts a breach; the first {@value #MAX_SHOWN} are kept as text. */
    void recordBreach(String text) {
        breaches++;
        if (shown.size() < MAX_SHOWN) {
            shown.add(text);
        }
    }

    Verdict verdict(int number, String name) {
        return new Verdict(number, name, checks, breaches, shown);
    }
}
