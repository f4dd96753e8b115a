package garnetreel.testbed.rules;

import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;

/** Each read returns the data that was acknowledged. The load generators compare; this counts their findings. */
final class ReadCorrectnessRule implements Rule {
    @Override
    public String name() {
        return "reads true";
    }

    @Override
    public void check(Run run, Findings findings) {
        for (TraceEvent event : run.events()) {
            if (isAnsweredRead(event)) {
                findings.recordCheck();
            } else if (event.kind() == Kind.MISREAD) {
                findings.recordBreach(event.observer() + ": " + event.outcome());
            }
        }
    }

    private static boolean isAnsweredRead(TraceEvent event) {
        return event.kind() == Kind.REPLY
                && event.operation().equals("read")
                && !event.outcome().equals("refused")
                && !event.outcome().equals("failed");
    }
}
