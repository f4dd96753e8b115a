package garnetreel.policy;

import static garnetreel.policy.TestSettings.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Checks the seven safety rules on every action of a scheduler, based only on its events and actions. */
final class SafetyRulesChecker {
    /** Time and size, in thousandths of a unit, of an attempt sent to an endpoint. */
    private record SentUnits(long sentAt, long milliUnits) {}

    private final SchedulerSettings settings;
    private final long startedAt;
    private final Map<Long, ObservedRequest> requests = new LinkedHashMap<>();
    private final Map<String, EndpointEntry> listed = new HashMap<>();
    private final Map<String, Long> unavailableSinceByEndpoint = new HashMap<>();
    private final Map<Long, Double> bucketLevels = new HashMap<>();
    private final Map<Long, Long> bucketUpdatedAt = new HashMap<>();
    private final Map<String, List<SentUnits>> sentByEndpoint = new HashMap<>();
    private final Map<String, Double> servedByEndpoint = new HashMap<>();
    private final List<Long> receivedAt = new ArrayList<>();
    private final List<Long> retriedAt = new ArrayList<>();
    private final Map<Long, Long> quietUntil = new HashMap<>();
    private final Map<Long, ObservedRequest> quietCausedBy = new HashMap<>();

    SafetyRulesChecker(SchedulerSettings settings, long startedAt) {
        this.settings = settings;
        this.startedAt = startedAt;
    }

    ObservedRequest request(long id) {
        return requests.get(id);
    }

    boolean isKnown(long id) {
        return requests.containsKey(id);
    }

    Map<Long, ObservedRequest> requests() {
        return requests;
    }

    Collection<ObservedRequest> observedRequests() {
        return requests.values();
    }

    // ---------------------------------------------------------------- events delivered to the scheduler

    void endpointsUpdated(EndpointUpdateKind kind, List<EndpointEntry> entries, long now) {
        if (kind == EndpointUpdateKind.SNAPSHOT || kind == EndpointUpdateKind.CACHED) {
            listed.replaceAll((address, entry) ->
                    TestSettings.entry(address, entry.shard(), EndpointState.REMOVED, entry.startedAt()));
        }
        for (EndpointEntry entry : entries) {
            listed.put(entry.name(), entry);
        }
        listed.forEach((address, entry) -> {
            if (entry.state() == EndpointState.UP) {
                unavailableSinceByEndpoint.remove(address);
            } else {
                unavailableSinceByEndpoint.putIfAbsent(address, now);
            }
        });
    }

    void observe(SchedulerEvent event, long now) {
        if (event instanceof RequestReceived received && !isKnown(received.id())) {
            observeRequest(received, now);
        } else if (event instanceof AttemptCompleted completed && isInFlight(completed)) {
            observeOutcome(completed, now);
        } else if (event instanceof RequestCancelled cancelled && isKnown(cancelled.id())) {
            request(cancelled.id()).ended = true;
        }
    }

    private void observeRequest(RequestReceived received, long now) {
        requests.put(
                received.id(),
                new ObservedRequest(
                        received,
                        settings.classes().stream()
                                .filter(requestClass -> requestClass.name().equals(received.className()))
                                .findFirst()
                                .orElse(TestSettings.once())));
        receivedAt.add(now);
    }

    private boolean isInFlight(AttemptCompleted completed) {
        ObservedRequest observed = request(completed.id());
        return observed != null
                && completed.attempt() >= 0
                && completed.attempt() < observed.sends.size()
                && observed.outcomes.get(completed.attempt()) == null;
    }

    private void observeOutcome(AttemptCompleted completed, long now) {
        ObservedRequest observed = request(completed.id());
        observed.outcomes.set(completed.attempt(), completed.outcome());
        if (completed.outcome() == Outcome.OK) {
            servedByEndpoint.merge(completed.endpoint(), observed.request.units(), Double::sum);
        }
        observed.ended |= completed.requestCompleted();
        if (observed.requestClass.ordered()
                && List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED).contains(completed.outcome())) {
            quietUntil.put(observed.request.key(), now + settings.rules().keyQuietPeriod());
            quietCausedBy.put(observed.request.key(), observed);
        }
    }

    // ---------------------------------------------------------------- actions returned by the scheduler

    void check(SchedulerAction action, long now) {
        if (action instanceof SendAttempt send) {
            checkSend(send, now);
        } else if (action instanceof RejectRequest reject) {
            checkRejection(reject, now);
        } else if (action instanceof FailRequest fail) {
            checkFinalResponse(fail.id(), now);
        }
    }

    private void checkRejection(RejectRequest reject, long now) {
        ObservedRequest observed = request(reject.id());
        checkFinalResponse(reject.id(), now);
        boolean notExecuted = true;
        for (int i = 0; i < observed.sends.size(); i++) {
            notExecuted &= !observed.possiblyExecuted(i);
        }
        assertTrue(
                notExecuted
                        || observed.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || observed.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && observed.requestClass.deduplicationScope() == DeduplicationScope.ALL,
                "rejected a request that was possibly executed");
    }

    private void checkFinalResponse(long id, long now) {
        ObservedRequest observed = request(id);
        assertTrue(observed != null, "responded to a request that was never received");
        assertFalse(observed.ended, "a second final response");
        assertTrue(
                now <= observed.request.deadline() + settings.rules().responseGrace(), "responded past the deadline");
        observed.ended = true;
    }

    private void checkSend(SendAttempt send, long now) {
        ObservedRequest observed = request(send.id());
        assertTrue(observed != null, "sent a request that was never received");
        assertFalse(observed.ended, "sent after the final response");
        assertTrue(listed.containsKey(send.endpoint()), "sent to an endpoint that was never listed");
        assertEquals(0, observed.attemptsInFlight(), "a second attempt while one is in flight");
        Long unavailableSince = unavailableSinceByEndpoint.get(send.endpoint());
        assertTrue(
                unavailableSince == null
                        || now - unavailableSince < settings.rules().drainGrace(),
                "sent to an endpoint that is draining or removed");
        checkIdempotency(observed, send, now);
        checkOrder(observed, now);
        if (observed.sends.isEmpty()) {
            checkRateLimit(observed.request, now);
        } else {
            checkRetryBudget(now);
        }
        checkSlowStart(send.endpoint(), observed.request.units(), now);
        observed.sends.add(send);
        observed.sentAt.add(now);
        observed.outcomes.add(null);
    }

    private void checkIdempotency(ObservedRequest observed, SendAttempt send, long now) {
        for (int i = 0; i < observed.sends.size(); i++) {
            if (observed.possiblyExecuted(i) && observed.requestClass.idempotency() != Idempotency.IDEMPOTENT) {
                assertEquals(
                        Idempotency.IDEMPOTENCY_KEY,
                        observed.requestClass.idempotency(),
                        "a possibly executed non-idempotent request sent again");
                assertTrue(
                        now - observed.sentAt.get(i) <= observed.requestClass.deduplicationWindow(),
                        "a request with an idempotency key sent again after its deduplication window");
                assertEquals(
                        listed.get(observed.sends.get(i).endpoint()).shard(),
                        listed.get(send.endpoint()).shard());
            }
        }
    }

    private void checkOrder(ObservedRequest observed, long now) {
        long key = observed.request.key();
        if (!observed.requestClass.ordered() || key < 0) {
            return;
        }
        for (ObservedRequest other : requests.values()) {
            if (other == observed) {
                break;
            }
            if (other.requestClass.ordered() && other.request.key() == key) {
                assertTrue(
                        other.ended && other.attemptsInFlight() == 0,
                        "sent before an earlier request with the same key ended");
            }
        }
        assertTrue(
                quietCausedBy.get(key) == observed || now >= quietUntil.getOrDefault(key, 0L),
                "sent in the quiet period of its key");
    }

    private void checkRateLimit(RequestReceived request, long now) {
        Plan plan = settings.plans().stream()
                .filter(candidate -> candidate.name().equals(request.plan()))
                .findFirst()
                .orElse(null);
        if (plan == null || plan.rateLimit() <= 0) {
            return;
        }
        // This gateway alone must stay within its equal share of the limit.
        double capacity = plan.burst() / request.gateways();
        long before = bucketUpdatedAt.getOrDefault(request.volume(), 0L);
        double level = Math.min(
                        capacity,
                        bucketLevels.getOrDefault(request.volume(), capacity)
                                + plan.rateLimit() / request.gateways() * (now - before) / 1e6)
                - request.units();
        assertTrue(level >= -1e-6, "rate limit exceeded");
        bucketLevels.put(request.volume(), level);
        bucketUpdatedAt.put(request.volume(), now);
    }

    private void checkRetryBudget(long now) {
        long windowStart = now - settings.rules().retryWindow();
        retriedAt.add(now);
        long retries = retriedAt.stream().filter(time -> time > windowStart).count();
        long received = receivedAt.stream().filter(time -> time > windowStart).count();
        assertTrue(
                retries <= settings.rules().freeRetries() + settings.rules().retryRatio() * received,
                "retry budget exceeded");
    }

    /**
     * Checks that this gateway stays within its share of a cold endpoint's capacity: a share of the configured capacity
     * that is always safe, or one derived from what the endpoint served to this gateway before.
     */
    private void checkSlowStart(String endpoint, double units, long now) {
        SafetyRules rules = settings.rules();
        List<SentUnits> sent = sentByEndpoint.computeIfAbsent(endpoint, absent -> new ArrayList<>());
        sent.add(new SentUnits(now, Math.round(units * 1000)));
        long started = listed.get(endpoint).startedAt();
        if (started > 0 && now - started < rules.warmUpDuration()) {
            double capacityFraction = rules.initialCapacityFraction()
                    + (1 - rules.initialCapacityFraction()) * (now - started) / rules.warmUpDuration();
            double servedPerSecond =
                    servedByEndpoint.getOrDefault(endpoint, 0.0) * SECOND / Math.max(4 * SECOND, now - startedAt);
            double gatewayShare = Math.max(
                    settings.coldEndpointCapacity()
                            / settings.gateways()
                            * capacityFraction
                            / rules.initialCapacityFraction(),
                    1.5
                            * rules.overloadMultiple()
                            * capacityFraction
                            * servedPerSecond
                            * rules.overloadWindow()
                            / SECOND);
            // Admission is random. A decaying average over the window limits it to 1.3 times the share, which allows up
            // to twice that in one window, and single requests add to it. FleetTest checks the total over gateways.
            double bound = 2.6 * gatewayShare + 4 * settings.maxUnits();
            double total = sent.stream()
                            .filter(attempt ->
                                    attempt.sentAt() > now - rules.overloadWindow() && attempt.sentAt() >= started)
                            .mapToLong(SentUnits::milliUnits)
                            .sum()
                    / 1000.0;
            assertTrue(
                    total <= bound + 1e-6,
                    "cold endpoint overloaded: units sent in the window " + total + ", bound " + bound);
        }
    }

    /** Asserts that every request received has got its final response. */
    void assertAllAnswered() {
        requests.forEach((id, observed) -> assertTrue(observed.ended, "request " + id + " got no final response"));
    }
}
