package garnetreel.testbed.rules;

import garnetreel.policy.config.RequestClass;
import garnetreel.testbed.rules.Run.UnresponsivePeriod;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.util.HashMap;
import java.util.Map;

/** Each request gets exactly one answer, and no attempt of it is sent to a node after the request has ended. */
final class OneAnswerRule implements Rule {
    @Override
    public String name() {
        return "one answer";
    }

    @Override
    public void check(Run run, Findings findings) {
        Map<Long, TraceEvent> requests = new HashMap<>();
        Map<Long, TraceEvent> ended = new HashMap<>();
        for (TraceEvent event : run.events()) {
            switch (event.kind()) {
                case REQUEST -> {
                    findings.recordCheck();
                    requests.put(event.tag(), event);
                }
                case REPLY -> checkReply(run, event, requests, ended, findings);
                case GIVE_UP -> {
                    boolean first = ended.putIfAbsent(event.tag(), event) == null;
                    if (first && unresponsiveWhenGivenUp(run, event) == null) {
                        findings.recordBreach(Run.requestName(event) + " (" + event.operation() + " of "
                                + event.observer() + " at gateway " + event.counterpart()
                                + ") got no answer before its client gave up");
                    }
                }
                case LEAVE -> ended.putIfAbsent(event.tag(), event);
                default -> {
                    // Events of nodes and node lists answer no client.
                }
            }
        }
        checkAllEnded(run, requests, ended, findings);
        checkNothingSentAfter(run, ended, findings);
    }

    private static void checkReply(
            Run run, TraceEvent reply, Map<Long, TraceEvent> requests, Map<Long, TraceEvent> ended, Findings findings) {
        TraceEvent first = ended.putIfAbsent(reply.tag(), reply);
        if (!requests.containsKey(reply.tag())) {
            findings.recordBreach("a reply to " + Run.requestName(reply) + ", which no client sent");
        } else if (first != null && !isSentOnResuming(run, first, reply)) {
            findings.recordBreach(Run.requestName(reply) + " got a reply after it had ended (" + first.kind() + ")");
        }
    }

    private static void checkAllEnded(
            Run run, Map<Long, TraceEvent> requests, Map<Long, TraceEvent> ended, Findings findings) {
        long end = run.end();
        requests.forEach((tag, event) -> {
            RequestClass requestClass = run.requestClass(event);
            // A request whose deadline was not reached when the run ended may still be pending.
            boolean timeUp = requestClass == null || event.time() + requestClass.timeLimit() + run.transit() < end;
            if (!ended.containsKey(tag) && timeUp) {
                findings.recordBreach(Run.requestName(event) + " (" + event.operation() + " of " + event.observer()
                        + ") got no answer by the end of the run");
            }
        });
    }

    private static void checkNothingSentAfter(Run run, Map<Long, TraceEvent> ended, Findings findings) {
        for (TraceEvent event : run.events()) {
            // Benefit of the doubt: an attempt that had expired on arrival was sent in time and arrived late.
            if (event.kind() != Kind.ARRIVE || event.outcome().equals("expired")) {
                continue;
            }
            TraceEvent end = ended.get(event.tag());
            if (end != null
                    && !couldNotHaveNoticed(run, end, event)
                    && run.earliestSendTime(event) > end.time() + run.transit()) {
                findings.recordBreach(Run.requestName(event) + " was sent to " + event.observer() + " "
                        + (event.time() - end.time()) + " us after the request had ended (" + end.kind() + ")");
            }
        }
    }

    /**
     * Benefit of the doubt: a gateway that was unresponsive when its client disconnected could not have noticed that.
     */
    private static boolean couldNotHaveNoticed(Run run, TraceEvent end, TraceEvent arrival) {
        return end.kind() == Kind.LEAVE
                && run.gatewayUnresponsivePeriods(arrival.counterpart()).stream()
                        .anyMatch(period -> end.time() <= period.to() && period.contains(arrival.time()));
    }

    /**
     * The period for which a gateway was unresponsive when its client gave up; null if it was responsive. Benefit of
     * the doubt: such a process cannot answer. It may answer as it resumes, but not later, and may send no attempts of
     * requests that have ended.
     */
    private static UnresponsivePeriod unresponsiveWhenGivenUp(Run run, TraceEvent gaveUp) {
        return run.gatewayUnresponsivePeriods(gaveUp.counterpart()).stream()
                .filter(period -> period.contains(gaveUp.time()))
                .findFirst()
                .orElse(null);
    }

    /** Whether a reply to a client that gave up was sent right after the gateway resumed from being unresponsive. */
    private static boolean isSentOnResuming(Run run, TraceEvent end, TraceEvent reply) {
        UnresponsivePeriod period = end.kind() == Kind.GIVE_UP ? unresponsiveWhenGivenUp(run, end) : null;
        return period != null && reply.time() <= period.to() + run.transit();
    }
}
