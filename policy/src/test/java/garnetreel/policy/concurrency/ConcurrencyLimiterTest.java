package garnetreel.policy.concurrency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the window of the concurrency limiter, and which attempts occupy a slot. */
class ConcurrencyLimiterTest {
    private static final long OBJECTIVE = 400_000;

    private final ConcurrencyLimiter limiter = new ConcurrencyLimiter();

    private record SentAttempt(long sentAt) implements InFlightAttempt {
        @Override
        public double toObjectiveMultiple(long duration) {
            return (double) duration / OBJECTIVE;
        }
    }

    @Test
    void attemptsInFlightOccupySlots() {
        assertEquals(2, limiter.freeSlots(0));
        SentAttempt attempt = new SentAttempt(0);
        limiter.attemptSent(attempt);
        assertEquals(1, limiter.freeSlots(0));
        limiter.ended(attempt);
        assertTrue(limiter.isIdle());
        assertEquals(2, limiter.freeSlots(0));
    }

    @Test
    void lateOvertakenAttemptOccupiesNoSlot() {
        limiter.attemptSent(new SentAttempt(0));
        limiter.answered(1);
        assertTrue(limiter.isOvertaken(0));
        assertEquals(1, limiter.freeSlots(OBJECTIVE - 1));
        assertEquals(2, limiter.freeSlots(OBJECTIVE));
    }

    @Test
    void quickResponsesGrowFullWindowUpToSix() {
        limiter.adapt(0, 0.29, false, 0);
        assertEquals(2, limiter.freeSlots(0), "the window was not full");
        limiter.adapt(0, 0.3, true, 0);
        assertEquals(2, limiter.freeSlots(0), "the response was not quick");
        for (int i = 0; i < 100; i++) {
            limiter.adapt(0, 0.29, true, 0);
        }
        assertEquals(6, limiter.freeSlots(0));
        assertTrue(limiter.isConsistent());
    }

    @Test
    void slowResponseShrinksWindowOncePerRoundTrip() {
        limiter.adapt(5, 0.51, true, 10);
        assertEquals(1.6, limiter.freeSlots(10));
        limiter.adapt(9, 0.51, true, 11);
        assertEquals(1.6, limiter.freeSlots(11), "sent before the decrease");
        for (int i = 0; i < 100; i++) {
            limiter.adapt(20 + i, 0.51, true, 20 + i);
        }
        assertEquals(1, limiter.freeSlots(200));
    }

    @Test
    void limitsAttemptsInFlightToEightIncludingLostOnes() {
        for (int i = 0; i < 8; i++) {
            limiter.attemptSent(new SentAttempt(0));
        }
        limiter.answered(1);
        assertEquals(0, limiter.freeSlots(OBJECTIVE));
        assertTrue(limiter.isConsistent());
        limiter.attemptSent(new SentAttempt(0));
        assertFalse(limiter.isConsistent());
    }

    @Test
    void resetWindowIsOne() {
        limiter.resetWindow();
        assertEquals(1, limiter.freeSlots(0));
        assertTrue(limiter.isNearlyFull(0));
    }
}
