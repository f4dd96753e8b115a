package garnetreel.testbed.rules;

import garnetreel.testbed.trace.TraceEvent;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks a run against the safety rules, using only the traces of the testbed and nothing that a gateway reports about
 * itself. Where the observed traffic does not decide a rule, the run gets the benefit of the doubt; comments in the
 * rules mark each such place.
 */
public final class RulesChecker {
    /** The rules; verdicts are numbered in this order, from 1. */
    private static final List<Rule> RULES = List.of(
            new OneAnswerRule(),
            new AtMostOnceRule(),
            new DrainRule(),
            new ColdNodeOverloadRule(),
            new KeyOrderRule(),
            new RetryBudgetRule(),
            new RateLimitRule(),
            new ReadCorrectnessRule());

    private RulesChecker() {}

    /**
     * The verdicts on the eight rules: the seven safety rules of the scheduler, and that each read returned
     * acknowledged data.
     */
    public static List<Verdict> check(RuleSettings settings, List<TraceEvent> events) {
        Run run = new Run(settings, events);
        List<Verdict> verdicts = new ArrayList<>();
        for (Rule rule : RULES) {
            Findings findings = new Findings();
            rule.check(run, findings);
            verdicts.add(findings.verdict(verdicts.size() + 1, rule.name()));
        }
        return verdicts;
    }
}
