package garnetreel.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class UnflushedWritesTest {
    private final UnflushedWrites unflushedWrites = new UnflushedWrites();

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
}
