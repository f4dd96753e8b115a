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

/** Checks all seven rules, from the outside, on every action that a scheduler returns. */
final class SafetyRulesChecker {
    /** One attempt that an endpoint was sent. */
    private record SentUnits(long sentAt, long thousandths) {}

    private final SchedulerSettings settings;
    private final long startedAt;
    private final Map<Long, ObservedRequest> requests = new LinkedHashMap<>();
    private final Map<String, EndpointEntry> listed = new HashMap<>();
    private final Map<String, Long> closedAt = new HashMap<>();
    private final Map<Long, Double> limitLevels = new HashMap<>();
    private final Map<Long, Long> limitLevelsAt = new HashMap<>();
    private final Map<String, List<SentUnits>> sentByEndpoint = new HashMap<>();
    private final Map<String, Double> servedByEndpoint = new HashMap<>();
    private final List<Long> receivedAt = new ArrayList<>();
    private final List<Long> retriedAt = new ArrayList<>();
    private final Map<Long, Long> quietUntil = new HashMap<>();
    private final Map<Long, ObservedRequest> quietBecauseOf = new HashMap<>();

    SafetyRulesChecker(SchedulerSettings settings, long startedAt) {
        this.settings = settings;
        this.startedAt = startedAt;
    }

    ObservedRequest request(long id) {
        return requests.get(id);
    }

    boolean knows(long id) {
        return requests.containsKey(id);
    }

    Map<Long, ObservedRequest> requests() {
        return requests;
    }

    Collection<ObservedRequest> all() {
        return requests.values();
    }

    // ---------------------------------------------------------------- what the scheduler is given

    void endpointsUpdated(EndpointUpdateKind kind, List<EndpointEntry> entries, long now) {
        if (kind == EndpointUpdateKind.SNAPSHOT || kind == EndpointUpdateKind.CACHED) {
            listed.replaceAll((address, entry) ->
                    TestSettings.entry(address, entry.shard(), EndpointState.REMOVED, entry.startedAt()));
        }
        for (EndpointEntry entry : entries) {
            listed.put(entry.address(), entry);
        }
        listed.forEach((address, entry) -> {
            if (entry.state() == EndpointState.UP) {
                closedAt.remove(address);
            } else {
                closedAt.putIfAbsent(address, now);
            }
        });
    }

    void observe(SchedulerEvent event, long now) {
        if (event instanceof RequestReceived received && !knows(received.id())) {
            observeRequest(received, now);
        } else if (event instanceof AttemptCompleted completed && isInFlight(completed)) {
            observeOutcome(completed, now);
        } else if (event instanceof RequestCancelled cancelled && knows(cancelled.id())) {
            request(cancelled.id()).over = true;
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
        observed.over |= completed.requestCompleted();
        if (observed.requestClass.ordered()
                && List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED).contains(completed.outcome())) {
            quietUntil.put(observed.request.key(), now + settings.rules().keyQuietPeriod());
            quietBecauseOf.put(observed.request.key(), observed);
        }
    }

    // ---------------------------------------------------------------- what the scheduler decides

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
                "rejected what was possibly executed");
    }

    private void checkFinalResponse(long id, long now) {
        ObservedRequest observed = request(id);
        assertTrue(observed != null, "responded to a request that was never received");
        assertFalse(observed.over, "a second final response");
        assertTrue(
                now <= observed.request.deadline() + settings.rules().responseGrace(), "responded past the deadline");
        observed.over = true;
    }

    private void checkSend(SendAttempt send, long now) {
        ObservedRequest observed = request(send.id());
        assertTrue(observed != null, "sent a request that was never received");
        assertFalse(observed.over, "sent after the final response");
        assertTrue(listed.containsKey(send.endpoint()), "sent to an endpoint that no list named");
        assertEquals(0, observed.attemptsInFlight(), "two attempts at once");
        Long closed = closedAt.get(send.endpoint());
        assertTrue(closed == null || now - closed < settings.rules().drainGrace(), "sent to a drained endpoint");
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
                        "a non-idempotent request sent again");
                assertTrue(
                        now - observed.sentAt.get(i) <= observed.requestClass.deduplicationWindow(),
                        "a keyed request sent after its window");
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
                        other.over && other.attemptsInFlight() == 0, "sent before an earlier request of its key ended");
            }
        }
        assertTrue(
                quietBecauseOf.get(key) == observed || now >= quietUntil.getOrDefault(key, 0L),
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
        // This gateway alone must stay within its even part of the limit.
        double capacity = plan.burst() / request.gateways();
        long before = limitLevelsAt.getOrDefault(request.volume(), 0L);
        double level = Math.min(
                        capacity,
                        limitLevels.getOrDefault(request.volume(), capacity)
                                + plan.rateLimit() / request.gateways() * (now - before) / 1e6)
                - request.units();
        assertTrue(level >= -1e-6, "rate limit exceeded");
        limitLevels.put(request.volume(), level);
        limitLevelsAt.put(request.volume(), now);
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

    /** This gateway's part of what a cold endpoint bears: of what it was served before, or of the figure that is always safe. */
    private void checkSlowStart(String endpoint, double units, long now) {
        SafetyRules rules = settings.rules();
        List<SentUnits> sent = sentByEndpoint.computeIfAbsent(endpoint, absent -> new ArrayList<>());
        sent.add(new SentUnits(now, Math.round(units * 1000)));
        long started = listed.get(endpoint).startedAt();
        if (started > 0 && now - started < rules.warmUpDuration()) {
            double present = rules.initialCapacityFraction()
                    + (1 - rules.initialCapacityFraction()) * (now - started) / rules.warmUpDuration();
            double mean = servedByEndpoint.getOrDefault(endpoint, 0.0) * SECOND / Math.max(4 * SECOND, now - startedAt);
            double ownPart = Math.max(
                    settings.coldEndpointCapacity() / settings.gateways() * present / rules.initialCapacityFraction(),
                    1.5 * rules.overloadMultiple() * present * mean * rules.overloadWindow() / SECOND);
            // Chance decides; what is admitted is held to 1.3 of the plan in a fading memory as long as the window,
            // so to twice that in a window, and single requests come on top. FleetTest sums over gateways.
            double bound = 2.6 * ownPart + 4 * settings.maxUnits();
            double total = sent.stream()
                            .filter(attempt ->
                                    attempt.sentAt() > now - rules.overloadWindow() && attempt.sentAt() >= started)
                            .mapToLong(SentUnits::thousandths)
                            .sum()
                    / 1000.0;
            assertTrue(total <= bound + 1e-6, "a cold endpoint overloaded: " + total + " of " + bound);
        }
    }

    /** Every request that was received has had its one final response. */
    void assertAllAnswered() {
        requests.forEach((id, observed) -> assertTrue(observed.over, "request " + id + " was lost"));
    }
}
