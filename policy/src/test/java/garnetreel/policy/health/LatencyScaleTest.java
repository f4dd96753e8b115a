package garnetreel.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import org.junit.jupiter.api.Test;

/** Tests scaled latencies with a tightest objective of 400 ms and a mean size of 2 units. */
class LatencyScaleTest {
    private final LatencyScale scale = new LatencyScale(TestSettings.settings());

    @Test
    void scalesLargeRequestToTwiceTheMeanSize() {
        assertEquals(0.5, scale.relative(200_000, 1));
        assertEquals(0.5, scale.relative(200_000, 4));
        assertEquals(0.25, scale.relative(200_000, 8));
    }

    @Test
    void responseWithinHalfTheObjectiveIsQuick() {
        assertTrue(scale.isQuick(199_999));
        assertFalse(scale.isQuick(200_000));
    }
}
