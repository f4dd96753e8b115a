package garnetreel.testbed.rules;

/** A safety rule that a run is checked against. */
interface Rule {
    /** The name shown in verdicts. */
    String name();

    /** Checks a run and records the findings. */
    void check(Run run, Findings findings);
}
