package garnetreel.policy.ordering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the order of requests and the quiet period of a key. */
class KeySequencerTest {
    private static final long QUIET_PERIOD = 200;
    private static final long KEY = 5;

    private final KeySequencer<String> sequencer = new KeySequencer<>(QUIET_PERIOD);
    private final KeyQueue<String> queue = sequencer.enqueue(KEY, "first");

    @Test
    void onlyFirstRequestOfKeyMayStart() {
        assertEquals(queue, sequencer.enqueue(KEY, "second"));
        assertTrue(queue.mayStart("first", 0));
        assertFalse(queue.mayStart("second", 0));
        queue.remove("first");
        assertTrue(queue.mayStart("second", 0));
        assertTrue(sequencer.isConsistent());
    }

    @Test
    void quietPeriodBlocksAllButTheRequestThatStartedIt() {
        sequencer.startQuietPeriod(queue, "first", 1_000);
        assertTrue(queue.mayStart("first", 1_000));
        sequencer.enqueue(KEY, "second");
        queue.remove("first");
        assertFalse(queue.mayStart("second", 1_000 + QUIET_PERIOD - 1));
        assertTrue(queue.mayStart("second", 1_000 + QUIET_PERIOD));
    }

    @Test
    void removesKeyOnceEmptyAndPastQuietPeriod() {
        sequencer.startQuietPeriod(queue, "first", 1_000);
        queue.remove("first");
        sequencer.evictIdleKeys(1_000 + QUIET_PERIOD - 1);
        assertEquals(1, sequencer.size());
        sequencer.evictIdleKeys(1_000 + QUIET_PERIOD);
        assertEquals(0, sequencer.size());
    }

    @Test
    void requestQueuedTwiceIsInconsistent() {
        sequencer.enqueue(KEY, "first");
        assertFalse(sequencer.isConsistent());
    }
}
