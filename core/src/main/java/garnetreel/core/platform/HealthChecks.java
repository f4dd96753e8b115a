package garnetreel.core.platform;

import garnetreel.codec.http.HttpResponse;
import garnetreel.codec.http.HttpWriter;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import java.nio.ByteBuffer;
import java.util.Map;

/**
 * Health checks of endpoints: their request, their timeout, the evaluation of their results and the checks in flight.
 */
final class HealthChecks {
    /**
     * A check without a complete response fails this long, in microseconds, after the write of its request or, before
     * that, after the start of connecting, which also has its own time limit.
     */
    private static final long TIMEOUT_MICROS = 1_000_000;

    private static final int STATUS_OK = 200;
    private static final byte[] EMPTY_BODY = {};

    private final ConnectionsByAge inFlight = new ConnectionsByAge(TIMEOUT_MICROS);

    void assign(UpstreamConnection connection) {
        connection.assignHealthCheck();
        inFlight.add(connection);
    }

    void release(UpstreamConnection connection) {
        connection.release();
        inFlight.remove(connection);
    }

    ConnectionsByAge inFlight() {
        return inFlight;
    }

    static ByteBuffer request() {
        return HttpWriter.request("GET", HttpHeaders.STATS_PATH, HttpHeaders.HOST)
                .body(EMPTY_BODY, false);
    }

    /**
     * Returns the result of a check. An endpoint that responds with status 200 is healthy, even if the body is empty,
     * which for an attempt would be an error.
     *
     * @param outcome the outcome that an attempt would have had
     * @param response the complete response; null if there was none
     */
    static HealthCheckCompleted result(String endpoint, Outcome outcome, long elapsed, HttpResponse response) {
        if (response != null && response.status() == STATUS_OK) {
            return new HealthCheckCompleted(endpoint, Outcome.OK, elapsed, LoadReport.read(response.body()));
        }
        Outcome failure = outcome == Outcome.OK ? Outcome.ERROR : outcome;
        return new HealthCheckCompleted(endpoint, failure, elapsed, Map.of());
    }

    /** Returns the result of a check for which no connection could be acquired. */
    static HealthCheckCompleted notConnected(String endpoint) {
        return new HealthCheckCompleted(endpoint, Outcome.CONNECT_FAILED, 0, Map.of());
    }
}
