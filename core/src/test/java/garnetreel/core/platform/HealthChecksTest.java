package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The request, the timeout and the result of a health check. */
class HealthChecksTest {
    @Test
    void status200IsHealthyEvenWithoutABody() {
        assertEquals(
                new HealthCheckCompleted("s-1", Outcome.OK, 7, Map.of("util", 0.5)),
                HealthChecks.result("s-1", Outcome.OK, 7, UpstreamTestData.response(200, "{\"util\":0.5}")));
        assertEquals(
                new HealthCheckCompleted("s-1", Outcome.OK, 7, Map.of()),
                HealthChecks.result("s-1", Outcome.ERROR, 7, UpstreamTestData.response(200, "")));
    }

    @Test
    void anyOtherResultIsUnhealthy() {
        assertEquals(
                new HealthCheckCompleted("s-1", Outcome.ERROR, 7, Map.of()),
                HealthChecks.result("s-1", Outcome.ERROR, 7, UpstreamTestData.response(500, "{\"util\":0.5}")));
        assertEquals(
                new HealthCheckCompleted("s-1", Outcome.RESET, 7, Map.of()),
                HealthChecks.result("s-1", Outcome.RESET, 7, null));
        assertEquals(
                Outcome.ERROR, HealthChecks.result("s-1", Outcome.OK, 7, null).outcome());
        assertEquals(
                new HealthCheckCompleted("s-1", Outcome.CONNECT_FAILED, 0, Map.of()), HealthChecks.notConnected("s-1"));
    }

    @Test
    void aCheckTimesOutAfterOneSecond() {
        HealthChecks checks = new HealthChecks();
        UpstreamConnection connection = UpstreamTestData.connection(-1, "s-1", 0);
        checks.assign(connection);
        assertTrue(connection.isHealthCheck());
        assertNull(checks.inFlight().expired(999_999));
        assertSame(connection, checks.inFlight().expired(1_000_000));
        checks.release(connection);
        assertFalse(connection.isAssigned());
        assertNull(checks.inFlight().oldest());
    }

    @Test
    void aCheckRequestsTheLoadReport() {
        String request =
                StandardCharsets.ISO_8859_1.decode(HealthChecks.request()).toString();
        assertTrue(request.startsWith("GET /stats HTTP/1.1\r\n"), request);
    }
}
