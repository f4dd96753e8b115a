package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Division of the process's descriptors among clients and upstreams. */
class ResourceLimitsTest {
    /** The sum of all limits stays within the available descriptors. */
    @ParameterizedTest
    @ValueSource(ints = {88, 128, 256, 384, 1_024, 4_096})
    void descriptorsSufficeForAllLimits(int sockets) {
        ResourceLimits limits = ResourceLimits.of(new PlatformSettings.Limits(128, sockets), Long.MAX_VALUE);
        assertTrue(limits.maxClients() >= 8 && limits.maxUpstreamConnections() >= 5, limits.toString());
        assertTrue(limits.maxClients() + limits.maxUpstreamConnections() + 72 <= sockets, limits.toString());
        assertTrue(
                limits.maxClients() >= sockets / 3 || sockets < 256, "clients get at least a third of the descriptors");
    }

    /** Guards against bounds that are shares of the process's memory while the heap is much smaller. */
    @Test
    void allThatIsBufferedFitsTheHeap() {
        long heap = 64 << 20;
        ResourceLimits limits = ResourceLimits.of(new PlatformSettings.Limits(2_048, 4_096), heap);
        assertTrue(5L * limits.maxBufferedBytes() < heap * 3 / 4, limits.toString());
        assertTrue(limits.maxResponseBytes() <= limits.maxBufferedBytes() / 4, limits.toString());
    }
}
