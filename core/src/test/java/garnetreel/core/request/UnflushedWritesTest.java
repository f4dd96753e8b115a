package garnetreel.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UnflushedWritesTest {
    private final UnflushedWrites unflushedWrites = new UnflushedWrites();

    /** Begins after the first flush of both volumes. */
    @BeforeEach
    void coverAllShards() {
        unflushedWrites.assumeUnflushed(1, Set.of());
        unflushedWrites.assumeUnflushed(2, Set.of());
    }

    @Test
    void flushCoversWritesAcknowledgedBeforeIt() {
        unflushedWrites.recordWrite(1, 4, 10);
        long lastWriteNumber = unflushedWrites.lastWriteNumber();
        unflushedWrites.recordWrite(1, 4, 10);
        assertTrue(unflushedWrites.recordFlush(1, 4, 10, lastWriteNumber));
        assertEquals(Set.of(4), unflushedWrites.shards(1));
        assertTrue(unflushedWrites.recordFlush(1, 4, 10, unflushedWrites.lastWriteNumber()));
        assertEquals(Set.of(), unflushedWrites.shards(1));
    }

    @Test
    void writeOfAnEarlierIncarnationIsLostAndReportedOnce() {
        unflushedWrites.recordWrite(1, 4, 10);
        unflushedWrites.recordWrite(1, 4, 11);
        assertFalse(unflushedWrites.recordFlush(1, 4, 11, unflushedWrites.lastWriteNumber()));
        assertTrue(unflushedWrites.recordFlush(1, 4, 11, unflushedWrites.lastWriteNumber()));
    }

    @Test
    void volumesAndShardsAreIndependent() {
        unflushedWrites.recordWrite(1, 4, 10);
        unflushedWrites.recordWrite(1, 5, 20);
        unflushedWrites.recordWrite(2, 4, 10);
        assertEquals(Set.of(4, 5), unflushedWrites.shards(1));
        assertTrue(unflushedWrites.recordFlush(2, 4, 10, unflushedWrites.lastWriteNumber()));
        assertFalse(unflushedWrites.recordFlush(1, 5, 21, unflushedWrites.lastWriteNumber()));
        assertEquals(Set.of(4), unflushedWrites.shards(1));
    }

    @Test
    void writesOfIncarnationsBeyondTheLimitCountAsLost() {
        for (long incarnation = 0; incarnation < 100; incarnation++) {
            unflushedWrites.recordWrite(1, 4, incarnation);
        }
        assertFalse(unflushedWrites.recordFlush(1, 4, 99, unflushedWrites.lastWriteNumber()));
    }

    /** A restarted gateway took a flush for done without asking the nodes that an earlier process had written to. */
    @Test
    void everyShardOfAVolumeIsFlushedBeforeItsShardsAreTakenAsKnown() {
        assertThrows(IllegalStateException.class, () -> unflushedWrites.shards(3));
        unflushedWrites.assumeUnflushed(3, Set.of(4, 5));
        assertTrue(unflushedWrites.recordFlush(3, 4, 10, unflushedWrites.lastWriteNumber()));
        assertEquals(Set.of(5), unflushedWrites.shards(3));
        assertTrue(unflushedWrites.recordFlush(3, 5, 10, unflushedWrites.lastWriteNumber()));
        assertEquals(Set.of(), unflushedWrites.shards(3));
    }

    @Test
    void writeOfAnEarlierProcessIsLostIfItsNodeHasRestarted() {
        UnflushedWrites restarted = new UnflushedWrites();
        restarted.restore(Set.of(new UnflushedWrites.WrittenNode(1, 4, 10), new UnflushedWrites.WrittenNode(1, 5, 20)));
        restarted.assumeUnflushed(1, Set.of(4, 5, 6));
        assertFalse(restarted.recordFlush(1, 4, 11, 0));
        assertTrue(restarted.recordFlush(1, 5, 20, 0));
        assertTrue(restarted.recordFlush(1, 6, 30, 0));
    }
}
