package garnetreel.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.GatewaySettings;
import garnetreel.core.connection.NodeAttempt;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** When a write is surely over: answered, never sent, or past its deadline and the time for work. */
class UnsettledWritesTest {
    private static final long DEADLINE = 1_000;

    private final UnsettledWrites writes = new UnsettledWrites(settings("disk"));

    private static GatewaySettings settings(String moduleVolume) {
        GatewaySettings.Module module = new GatewaySettings.Module("files", "", moduleVolume, false, Map.of());
        GatewaySettings.Files files = new GatewaySettings.Files("", List.of(module), new byte[0]);
        return new GatewaySettings(0, 1, "", "", "", null, List.of(RequestFixtures.VOLUME), 0, null, null, files);
    }

    private static void begin(UnsettledWrites writes, long id, long offset, int length) {
        BlockOperation operation = RequestFixtures.operation(Op.WRITE, offset, length);
        writes.begin(
                RequestFixtures.subRequest(id, operation, offset, length, 0), new NodeAttempt(id, 0, "n", 0, DEADLINE));
    }

    private boolean mayStillChange(long offset, long length) {
        return writes.mayStillChange(RequestFixtures.VOLUME, offset, length);
    }

    @Test
    void onlyOverlappingRangesOfUnansweredWritesMayChange() {
        begin(writes, 1, 8192, 4096);
        begin(writes, 2, 0, 4096);
        assertTrue(mayStillChange(8191, 2));
        assertTrue(mayStillChange(12_287, 1));
        assertFalse(mayStillChange(12_288, 4096));
        assertFalse(mayStillChange(4096, 4096));
        writes.settle(1, 0);
        assertFalse(mayStillChange(8192, 4096));
        assertTrue(mayStillChange(0, 1));
        assertEquals(1, writes.settledWrites());
    }

    @Test
    void unansweredWriteIsOverOnceItsNodeMayNotWorkOnItAnyMore() {
        begin(writes, 1, 0, 4096);
        assertEquals(DEADLINE + writes.maxWriteWork(), writes.nextDeadline());
        writes.beginTurn(writes.nextDeadline() - 1);
        writes.expire();
        assertTrue(mayStillChange(0, 4096));
        writes.beginTurn(writes.nextDeadline());
        writes.expire();
        assertFalse(mayStillChange(0, 4096));
        assertFalse(writes.hasUnsettledWrites());
    }

    /** At the limit of memory, what can't be tracked counts as a write to the whole volume. */
    @Test
    void writesBeyondTheLimitWithholdTheWholeVolume() {
        for (int id = 0; id < 65_537; id++) {
            begin(writes, id, 0, 1);
        }
        assertTrue(mayStillChange(1 << 19, 1));
        writes.beginTurn(DEADLINE + writes.maxWriteWork());
        writes.expire();
        assertFalse(mayStillChange(0, 1 << 20));
    }

    @Test
    void volumesOfBlockClientsAreNotTracked() {
        UnsettledWrites untracked = new UnsettledWrites(settings("another"));
        begin(untracked, 1, 0, 4096);
        assertFalse(untracked.hasUnsettledWrites());
    }
}
