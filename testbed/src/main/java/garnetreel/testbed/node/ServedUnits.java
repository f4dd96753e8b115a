package garnetreel.testbed.node;

import java.util.HashMap;
import java.util.Map;

/** Counts the units served per volume, and those that have not yet been reported to each gateway. */
final class ServedUnits {
    private record VolumeGateway(long volume, int gateway) {}

    private static final class GatewayUnits {
        long own;
        long othersReported;
    }

    private final Map<Long, Long> byVolume = new HashMap<>();
    private final Map<VolumeGateway, GatewayUnits> byGateway = new HashMap<>();

    /**
     * Counts units served through a gateway; returns those served through other gateways since the previous call for
     * it.
     */
    int countAndTakeUnreported(long volume, int gateway, int units) {
        long all = byVolume.merge(volume, (long) units, Long::sum);
        GatewayUnits gatewayUnits =
                byGateway.computeIfAbsent(new VolumeGateway(volume, gateway), any -> new GatewayUnits());
        gatewayUnits.own += units;
        long others = all - gatewayUnits.own;
        long unreported = others - gatewayUnits.othersReported;
        gatewayUnits.othersReported = others;
        return (int) unreported;
    }
}
