package garnetreel.core.platform;

import static garnetreel.core.platform.PlatformGatewayHarness.chunk;
import static garnetreel.core.platform.PlatformGatewayHarness.config;
import static garnetreel.core.platform.PlatformGatewayHarness.endpointJson;
import static garnetreel.core.platform.PlatformGatewayHarness.request;
import static garnetreel.core.platform.PlatformGatewayHarness.response;
import static garnetreel.core.platform.PlatformGatewayHarness.settings;
import static garnetreel.core.platform.PlatformGatewayHarness.withAttemptInFlight;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.io.NetEvent;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.settings.JsonException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shutdown, and the use of resources over a long run. */
class PlatformGatewayLifecycleTest {
    @Test
    void shutdownFinishesActiveRequests() throws JsonException {
        PlatformGatewayHarness harness = withAttemptInFlight("").accept(2);
        harness.receive(harness.lastOpenedConnection, response("result", ""))
                .deliver(new NetEvent.CommandReceived(new PlatformGateway.Shutdown()))
                .advance(400_000);
        assertTrue(harness.listening, "connections are still accepted for 0.4 s");
        harness.accept(3).receive(3, request("00000000000000aa", "")).advance(110_000);
        assertFalse(harness.listening);
        assertTrue(harness.closed.containsAll(List.of(1L, 2L)));
        assertFalse(harness.stopped || harness.closed.contains(3L), "active requests are answered first");
        harness.receive(harness.lastOpenedConnection, response("result", ""));
        assertTrue(harness.stopped);
        assertTrue(
                harness.writtenTo(3).contains(" 200 ") && harness.writtenTo(3).contains("Connection: close"),
                harness.writtenTo(3));
    }

    /** Connections are always new and upstreams are continually replaced under new names: no table may grow. */
    @Test
    void resourceUseDoesNotGrowOverALongRun() throws JsonException {
        PlatformSettings settings = settings(config(512));
        PlatformGatewayHarness harness = new PlatformGatewayHarness(
                        512, new FairQueueScheduler(settings.scheduling(), 1))
                .advanceUntilDiscoveryCall();
        harness.deliver(new NetEvent.Connected(harness.lastOpenedConnection))
                .receive(harness.lastOpenedConnection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        long watch = harness.lastOpenedConnection;
        for (int round = 1; round <= 3_000; round++) {
            harness.receive(
                    watch,
                    chunk("{\"seq\":" + (10 + round) + ",\"whole\":" + (round == 1) + ",\"hosts\":["
                            + endpointJson("s-" + round, 2001, "removed", 0) + ","
                            + endpointJson("s-" + (round + 1), 2001, "up", 0) + "]}"));
            harness.accept(round).receive(round, request(String.format("%016x", round), ""));
            long upstream = harness.lastOpenedConnection;
            harness.deliver(new NetEvent.Connected(upstream)).receive(upstream, response("result", ""));
            assertTrue(harness.writtenTo(round).contains(" 200 "), "round " + round + ": " + harness.writtenTo(round));
            harness.schedulerEvents.clear();
            harness.written.clear();
            harness.advance(20_000);
        }
        assertEquals(
                0,
                harness.gateway.counters().violations(),
                harness.gateway.counters().invariantsLine());
        PlatformGateway.OpenResources open = harness.gateway.openResources();
        assertTrue(open.upstreamConnections() <= 1 && open.requests() == 0 && open.clients() <= 309, open.toString());
    }
}
