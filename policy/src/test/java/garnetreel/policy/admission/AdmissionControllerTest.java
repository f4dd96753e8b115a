package garnetreel.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import garnetreel.policy.ratelimit.ChargedBucket;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests admission by admitted fraction, priority and warm-up rate. */
class AdmissionControllerTest {
    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;
    private static final long NOW = START + 60 * SECOND;
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private final AdmissionController controller =
            new AdmissionController(TestSettings.settings(), new SplittableRandom(1));
    private final DemandEstimate demand = new DemandEstimate();

    /** Returns how many of 1,000 simultaneous requests of one unit are admitted. */
    private int admitted(ChargedBucket chargedBucket, double admittedFraction, double warmUpRate) {
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            demand.add(chargedBucket, 1, NOW);
            admitted += controller.admits(chargedBucket, 1, demand, admittedFraction, warmUpRate, START, NOW) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void admitsAllRequestsToHealthyEndpoint() {
        for (ChargedBucket chargedBucket : ChargedBucket.values()) {
            assertEquals(1_000, admitted(chargedBucket, 1, UNLIMITED));
        }
        assertTrue(demand.isConsistent());
    }

    @Test
    void shedsRequestsBeyondProvisionedRateFirst() {
        assertEquals(1_000, admitted(ChargedBucket.RESERVED, 0.5, UNLIMITED));
        int provisioned = admitted(ChargedBucket.PROVISIONED, 0.5, UNLIMITED);
        assertTrue(provisioned > 430 && provisioned < 570, provisioned + " of 1,000 admitted at a probability of 0.5");
        assertEquals(0, admitted(ChargedBucket.NONE, 0.5, UNLIMITED));
        assertEquals(0, admitted(ChargedBucket.PROVISIONED, 0.3, UNLIMITED));
    }

    @Test
    void shedsReservedRateLast() {
        int reserved = admitted(ChargedBucket.RESERVED, 0.1, UNLIMITED);
        assertTrue(reserved > 240 && reserved < 360, reserved + " of 1,000 admitted at a probability of 0.3");
    }

    @Test
    void limitsAdmissionWithinWindowToWarmUpRate() {
        // At most 1.3 times 10 units per second for 2 s, one request of the maximum size of 8 units, and the request of
        // one unit that exceeds the sum.
        int admitted = admitted(ChargedBucket.RESERVED, 1, 10);
        assertTrue(admitted <= 35, admitted + " admitted");
    }

    @Test
    void servesHigherPriorityDemandFirst() {
        demand.add(ChargedBucket.RESERVED, 60, NOW);
        demand.add(ChargedBucket.PROVISIONED, 60, NOW);
        assertEquals(1.5, demand.servableFraction(15, ChargedBucket.RESERVED), 1e-9);
        assertEquals(0.5, demand.servableFraction(15, ChargedBucket.PROVISIONED), 1e-9);
    }

    @Test
    void responseMarginIsTwoTimerResolutions() {
        LoadShedder shedder = new LoadShedder(TestSettings.settings());
        assertEquals(4_000, shedder.responseMargin());
        assertEquals(NOW + 400_000, shedder.latestUsefulStart(NOW, 400_000, NOW + 2 * SECOND));
        assertEquals(NOW + 96_000, shedder.latestUsefulStart(NOW, 400_000, NOW + 100_000));
        assertFalse(shedder.sheds(NOW + 1, false, NOW));
        assertTrue(shedder.sheds(NOW, false, NOW));
        assertTrue(shedder.sheds(NOW + 1, true, NOW));
    }
}
