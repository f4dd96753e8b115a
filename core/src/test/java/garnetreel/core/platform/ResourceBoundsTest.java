package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Division of the process's descriptors among clients and upstreams. */
class ResourceBoundsTest {
    /** The sum of all limits stays within the available descriptors. */
    @ParameterizedTest
    @ValueSource(ints = {88, 128, 256, 384, 1_024, 4_096})
    void descriptorsSufficeForAllLimits(int sockets) {
        ResourceBounds bounds = ResourceBounds.of(new PlatformSettings.Limits(128, sockets));
        assertTrue(bounds.maxClients() >= 8 && bounds.maxUpstreamConnections() >= 5, bounds.toString());
        assertTrue(bounds.maxClients() + bounds.maxUpstreamConnections() + 72 <= sockets, bounds.toString());
        assertTrue(
                bounds.maxClients() >= sockets / 3 || sockets < 256, "clients get at least a third of the descriptors");
    }
}
