package garnetreel.testbed.rules;

import garnetreel.policy.config.RequestClass;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.util.HashMap;
import java.util.Map;

/** Requests of one key are sent in order, and none is sent while another of the key may still be executing. */
final class KeyOrderRule implements Rule {
    private record OrderingKey(GatewayIncarnation gateway, long key) {}

    private static final class KeySequence {
        /** Time until which each request that may still be executing occupies the key, by request id. */
        final Map<Long, Long> occupiedUntil = new HashMap<>();

        long highestRequest = Long.MIN_VALUE;
    }

    @Override
    public String name() {
        return "order kept";
    }

    @Override
    public void check(Run run, Findings findings) {
        Map<OrderingKey, KeySequence> sequences = new HashMap<>();
        for (TraceEvent event : run.events()) {
            boolean relevant = event.kind() == Kind.ARRIVE || event.kind() == Kind.ANSWER;
            RequestClass requestClass = relevant && event.key() >= 0 ? run.requestClass(event) : null;
            if (requestClass == null || !requestClass.ordered()) {
                continue;
            }
            OrderingKey key = new OrderingKey(GatewayIncarnation.of(event), event.key());
            KeySequence sequence = sequences.computeIfAbsent(key, any -> new KeySequence());
            if (event.kind() == Kind.ANSWER) {
                sequence.occupiedUntil.remove(event.request());
            } else if (!event.outcome().equals("expired")) {
                // An expired request is never executed, and arrived long after it was sent.
                checkArrival(run, event, sequence, findings);
            }
        }
    }

    private static void checkArrival(Run run, TraceEvent event, KeySequence sequence, Findings findings) {
        findings.recordCheck();
        String subject = "key " + event.key() + " at gateway " + event.counterpart() + ": request " + event.request();
        long sent = run.earliestSendTime(event);
        // Benefit of the doubt: the send time is unknown if the node was not reading when the request arrived.
        if (event.request() < sequence.highestRequest && sent == event.time() && event.attempt() == 0) {
            findings.recordBreach(
                    subject + " was sent after request " + sequence.highestRequest + ", which has a higher id");
        }
        sequence.highestRequest = Math.max(sequence.highestRequest, event.request());
        sequence.occupiedUntil.forEach((request, until) -> {
            // Benefit of the doubt: an attempt without an answer may have ended with its connection at any moment, so
            // only the quiet period after it was sent is required.
            if (request != event.request() && sent + run.transit() < until) {
                findings.recordBreach(subject + " was sent " + (until - event.time())
                        + " us before the key was certain to be free of request " + request);
            }
        });
        sequence.occupiedUntil.put(
                event.request(), sent + run.settings().rules().keyQuietPeriod());
    }
}
