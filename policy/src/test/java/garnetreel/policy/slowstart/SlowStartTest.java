package garnetreel.policy.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import org.junit.jupiter.api.Test;

/**
 * Tests warm-up rates with an initial fraction of 0.2, a warm-up of 10 s, an accounting window of 2 s, an overload
 * multiple of 2, and a safe capacity of 20 units for two gateways.
 */
class SlowStartTest {
    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;
    private static final double TOLERANCE = 1e-9;

    private final SlowStart slowStart = new SlowStart(TestSettings.settings());

    private double rate(double servedUnits, long age) {
        ServedRate served = new ServedRate(START - 10 * SECOND);
        served.add(servedUnits, START);
        return slowStart.warmUpRate(START, served, START + age);
    }

    @Test
    void warmEndpointHasNoLimit() {
        assertEquals(Double.POSITIVE_INFINITY, slowStart.warmUpRate(0, new ServedRate(START), START));
        assertEquals(Double.POSITIVE_INFINITY, rate(0, 12 * SECOND));
    }

    @Test
    void gatewayWithoutServedRateUsesShareOfSafeRate() {
        assertEquals(5, rate(0, 0), TOLERANCE);
        assertEquals(5, rate(0, 2 * SECOND), TOLERANCE);
        assertEquals(15, rate(0, 7 * SECOND), TOLERANCE);
    }

    @Test
    void gatewayUsesFractionOfHigherServedRate() {
        assertEquals(1.5 * 2 * 0.2 * 100, rate(1_000, 0), TOLERANCE);
        assertTrue(slowStart.isConsistent());
    }

    @Test
    void servedRateIsHalvedAfterOneMinute() {
        ServedRate served = new ServedRate(0);
        served.add(600, 60 * SECOND);
        assertEquals(10, served.perSecond(60 * SECOND));
        assertEquals(300 / 30.5, served.perSecond(61 * SECOND), TOLERANCE);
        assertTrue(served.isConsistent());
    }

    @Test
    void firstResponseDoesNotResultInHighRate() {
        ServedRate served = new ServedRate(START);
        served.add(8, START);
        assertEquals(2, served.perSecond(START));
    }
}
