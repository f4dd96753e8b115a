package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Attempts in flight are found by connection, request and deadline. */
class InFlightAttemptsTest {
    private final InFlightAttempts attempts = new InFlightAttempts();
    private final UpstreamAttempt late = UpstreamTestData.attempt(1, 0, 200);
    private final UpstreamAttempt early = UpstreamTestData.attempt(2, 0, 100);
    private final UpstreamAttempt earlyRetry = UpstreamTestData.attempt(2, 1, 100);
    private final UpstreamConnection connection = UpstreamTestData.connection(-1, "s-1", 0);

    @Test
    void attemptsExpireInTheOrderOfTheirDeadlinesAndNumbers() {
        attempts.add(late, connection);
        attempts.add(earlyRetry, connection);
        attempts.add(early, connection);
        assertEquals(100, attempts.nextDeadline());
        assertNull(attempts.expired(99));
        assertSame(early, attempts.expired(100));
        attempts.remove(early);
        assertSame(earlyRetry, attempts.expired(100));
        attempts.remove(earlyRetry);
        assertNull(attempts.expired(100));
        assertEquals(200, attempts.nextDeadline());
    }

    @Test
    void theAttemptsOfARequestCanBeRemovedWhileIterating() {
        attempts.add(late, connection);
        attempts.add(early, connection);
        attempts.add(earlyRetry, connection);
        List<UpstreamAttempt> found = attempts.ofRequest(2);
        assertEquals(Set.of(early, earlyRetry), Set.copyOf(found));
        found.forEach(attempts::remove);
        assertEquals(1, attempts.size());
        assertSame(connection, attempts.connectionOf(late));
        assertNull(attempts.connectionOf(early));
    }

    @Test
    void withoutAttemptsThereIsNoDeadline() {
        assertEquals(Long.MAX_VALUE, attempts.nextDeadline());
        assertNull(attempts.expired(1_000));
    }
}
