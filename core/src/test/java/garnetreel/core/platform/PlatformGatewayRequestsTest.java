package garnetreel.core.platform;

import static garnetreel.core.platform.PlatformGatewayHarness.REQUEST_ID;
import static garnetreel.core.platform.PlatformGatewayHarness.config;
import static garnetreel.core.platform.PlatformGatewayHarness.request;
import static garnetreel.core.platform.PlatformGatewayHarness.response;
import static garnetreel.core.platform.PlatformGatewayHarness.settings;
import static garnetreel.core.platform.PlatformGatewayHarness.withAttemptInFlight;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.io.NetEvent;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.settings.JsonException;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests: forwarding, rejection, deadlines and clients that disconnect. */
class PlatformGatewayRequestsTest {
    @Test
    void aRequestAndItsResponseAreForwarded() throws JsonException {
        PlatformGatewayHarness harness = withAttemptInFlight("X-Repeat: 1\r\n");
        RequestReceived event = harness.notified(RequestReceived.class).get(0);
        assertEquals("write", event.className());
        assertEquals(harness.now + 480_000, event.deadline());
        assertTrue(event.retry() && event.write());
        String forwarded = harness.writtenTo(harness.lastOpenedConnection);
        assertTrue(
                forwarded.startsWith("PUT /write/a?b=c HTTP/1.1\r\n") && forwarded.endsWith("\r\n\r\ndata"), forwarded);
        assertTrue(
                forwarded.contains("X-Correlation-Id: " + REQUEST_ID + "\r\n")
                        && forwarded.contains("X-Time-Left: 0.480\r\n"),
                forwarded);
        harness.receive(
                harness.lastOpenedConnection,
                response("result", "Other-Hosts: 5\r\nX-Backend-Load: {\"latency_ms\":2.5}\r\n"));
        assertTrue(
                harness.writtenTo(1).startsWith("HTTP/1.1 200 ")
                        && harness.writtenTo(1).endsWith("result"),
                harness.writtenTo(1));
        AttemptCompleted ended = harness.notified(AttemptCompleted.class).get(0);
        assertEquals(5, ended.unitsFromOtherGateways());
        assertEquals(2.5, ended.load().get("latency_ms"));
        assertEquals(new PlatformGateway.OpenResources(1, 0, 1, 0), harness.gateway.openResources());
    }

    /**
     * A header field unknown to the gateway may matter to the upstream and is forwarded. Hop-by-hop fields concern the
     * client's connection only and are not forwarded.
     */
    @Test
    void allButHopByHopFieldsAreForwarded() throws JsonException {
        PlatformGatewayHarness harness = withAttemptInFlight(
                "Idempotency-Key: \"8e03978e\"\r\nX-Other: a, b\r\nX-Hop: c\r\nConnection: keep-alive, X-Hop\r\nTE: trailers\r\n");
        String forwarded = harness.writtenTo(harness.lastOpenedConnection);
        assertTrue(
                forwarded.contains("\r\nIdempotency-Key: \"8e03978e\"\r\n")
                        && forwarded.contains("\r\nX-Other: a, b\r\n"),
                forwarded);
        assertFalse(
                forwarded.contains("X-Hop") || forwarded.contains("Connection") || forwarded.contains("TE:"),
                forwarded);
        for (String uniqueField : List.of("Host: ", "X-Time-Left: ", "Content-Length: ", "X-Correlation-Id: ")) {
            assertEquals(2, forwarded.split("\r\n" + uniqueField, -1).length, uniqueField);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Correlation-Id: 9b1f03aa5c7e2d41",
                "Tier: gold",
                "X-Time-Left: 0.480",
                "IO-Info: " + PlatformGatewayHarness.METADATA
            })
    void aRequestWithoutARequiredFieldIsRejected(String field) throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(PlatformGatewayHarness::sendToUpstream)
                .accept(1)
                .receive(1, request(REQUEST_ID, "").replace(field + "\r\n", ""));
        assertTrue(harness.writtenTo(1).startsWith("HTTP/1.1 400 "), harness.writtenTo(1));
        assertEquals(0, harness.notified(RequestReceived.class).size());
    }

    @ParameterizedTest
    @CsvSource({
        "X-Time-Left: 0.480,X-Time-Left: NaN",
        "X-Time-Left: 0.480,X-Time-Left: -1",
        "X-Time-Left: 0.480,X-Time-Left: 0",
        "X-Time-Left: 0.480,X-Time-Left: Infinity",
        "X-Time-Left: 0.480,X-Time-Left: 1e9",
        "X-Time-Left: 0.480,X-Time-Left: 1.",
        "Tier: gold,Tier: none",
        "9b1f03aa5c7e2d41,xyz",
        "units=2,units=-2",
        "units=2,units=0",
        "shard=0,shard=-2",
        "00000003b4d60021,3",
        "7f3a9c21e0b4d655,7f",
        "write/a,erase/a",
        "PUT,POST",
        "PUT,DELETE"
    })
    void anInvalidRequestIsRejectedAtOnce(String good, String bad) throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(PlatformGatewayHarness::sendToUpstream)
                .accept(1)
                .receive(1, request(REQUEST_ID, "").replace(good, bad));
        assertTrue(harness.writtenTo(1).startsWith("HTTP/1.1 4"), harness.writtenTo(1));
        assertEquals(0, harness.notified(RequestReceived.class).size());
        assertEquals(0, harness.gateway.openResources().requests());
    }

    /** A request with the id of another client's active request is rejected: forwarded, it would be a duplicate. */
    @Test
    void aCorrelationIdInUseIsRejected() throws JsonException {
        PlatformGatewayHarness harness =
                withAttemptInFlight("").accept(2).receive(2, request(REQUEST_ID.toUpperCase(Locale.ROOT), ""));
        assertTrue(harness.writtenTo(2).startsWith("HTTP/1.1 409 "), harness.writtenTo(2));
        harness.deliver(new NetEvent.Closed(1, true, "left"));
        assertEquals(1, harness.notified(RequestCancelled.class).size());
        harness.receive(2, request(REQUEST_ID, ""));
        assertEquals(
                2,
                harness.writtenTo(2).split("409", -1).length - 1,
                "the attempt of the disconnected client is still in flight");
        harness.receive(harness.lastOpenedConnection, response("result", "")).receive(2, request(REQUEST_ID, ""));
        assertEquals(
                3,
                harness.writtenTo(2).split("409", -1).length - 1,
                "the attempt of the disconnected client has been executed");
        assertEquals(1, harness.notified(RequestReceived.class).size());
    }

    /** An id that comes again is accepted if nothing can have been executed, or if its class may run again. */
    @Test
    void aCorrelationIdOfARepeatableRequestIsAcceptedAgain() throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(PlatformGatewayHarness::sendToUpstream);
        String read = request(REQUEST_ID, "").replace("PUT /write", "GET /read");
        harness.accept(1).receive(1, read).deliver(new NetEvent.Connected(harness.lastOpenedConnection));
        harness.receive(harness.lastOpenedConnection, response("result", ""));
        harness.accept(2).receive(2, read);
        assertEquals(2, harness.notified(RequestReceived.class).size());
    }

    @Test
    void aDisconnectedClientLeavesNoOpenResources() throws JsonException {
        PlatformGatewayHarness harness = withAttemptInFlight("");
        harness.deliver(new NetEvent.Closed(1, true, "left")).advance(500_000);
        assertEquals(Outcome.TIMEOUT, harness.onlyOutcome());
        assertTrue(harness.notified(AttemptCompleted.class).get(0).requestCompleted());
        assertEquals(new PlatformGateway.OpenResources(0, 0, 0, 0), harness.gateway.openResources());
    }

    /** If a turn runs late, as after a pause of the process, the scheduler still answers the overdue request itself. */
    @Test
    void aRequestOverdueAtALateTurnIsNotASchedulerDefect() throws JsonException {
        PlatformSettings settings = settings(config(512));
        PlatformGatewayHarness harness = new PlatformGatewayHarness(
                        512, new FairQueueScheduler(settings.scheduling(), 1))
                .accept(1)
                .receive(1, request(REQUEST_ID, ""));
        harness.deliver(new NetEvent.Connected(harness.lastOpenedConnection));
        harness.now += 600_000; // the request's deadline passed 120 ms ago
        harness.runTurn();
        assertTrue(
                harness.writtenTo(1).startsWith("HTTP/1.1 502 "),
                "the request may have been executed: " + harness.writtenTo(1));
        assertEquals(
                0,
                harness.gateway.counters().violations(),
                harness.gateway.counters().invariantsLine());
    }

    @Test
    void aRejectionCarriesRetryAfter() throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(e -> e instanceof RequestReceived received
                ? List.of(new RejectRequest(received.id(), 1_500_000))
                : List.of());
        harness.accept(1).receive(1, request(REQUEST_ID, ""));
        assertTrue(
                harness.writtenTo(1).startsWith("HTTP/1.1 503 ")
                        && harness.writtenTo(1).contains("Retry-After: 1.500\r\n"),
                harness.writtenTo(1));
    }

    /** A scheduler that never answers is defective; the client still gets one response, and the request is removed. */
    @Test
    void aRequestThatTheSchedulerNeverAnswersIsFailed() throws JsonException {
        PlatformGatewayHarness harness =
                new PlatformGatewayHarness(e -> List.of()).accept(1).receive(1, request(REQUEST_ID, ""));
        harness.advance(600_000);
        assertTrue(harness.writtenTo(1).startsWith("HTTP/1.1 502 "), harness.writtenTo(1));
        assertEquals(0, harness.gateway.openResources().requests());
    }

    /** A request waited in the socket while the process had no CPU: its client's time limit was running meanwhile. */
    @Test
    void aPauseOfTheProcessCountsAgainstTheDeadline() throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(PlatformGatewayHarness::sendToUpstream).accept(1);
        long before = harness.now;
        harness.now += 400_000;
        harness.receive(1, request(REQUEST_ID, ""));
        assertEquals(
                before + 480_000, harness.notified(RequestReceived.class).get(0).deadline());
        harness.advance(200_000).accept(2).receive(2, request("00000000000000aa", ""));
        assertEquals(
                harness.now + 480_000,
                harness.notified(RequestReceived.class).get(1).deadline());
    }
}
