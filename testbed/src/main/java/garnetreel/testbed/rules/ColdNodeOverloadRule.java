package garnetreel.testbed.rules;

import garnetreel.testbed.trace.TraceEvent;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** A cold node must not collapse under the load of gateways that were notified of its start. */
final class ColdNodeOverloadRule implements Rule {
    @Override
    public String name() {
        return "no cold node pushed over";
    }

    @Override
    public void check(Run run, Findings findings) {
        new Check(run, findings).check();
    }

    private static final class Check {
        private final Run run;
        private final Findings findings;
        private final Map<String, TraceEvent> started = new HashMap<>();
        private final Map<GatewayNode, Long> notifiedUp = new HashMap<>();
        /** Arrivals at each node within the overload window. */
        private final Map<String, ArrayDeque<TraceEvent>> recent = new HashMap<>();

        Check(Run run, Findings findings) {
            this.run = run;
            this.findings = findings;
        }

        void check() {
            for (TraceEvent event : run.events()) {
                switch (event.kind()) {
                    case START -> {
                        if (event.outcome().equals("cold")) {
                            findings.recordCheck();
                        }
                        started.put(event.observer(), event);
                        recent.remove(event.observer());
                    }
                    case NOTIFY -> {
                        if (event.outcome().equals("up")) {
                            notifiedUp.put(new GatewayNode(event.counterpart(), event.operation()), event.time());
                        }
                    }
                    case ARRIVE -> recordArrival(event);
                    case COLLAPSE -> checkCollapse(event);
                    default -> {
                        // Other events do not load a node.
                    }
                }
            }
        }

        private void recordArrival(TraceEvent event) {
            ArrayDeque<TraceEvent> nodeArrivals = recent.computeIfAbsent(event.observer(), any -> new ArrayDeque<>());
            nodeArrivals.add(event);
            while (nodeArrivals.peek().time()
                    < event.time() - run.settings().rules().overloadWindow()) {
                nodeArrivals.poll();
            }
        }

        private void checkCollapse(TraceEvent event) {
            TraceEvent start = started.get(event.observer());
            long all = 0;
            long unitsFromNotified = 0;
            for (TraceEvent arrival : recent.getOrDefault(event.observer(), new ArrayDeque<>())) {
                all += arrival.units();
                if (start != null && isFromNotifiedGateway(arrival, start)) {
                    unitsFromNotified += arrival.units();
                }
            }
            // Benefit of the doubt: gateways that were not notified of the start cannot know that the node is cold. A
            // breach needs two thirds of the units from gateways that were.
            if (3 * unitsFromNotified >= 2 * all) {
                findings.recordBreach(event.observer() + " collapsed: " + event.outcome() + "; " + unitsFromNotified
                        + " of " + all + " units came from gateways notified of its start");
            }
        }

        private boolean isFromNotifiedGateway(TraceEvent arrival, TraceEvent start) {
            Long notified = notifiedUp.get(new GatewayNode(arrival.counterpart(), start.operation()));
            return notified != null && notified >= start.time() && arrival.time() >= notified;
        }
    }
}
