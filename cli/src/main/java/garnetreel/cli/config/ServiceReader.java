package garnetreel.cli.config;

import garnetreel.codec.LengthPrefixedFrames;
import garnetreel.core.GatewaySettings;
import garnetreel.core.GatewaySettings.Bounds;
import garnetreel.core.GatewaySettings.ConnectionSettings;
import garnetreel.map.Rebalancer;
import garnetreel.mapservice.MapServiceSettings;
import java.util.Map;
import java.util.TreeMap;

/** Reads the {@code service}, {@code head}, {@code bounds}, {@code links} and {@code map} blocks. */
final class ServiceReader {
    private static final int MIN_PAYLOAD_BYTES = 4096;
    private static final int MAX_PAYLOAD_BYTES = 64 << 20;
    private static final int MIN_KEY_BYTES = 512;

    /** Largest payload of a sub-request: a frame of the node protocol less 4096 bytes for the frame's other fields. */
    private static final long MAX_SUB_REQUEST_BYTES = LengthPrefixedFrames.MAX_BODY_BYTES - 4096;

    private final SettingsValues values;
    private final Map<Integer, String> listenAddresses = new TreeMap<>();
    private final Bounds bounds;
    private final ConnectionSettings connections;
    private final int gateways;

    ServiceReader(SettingsValues values) {
        this.values = values;
        gateways = values.integer("/service/heads", 1);
        bounds = new Bounds(
                values.integer("/bounds/connections", 1024),
                values.integer("/bounds/connection_requests", 256),
                values.integer("/bounds/head_requests", 16_384),
                values.bytes("/bounds/connection_bytes", "64MiB"),
                values.bytes("/bounds/head_bytes", "512MiB"),
                (int) values.bytes("/bounds/payload", "32MiB"),
                (int) values.bytes("/bounds/unit", "64KiB"),
                (int) values.bytes("/bounds/key", "64KiB"),
                values.micros("/bounds/handshake", "30s"));
        connections = new ConnectionSettings(
                values.integer("/links/per_node", 4),
                values.integer("/links/streams", 32),
                values.micros("/links/idle", "15s"),
                values.micros("/links/connect_timeout", "250ms"),
                values.micros("/links/list_call", "2s"),
                values.micros("/links/list_silence", "5s"),
                values.flag("/links/follow_map", true));
    }

    /** Reads the blocks {@code head} and checks the bounds; called last, so that these problems are listed last. */
    void readGateways(int maxUnits) {
        values.forEach("head", (name, path) -> {
            int number = Integer.parseInt(name);
            values.check(
                    number < gateways, path, "has number " + number + ", and the service has " + gateways + " heads");
            listenAddresses.put(number, values.text(path + "/listen", "127.0.0.1:0"));
        });
        long subRequestBytes = (long) maxUnits * bounds.unitBytes();
        values.check(
                subRequestBytes <= MAX_SUB_REQUEST_BYTES,
                "/bounds/unit",
                "times module most_units is " + subRequestBytes + " bytes; the largest sub-request has "
                        + MAX_SUB_REQUEST_BYTES + " at most");
        values.check(
                bounds.maxPayload() >= MIN_PAYLOAD_BYTES && bounds.maxPayload() <= MAX_PAYLOAD_BYTES,
                "/bounds/payload",
                "is " + bounds.maxPayload() + " bytes; 4KiB to 64MiB are expected");
        values.check(
                bounds.keyBytes() >= MIN_KEY_BYTES,
                "/bounds/key",
                "is " + bounds.keyBytes() + " bytes; at least 512B is expected");
    }

    /** Number of gateway instances. */
    int gateways() {
        return gateways;
    }

    Bounds bounds() {
        return bounds;
    }

    ConnectionSettings connections() {
        return connections;
    }

    /** The address that a gateway instance listens on; null when the file has no block for it. */
    String listenAddress(int gateway) {
        return listenAddresses.get(gateway);
    }

    /**
     * The settings of the map service.
     *
     * @param gateway the settings that it shares with a gateway, as both are clients of the nodes and the node list
     */
    MapServiceSettings mapService(String listen, GatewaySettings gateway) {
        return new MapServiceSettings(
                listen,
                gateway,
                values.bytes("/map/copy_rate", "64MiB"),
                values.integer("/map/subscribes", 200),
                values.micros("/map/order_timeout", "2s"),
                values.flag("/map/rebalance", false),
                values.number("/map/power", 1000),
                values.micros("/map/cold_for", "15s"),
                new Rebalancer.Limits(
                        values.integer("/map/moves_at_once", 4),
                        values.integer("/map/moves_a_node", 1),
                        values.number("/map/difference", 0.2),
                        values.micros("/map/rest", "60s"),
                        values.number("/map/fullest", 0.8),
                        values.bytes("/map/spare", "0B")),
                values.integer("/map/snapshot_every", 1_000));
    }
}
