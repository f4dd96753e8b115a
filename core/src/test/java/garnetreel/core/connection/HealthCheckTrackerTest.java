package garnetreel.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.connection.HealthCheckTracker.HealthCheck;
import java.util.List;
import org.junit.jupiter.api.Test;

class HealthCheckTrackerTest {
    private final HealthCheckTracker checks = new HealthCheckTracker();

    @Test
    void checkIsCompletedOnce() {
        long id = checks.begin("n:1", -1, 10);
        assertEquals(new HealthCheck("n:1", -1, 10), checks.complete(id));
        assertNull(checks.complete(id));
    }

    @Test
    void checksOnAConnectionAreRemovedOldestFirst() {
        checks.begin("n:1", -1, 10);
        long other = checks.begin("n:2", -2, 11);
        checks.begin("n:1", -1, 12);
        checks.begin("n:1", -1, 12);
        assertEquals(
                List.of(10L, 12L, 12L),
                checks.removeAllOn(-1).stream().map(HealthCheck::sentAt).toList());
        assertEquals(List.of(), checks.removeAllOn(-1));
        assertEquals(new HealthCheck("n:2", -2, 11), checks.complete(other));
    }

    @Test
    void isFullAtTheLimit() {
        for (int i = 0; i < 63; i++) {
            checks.begin("n:1", -1, i);
        }
        assertFalse(checks.isFull());
        long last = checks.begin("n:1", -1, 63);
        assertTrue(checks.isFull());
        checks.complete(last);
        assertFalse(checks.isFull());
    }
}
