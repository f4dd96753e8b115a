package garnetreel.testbed.rules;

import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.testbed.node.NodeFault;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import garnetreel.testbed.trace.TraceLabels;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The trace of a run, with lookups shared by several rules. */
final class Run {
    /** Prefix of the process name of a gateway, followed by its number. */
    private static final String GATEWAY_PREFIX = "head-";

    /** Faults under which a process does not read from its connections. */
    private static final Set<String> STOPS_READING = Set.of(NodeFault.Kind.HALF_OPEN.label(), TraceLabels.STALL);

    /** A period in which a process did not read: messages that arrived then are seen when it ends. */
    record UnresponsivePeriod(String process, long from, long to) {
        boolean contains(long time) {
            return time >= from && time <= to;
        }
    }

    private final RuleSettings settings;
    private final List<TraceEvent> events;
    private final List<UnresponsivePeriod> unresponsive = new ArrayList<>();

    Run(RuleSettings settings, List<TraceEvent> trace) {
        this.settings = settings;
        this.events = new ArrayList<>(trace);
        this.events.sort(Comparator.comparingLong(TraceEvent::time));
        findUnresponsivePeriods();
    }

    private void findUnresponsivePeriods() {
        Map<String, Long> since = new HashMap<>();
        for (TraceEvent event : events) {
            if (event.kind() == Kind.FAULT && STOPS_READING.contains(event.operation())) {
                if (event.outcome().equals("on")) {
                    since.putIfAbsent(event.observer(), event.time());
                } else if (since.containsKey(event.observer())) {
                    long to = event.time() + settings.transit();
                    unresponsive.add(new UnresponsivePeriod(event.observer(), since.remove(event.observer()), to));
                }
            }
        }
        long end = end();
        since.forEach((process, from) -> unresponsive.add(new UnresponsivePeriod(process, from, end)));
    }

    /** All events in order of time. */
    List<TraceEvent> events() {
        return events;
    }

    /** Time of the last event. */
    long end() {
        return events.isEmpty() ? 0 : events.get(events.size() - 1).time();
    }

    RuleSettings settings() {
        return settings;
    }

    long transit() {
        return settings.transit();
    }

    /** The request class of an event; null if its volume is unknown. */
    RequestClass requestClass(TraceEvent event) {
        return settings.requestClass(event.volume(), event.operation());
    }

    Plan plan(TraceEvent event) {
        return settings.plan(event.volume());
    }

    /**
     * The earliest time at which an attempt that arrived may have been sent, the usual transit not subtracted. Earlier
     * than the arrival only if the observer was not reading.
     */
    long earliestSendTime(TraceEvent arrival) {
        long from = arrival.time();
        for (UnresponsivePeriod period : unresponsive) {
            if (period.process().equals(arrival.observer()) && from >= period.from() && arrival.time() <= period.to()) {
                from = period.from();
            }
        }
        return from;
    }

    /** The periods in which a gateway was unresponsive. */
    List<UnresponsivePeriod> gatewayUnresponsivePeriods(String gateway) {
        String process = GATEWAY_PREFIX + gateway;
        return unresponsive.stream()
                .filter(period -> period.process().equals(process))
                .toList();
    }

    /** Name of a request in findings: the number of its client, and its sequence number there. */
    static String requestName(TraceEvent event) {
        return "request " + (event.tag() >>> 32) + "/" + (event.tag() & 0xffffffffL);
    }
}
