package garnetreel.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class AttemptTrackerTest {
    private static final long CONNECTION = -3;

    private final AttemptTracker tracker = new AttemptTracker();
    private final NodeAttempt late = new NodeAttempt(1, 0, "n:1", 0, 200);
    private final NodeAttempt early = new NodeAttempt(2, 1, "n:1", 0, 100);

    @Test
    void attemptsTimeOutInOrderOfTimeOut() {
        tracker.add(late, CONNECTION);
        tracker.add(early, CONNECTION);
        assertEquals(100, tracker.nextDeadline());
        assertNull(tracker.firstTimedOut(99));
        assertEquals(early, tracker.firstTimedOut(100));
        tracker.remove(early);
        assertNull(tracker.firstTimedOut(199));
        assertEquals(late, tracker.firstTimedOut(300));
    }

    @Test
    void attemptIsFoundBySubRequestIdAndIndexUntilItEnds() {
        tracker.add(early, CONNECTION);
        assertEquals(CONNECTION, tracker.connectionId(new AttemptKey(2, 1)));
        assertNull(tracker.connectionId(new AttemptKey(2, 0)));
        tracker.remove(early);
        assertNull(tracker.connectionId(new AttemptKey(2, 1)));
        assertEquals(Long.MAX_VALUE, tracker.nextDeadline());
    }

    @Test
    void attemptsWithTheSameTimeOutAreDistinguished() {
        NodeAttempt higherIndex = new NodeAttempt(2, 2, "n:2", 0, 100);
        tracker.add(higherIndex, CONNECTION);
        tracker.add(early, CONNECTION);
        assertEquals(early, tracker.firstTimedOut(100));
        tracker.remove(early);
        assertEquals(higherIndex, tracker.firstTimedOut(100));
    }
}
