package garnetreel.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the admitted fraction by latency, and restart detection for unreachable endpoints. */
class EndpointHealthTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;
    private static final double TOLERANCE = 1e-9;

    private final EndpointHealth health = new EndpointHealth();

    @Test
    void newEndpointAdmitsEverything() {
        assertEquals(1, health.admittedFraction(NOW));
    }

    @Test
    void responseWithinObjectiveDoesNotCutAdmittedFraction() {
        health.recordLatency(NOW, 1, NOW);
        assertEquals(1, health.admittedFraction(NOW));
    }

    @Test
    void cutIsInverselyProportionalToMeanLatency() {
        health.recordLatency(NOW, 2, NOW);
        assertEquals(0.15, health.admittedFraction(NOW), TOLERANCE);
        assertTrue(health.isConsistent());
    }

    @Test
    void oneLateResponseAmongManyQuickOnesDoesNotCutAdmittedFraction() {
        for (int i = 0; i < 5; i++) {
            health.recordLatency(NOW, 0.1, NOW);
        }
        health.recordLatency(NOW, 3, NOW);
        assertEquals(1, health.admittedFraction(NOW));
    }

    @Test
    void concurrentAttemptsCutOnceByWorstLatency() {
        health.recordLatency(NOW, 2, NOW);
        health.recordLatency(NOW - 1, 4, NOW);
        assertEquals(0.1, health.admittedFraction(NOW), TOLERANCE);
    }

    @Test
    void lateAttemptInFlightCutsAdmittedFraction() {
        health.observeInFlight(NOW, 0.9, NOW);
        assertEquals(1, health.admittedFraction(NOW));
        health.observeInFlight(NOW, 1.5, NOW);
        assertEquals(0.2, health.admittedFraction(NOW), TOLERANCE);
    }

    @Test
    void quickResponsesAndTimeRaiseAdmittedFraction() {
        health.recordLatency(NOW, 2, NOW);
        health.recover(0.5, NOW);
        assertEquals(0.15, health.admittedFraction(NOW), TOLERANCE);
        health.recover(0.49, NOW);
        assertEquals(0.225, health.admittedFraction(NOW), TOLERANCE);
        assertEquals(0.225 * Math.E, health.admittedFraction(NOW + 4 * SECOND), TOLERANCE);
        assertEquals(1, health.admittedFraction(NOW + 60 * SECOND));
    }

    @Test
    void quickResponseAfterMoreThanOneSecondIndicatesRestart() {
        assertTrue(health.connectFailed(NOW));
        assertFalse(health.connectFailed(NOW + SECOND));
        assertTrue(health.isUnreachable());
        assertEquals(Recovery.RESTARTED, health.responded(true, NOW + SECOND + 1));
        assertEquals(NOW + SECOND, health.lastConnectFailureAt());
        assertFalse(health.isUnreachable());
        assertEquals(Recovery.NONE, health.responded(true, NOW + SECOND + 2));
    }

    @Test
    void slowOrEarlyResponseIndicatesLostConnection() {
        health.connectFailed(NOW);
        assertEquals(Recovery.RECONNECTED, health.responded(true, NOW + SECOND));
        health.connectFailed(NOW);
        assertEquals(Recovery.RECONNECTED, health.responded(false, NOW + 2 * SECOND));
    }
}
