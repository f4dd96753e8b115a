package garnetreel.cli.testing.soak;

/** A violated invariant. {@code timed} if the check compares times, so that a stalled machine could have caused it. */
record Violation(Kind kind, boolean timed, String detail) {
    /** The kinds of violations, one per invariant that the soak checks. */
    enum Kind {
        UNANSWERED,
        WRONG_ANSWER,
        REJECTED,
        RUN_TWICE,
        REFUSED_BUT_RAN,
        SENT_AFTER_LEAVE,
        SENT_TO_DRAINING,
        TIME_LEFT,
        ALTERED,
        CRASH,
        NOT_READY,
        SLOW_END,
        BAD_CLIENT_IGNORED,
        HEAD_REPORTS
    }

    static Violation of(Kind kind, String detail) {
        return new Violation(kind, false, detail);
    }

    static Violation timed(Kind kind, String detail) {
        return new Violation(kind, true, detail);
    }

    @Override
    public String toString() {
        return kind + (timed ? " (timed): " : ": ") + detail;
    }
}
