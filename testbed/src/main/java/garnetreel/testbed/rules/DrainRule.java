package garnetreel.testbed.rules;

import garnetreel.testbed.trace.TraceEvent;
import java.util.HashMap;
import java.util.Map;

/** A gateway that was notified that a node is draining or gone sends nothing to it after the drain grace. */
final class DrainRule implements Rule {
    @Override
    public String name() {
        return "drains kept";
    }

    @Override
    public void check(Run run, Findings findings) {
        Map<String, String> addresses = new HashMap<>();
        Map<GatewayNode, Long> notifiedDown = new HashMap<>();
        long grace = run.settings().rules().drainGrace() + run.transit();
        for (TraceEvent event : run.events()) {
            switch (event.kind()) {
                case START -> addresses.put(event.observer(), event.operation());
                case NOTIFY -> {
                    GatewayNode pair = new GatewayNode(event.counterpart(), event.operation());
                    if (event.outcome().equals("up")) {
                        notifiedDown.remove(pair);
                    } else {
                        notifiedDown.putIfAbsent(pair, event.time());
                        findings.recordCheck();
                    }
                }
                case ARRIVE -> {
                    String address = addresses.getOrDefault(event.observer(), "");
                    Long notified = notifiedDown.get(new GatewayNode(event.counterpart(), address));
                    if (notified != null && run.earliestSendTime(event) > notified + grace) {
                        findings.recordBreach("gateway " + event.counterpart() + " sent " + Run.requestName(event)
                                + " to " + event.observer()
                                + " " + (event.time() - notified)
                                + " us after it was notified that the node is draining or gone");
                    }
                }
                default -> {
                    // Other events do not concern drains.
                }
            }
        }
    }
}
