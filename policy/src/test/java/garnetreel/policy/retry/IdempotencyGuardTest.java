package garnetreel.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.endpoint.Endpoint;
import garnetreel.policy.endpoint.EndpointListValidity;
import garnetreel.policy.endpoint.EndpointTable;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.timing.ProcessPause;
import org.junit.jupiter.api.Test;

/** Tests which retries are permitted after attempts that may have been executed. */
class IdempotencyGuardTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;
    private static final long MARGIN = 4_000;

    private final EndpointTable table = new EndpointTable(new EndpointListValidity());
    private final Endpoint first = endpoint("first", "east", 1);
    private final Endpoint sameShard = endpoint("same-shard", "west", 1);
    private final Endpoint sameZone = endpoint("same-zone", "east", 2);

    private Endpoint endpoint(String address, String zone, int shard) {
        return table.apply(new EndpointEntry(address, zone, shard, EndpointState.UP, 1, 0));
    }

    private static RequestClass keyed(DeduplicationScope scope) {
        return new RequestClass(
                "keyed", SECOND, 0, SECOND, Idempotency.IDEMPOTENCY_KEY, scope, 0, false, SECOND, 1, false, true);
    }

    private IdempotencyGuard guardWithOneAttempt(RequestClass requestClass) {
        IdempotencyGuard guard = new IdempotencyGuard(requestClass, MARGIN);
        guard.attemptSent(first, NOW);
        return guard;
    }

    @Test
    void idempotentRequestMayBeRetriedAnywhere() {
        IdempotencyGuard guard = guardWithOneAttempt(TestSettings.read());
        assertTrue(guard.allowsRetry(NOW));
        assertTrue(guard.allowsEndpoint(sameZone));
        assertTrue(guard.clientMayRetry());
        assertEquals(Long.MAX_VALUE, guard.mustStartBefore());
    }

    @Test
    void nonIdempotentRequestMayBeRetriedOnlyIfProvenNotExecuted() {
        IdempotencyGuard guard = guardWithOneAttempt(TestSettings.once());
        assertFalse(guard.allowsRetry(NOW));
        assertFalse(guard.clientMayRetry());
        guard.provenNotExecuted();
        assertTrue(guard.allowsRetry(NOW));
        assertTrue(guard.clientMayRetry());
        assertTrue(guard.isConsistent());
    }

    @Test
    void keyedRequestMayBeRetriedWithinDeduplicationWindowLessMargins() {
        IdempotencyGuard guard = guardWithOneAttempt(keyed(DeduplicationScope.ALL));
        long end = NOW + SECOND - MARGIN - ProcessPause.MARGIN_MICROS;
        assertEquals(end, guard.mustStartBefore());
        assertTrue(guard.allowsRetry(end - 1));
        assertFalse(guard.allowsRetry(end));
        guard.attemptSent(sameZone, NOW + 1);
        assertEquals(end, guard.mustStartBefore(), "the window begins with the first attempt");
    }

    @Test
    void deduplicationScopeLimitsEndpoints() {
        IdempotencyGuard shard = guardWithOneAttempt(keyed(DeduplicationScope.SHARD));
        assertTrue(shard.allowsEndpoint(first));
        assertTrue(shard.allowsEndpoint(sameShard));
        assertFalse(shard.allowsEndpoint(sameZone));
        IdempotencyGuard zone = guardWithOneAttempt(keyed(DeduplicationScope.ZONE));
        assertFalse(zone.allowsEndpoint(sameShard));
        assertTrue(zone.allowsEndpoint(sameZone));
        IdempotencyGuard all = guardWithOneAttempt(keyed(DeduplicationScope.ALL));
        assertTrue(all.allowsEndpoint(sameShard));
        assertTrue(all.allowsEndpoint(sameZone));
        assertFalse(shard.clientMayRetry(), "the client's retry may reach another shard");
        assertTrue(all.clientMayRetry());
    }

    @Test
    void moreProofsThanAttemptsIsInconsistent() {
        IdempotencyGuard guard = guardWithOneAttempt(TestSettings.once());
        guard.provenNotExecuted();
        guard.provenNotExecuted();
        assertFalse(guard.isConsistent());
    }

    @Test
    void retryPolicyDependsOnTimeOutcomeAndAttempts() {
        RetryPolicy policy = new RetryPolicy(3, new RetryBudget(TestSettings.rules()));
        IdempotencyGuard guard = guardWithOneAttempt(TestSettings.read());
        assertEquals(RetryDecision.RETRY, policy.afterOutcome(Outcome.ERROR, 2, NOW + 1, guard, NOW));
        assertEquals(RetryDecision.GIVE_UP, policy.afterOutcome(Outcome.ERROR, 3, NOW + 1, guard, NOW));
        assertEquals(RetryDecision.GIVE_UP, policy.afterOutcome(Outcome.ERROR, 2, NOW, guard, NOW));
        assertEquals(RetryDecision.GIVE_UP, policy.afterOutcome(Outcome.TIMEOUT, 2, NOW + 1, guard, NOW));
        assertEquals(RetryDecision.GIVE_UP, policy.afterOutcome(Outcome.CANCELLED, 2, NOW + 1, guard, NOW));
        assertEquals(RetryDecision.RETRY_ELSEWHERE, policy.afterOutcome(Outcome.OVERLOADED, 2, NOW + 1, guard, NOW));
    }
}
