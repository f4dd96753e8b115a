package garnetreel.core.platform;

import garnetreel.core.platform.GatewayCounters.Event;
import garnetreel.core.platform.GatewayCounters.Invariant;
import java.util.function.Predicate;

/**
 * Checks immediately before an attempt is encoded and written whether it may start. Applies to every attempt: first
 * attempts, retries, and those that had to wait for their connection to open. An attempt that is denied never starts.
 */
final class SendGuard {
    /** Checks endpoints against the current endpoint list. */
    @FunctionalInterface
    interface EndpointCheck {
        /** Whether an endpoint accepts new requests and is listed at this address. */
        boolean acceptsRequests(String endpoint, String address);
    }

    private final GatewayCounters counters;
    private final EndpointCheck endpoints;
    private final Predicate<UpstreamAttempt> clientWaiting;

    /** @param clientWaiting whether the client of an attempt's request still waits for the response */
    SendGuard(GatewayCounters counters, EndpointCheck endpoints, Predicate<UpstreamAttempt> clientWaiting) {
        this.counters = counters;
        this.endpoints = endpoints;
        this.clientWaiting = clientWaiting;
    }

    /**
     * Whether an attempt may start now; counts the decision.
     *
     * @param address the remote address of its connection
     */
    boolean mayStart(UpstreamAttempt attempt, String address, long now) {
        if (!clientWaiting.test(attempt)) {
            counters.recordViolation(Invariant.SEND_WITHOUT_WAITING_CLIENT);
            return false;
        }
        if (!endpoints.acceptsRequests(attempt.endpoint, address)) {
            counters.recordViolation(Invariant.SEND_TO_UNLISTED_ENDPOINT);
            return false;
        }
        if (now >= attempt.startDeadline) {
            counters.count(Event.ATTEMPT_START_DEADLINE_PASSED);
            return false;
        }
        counters.count(Event.ATTEMPT_STARTED);
        return true;
    }
}
