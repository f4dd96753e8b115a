package garnetreel.core.platform;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the outcomes of requests, attempts and connections, and the invariant violations detected at run time. The
 * counters are logged at shutdown and whenever a new configuration is read. The fault-injection test parses the line on
 * invariants, and operators read the other one, so the printed labels are an interface: a constant may be renamed, its
 * label must not change. Some labels therefore use older words than the constants.
 */
final class GatewayCounters {
    /** The counted outcomes of requests, attempts and connections. */
    enum Event {
        REQUEST_SERVED("request_served"),
        REQUEST_REJECTED("request_refused"),
        REQUEST_REJECTED_OVER_LIMIT("request_refused_at_bound"),
        REQUEST_REJECTED_AT_SHUTDOWN("request_refused_at_end"),
        REQUEST_FAILED("request_failed"),
        REQUEST_INVALID("request_invalid"),
        CLIENT_DISCONNECTED("client_left"),
        ATTEMPT_STARTED("attempt_begun"),
        ATTEMPT_RETRIED("attempt_again"),
        ATTEMPT_WITHDRAWN("attempt_withdrawn"),
        ATTEMPT_START_DEADLINE_PASSED("attempt_too_late"),
        /** Aborted connections to changed endpoints, with an attempt or not. */
        ATTEMPT_ENDPOINT_CHANGED("attempt_server_left"),
        /** Includes connections without an attempt that failed locally. */
        ATTEMPT_NO_CONNECTION("attempt_no_connection"),
        RESPONSE_MALFORMED("answer_spoilt"),
        CLOSED_OVER_LIMIT("closed_to_make_room"),
        CLOSED_IDLE("closed_idle"),
        CLOSED_AT_SHUTDOWN("closed_at_end"),
        CLOSED_RESPONSE_UNREAD("closed_unread"),
        /** Clients that sent no complete request in time. */
        REQUEST_TIMED_OUT("request_timed_out");

        /** The printed form. */
        final String label;

        Event(String label) {
            this.label = label;
        }
    }

    /** Conditions that must always hold. Code that detects a violation counts it and, where it can, prevents it. */
    enum Invariant {
        /**
         * An attempt starts only while its client waits for the response. Counts attempts that {@link SendGuard}
         * prevented.
         */
        SEND_WITHOUT_WAITING_CLIENT("sent_for_nobody"),
        /**
         * An attempt starts only on an endpoint that is listed as up at the address of its connection. Counts attempts
         * that {@link SendGuard} prevented.
         */
        SEND_TO_UNLISTED_ENDPOINT("sent_to_unlisted"),
        /**
         * The gateway closes a connection only if no response is pending on it, unless the client does not read its
         * responses.
         */
        CLOSED_BEFORE_RESPONSE("closed_owing_an_answer"),
        /** A request gets at most one final response. */
        DUPLICATE_RESPONSE("answered_twice"),
        /** A request gets its final response before its deadline, apart from a small tolerance. */
        RESPONSE_OVERDUE("not_answered");

        /** The printed form. */
        final String label;

        Invariant(String label) {
            this.label = label;
        }
    }

    private final Map<Event, Long> events = new EnumMap<>(Event.class);
    private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);

    void count(Event event) {
        events.merge(event, 1L, Long::sum);
    }

    void recordViolation(Invariant invariant) {
        violations.merge(invariant, 1L, Long::sum);
    }

    long get(Event event) {
        return events.getOrDefault(event, 0L);
    }

    long violations() {
        long sum = 0;
        for (long count : violations.values()) {
            sum += count;
        }
        return sum;
    }

    String invariantsLine() {
        StringBuilder line = new StringBuilder("invariant violations: ").append(violations());
        for (Map.Entry<Invariant, Long> violation : violations.entrySet()) {
            line.append(' ').append(violation.getKey().label).append('=').append(violation.getValue());
        }
        return line.toString();
    }

    /** The log line with the counters of outcomes; those at 0 are omitted. */
    String totalsLine() {
        StringBuilder line = new StringBuilder("totals:");
        for (Map.Entry<Event, Long> event : events.entrySet()) {
            line.append(' ').append(event.getKey().label).append('=').append(event.getValue());
        }
        // The line starts with "totals: ", with the space, even if there are no counters, so that readers can match one
        // prefix.
        return events.isEmpty() ? "totals: " : line.toString();
    }
}
