package garnetreel.testbed.rules;

import garnetreel.policy.config.SafetyRules;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Within any window, a gateway makes no more retries than its budget allows for the requests that it accepted. */
final class RetryBudgetRule implements Rule {
    @Override
    public String name() {
        return "budget kept";
    }

    @Override
    public void check(Run run, Findings findings) {
        SafetyRules rules = run.settings().rules();
        if (rules.retryWindow() <= 0) {
            return;
        }
        Map<GatewayIncarnation, ArrayDeque<Long>> retries = new HashMap<>();
        Map<GatewayIncarnation, TreeMap<Long, Long>> highestRequests = new HashMap<>();
        for (TraceEvent event : run.events()) {
            if (event.kind() != Kind.ARRIVE) {
                continue;
            }
            GatewayIncarnation gateway = GatewayIncarnation.of(event);
            // Request ids increase within an incarnation, so the highest seen gives the number of requests accepted.
            TreeMap<Long, Long> highest = highestRequests.computeIfAbsent(gateway, any -> new TreeMap<>());
            long before = highest.isEmpty() ? 0 : highest.lastEntry().getValue();
            highest.put(event.time(), Math.max(before, event.request()));
            if (event.attempt() == 0) {
                continue;
            }
            findings.recordCheck();
            ArrayDeque<Long> recent = retries.computeIfAbsent(gateway, any -> new ArrayDeque<>());
            recent.add(run.earliestSendTime(event));
            while (recent.peek() < event.time() - rules.retryWindow()) {
                recent.poll();
            }
            long accepted = requestsAccepted(highest, event.time() - rules.retryWindow() - run.transit());
            double allowed = rules.freeRetries() + rules.retryRatio() * accepted;
            if (recent.size() > allowed) {
                findings.recordBreach("gateway " + event.counterpart() + " made " + recent.size()
                        + " retries within the window; " + allowed + " are allowed for " + accepted
                        + " requests");
            }
        }
    }

    private static long requestsAccepted(TreeMap<Long, Long> highest, long since) {
        Map.Entry<Long, Long> old = highest.floorEntry(since);
        return highest.lastEntry().getValue() - (old == null ? 0 : old.getValue());
    }
}
