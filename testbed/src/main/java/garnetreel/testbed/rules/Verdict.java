package garnetreel.testbed.rules;

import java.util.List;

/**
 * The result of checking one rule.
 *
 * @param rule number of the rule, from 1
 * @param name name of the rule
 * @param checks number of checks made; 0 means that the run could not have broken the rule
 * @param breaches number of breaches
 * @param shownBreaches descriptions of the first few breaches
 */
public record Verdict(int rule, String name, long checks, long breaches, List<String> shownBreaches) {
    /** Whether the run kept the rule. */
    public boolean isKept() {
        return breaches == 0;
    }
}
