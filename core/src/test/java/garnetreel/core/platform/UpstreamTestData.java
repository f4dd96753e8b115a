package garnetreel.core.platform;

import garnetreel.codec.http.Fields;
import garnetreel.codec.http.HttpResponse;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.settings.JsonException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Endpoints, connections and responses for the tests of the upstream side. */
final class UpstreamTestData {
    /** Connect timeout in {@link #settings()}, in microseconds. */
    static final long CONNECT_TIMEOUT = 250_000;
    /** Idle timeout with {@link #settings()}, in microseconds: 0.7 of the endpoints' idle timeout of 15 s. */
    static final long IDLE_TIMEOUT = 10_500_000;

    private static final String CONFIG =
            """
            {"name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500", "seed": "1",
             "limits": {"cores": 0.5, "memory_mb": 128, "sockets": 512},
             "settings": {"balancers": 1, "discovery": "subscribe", "tick": 0.002,
              "classes": [{"name": "read", "aim": 0.4, "hard-limit": 2.5, "effect": "repeatable"}],
              "service-levels": [{"name": "gold", "usual-rate": 1000, "floor-rate": 500, "proportion": 1}],
              "rules": {"free-resends": 3, "further-ratio": 0.1, "extra-window": 5},
              "limits": {"dial-timeout": 0.25, "idle-close": 15, "retry-after": true, "max-retry-after": 2, "try-limit": 3},
              "specifics": {"unit-mean": 2, "most-units": 8, "tells-elsewhere": true, "class-writes": [false]}}}
            """;

    private UpstreamTestData() {}

    static PlatformSettings settings() throws JsonException {
        return PlatformSettings.read(CONFIG.getBytes(StandardCharsets.UTF_8));
    }

    static UpstreamConnection connection(long id, String endpoint, long now) {
        return new UpstreamConnection(id, endpoint, address(endpoint), 1_000, now);
    }

    /** The address at which {@link #entry} lists an endpoint. */
    static String address(String endpoint) {
        return "address of " + endpoint;
    }

    static EndpointListUpdate.Entry entry(String endpoint, EndpointState state, long startedAt) {
        return new EndpointListUpdate.Entry(
                address(endpoint), new EndpointEntry(endpoint, "zone", 0, state, 1, startedAt));
    }

    static EndpointListUpdate completeList(long version, EndpointListUpdate.Entry... entries) {
        return new EndpointListUpdate(version, true, List.of(entries));
    }

    static EndpointListUpdate changes(long version, EndpointListUpdate.Entry... entries) {
        return new EndpointListUpdate(version, false, List.of(entries));
    }

    static UpstreamAttempt attempt(long requestId, int number, long deadline) {
        return new UpstreamAttempt(requestId, number, "s-1", 0, deadline, deadline, null);
    }

    static HttpResponse response(int status, String body) {
        return response(status, body, new Fields());
    }

    static HttpResponse response(int status, String body, Fields fields) {
        return new HttpResponse(status, fields, body.getBytes(StandardCharsets.UTF_8), true);
    }

    static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
