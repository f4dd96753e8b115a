package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Division of the process's descriptors among clients and upstreams. */
class ResourceLimitsTest {
    /** The sum of all limits stays within the available descriptors. */
    @ParameterizedTest
    @ValueSource(ints = {88, 128, 256, 384, 1_024, 4_096})
    void descriptorsSufficeForAllLimits(int sockets) {
        ResourceLimits limits = ResourceLimits.of(new PlatformSettings.Limits(128, sockets));
        assertTrue(limits.maxClients() >= 8 && limits.maxUpstreamConnections() >= 5, limits.toString());
        assertTrue(limits.maxClients() + limits.maxUpstreamConnections() + 72 <= sockets, limits.toString());
        assertTrue(
                limits.maxClients() >= sockets / 3 || sockets < 256, "clients get at least a third of the descriptors");
    }
}
