package garnetreel.core.platform;

import static garnetreel.core.platform.PlatformGatewayHarness.chunk;
import static garnetreel.core.platform.PlatformGatewayHarness.config;
import static garnetreel.core.platform.PlatformGatewayHarness.endpointJson;
import static garnetreel.core.platform.PlatformGatewayHarness.settings;
import static garnetreel.core.platform.PlatformGatewayHarness.watching;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.io.NetEvent;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.settings.JsonException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The endpoint list: the watch, versions, start times and a change of the address of discovery. */
class PlatformGatewayDiscoveryTest {
    @Test
    void aCachedListMakesTheGatewayReadyWithoutDiscovery() throws JsonException {
        String readinessCheck = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        PlatformGatewayHarness harness = new PlatformGatewayHarness(
                e -> e instanceof EndpointUpdate update && update.kind() == EndpointUpdateKind.CACHED
                        ? List.of(new SubscribeEndpoints(true))
                        : List.of());
        harness.deliver(new NetEvent.Closed(harness.lastOpenedConnection, false, "refused"))
                .accept(1)
                .receive(1, readinessCheck);
        assertTrue(harness.writtenTo(1).startsWith("HTTP/1.1 200 "), harness.writtenTo(1));
    }

    @Test
    void theWatchReportsChangesAndItsTimeout() throws JsonException {
        PlatformGatewayHarness harness = watching();
        assertEquals("127.0.0.1:8500", harness.dialedAddresses.get(0));
        assertTrue(
                harness.writtenTo(harness.lastOpenedConnection)
                        .startsWith("GET /registry/instances?watch=1 HTTP/1.1\r\n"),
                "the watch requests a complete list");
        assertEquals(EndpointUpdateKind.SNAPSHOT, lastUpdateKind(harness));
        harness.receive(
                harness.lastOpenedConnection,
                chunk("{\"seq\":10,\"whole\":false,\"hosts\":[" + endpointJson("s-1", 2001, "removed", 0) + "]}"));
        assertEquals(EndpointUpdateKind.DELTA, lastUpdateKind(harness));
        harness.advance(2_600_000)
                .receive(harness.lastOpenedConnection, chunk(""))
                .advance(2_600_000);
        assertEquals(EndpointUpdateKind.DELTA, lastUpdateKind(harness), "an empty line keeps the watch alive");
        harness.advance(600_000);
        assertEquals(EndpointUpdateKind.UNAVAILABLE, lastUpdateKind(harness), "a watch without data times out");
        assertTrue(harness.closed.contains(harness.lastOpenedConnection));
    }

    /** An older list would restore removed endpoints; if the next watch delivers it again, it is accepted. */
    @Test
    void anOlderVersionEndsTheWatch() throws JsonException {
        PlatformGatewayHarness harness = watching();
        int before = harness.notified(EndpointUpdate.class).size();
        harness.receive(harness.lastOpenedConnection, chunk("{\"seq\":8,\"whole\":true,\"hosts\":[]}"));
        assertEquals(EndpointUpdateKind.UNAVAILABLE, lastUpdateKind(harness));
        assertEquals(before + 1, harness.notified(EndpointUpdate.class).size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "garbage\r\n", "closed"})
    void aFailedWatchIsReported(String response) throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(
                e -> e instanceof EndpointUpdate update && update.kind() == EndpointUpdateKind.CACHED
                        ? List.of(new SubscribeEndpoints(true))
                        : List.of());
        harness.deliver(new NetEvent.Connected(harness.lastOpenedConnection));
        if (response.equals("closed")) {
            harness.deliver(new NetEvent.Closed(harness.lastOpenedConnection, true, "reset"));
        } else {
            harness.receive(harness.lastOpenedConnection, response);
        }
        assertEquals(EndpointUpdateKind.UNAVAILABLE, lastUpdateKind(harness));
    }

    /** The list of the largest fleet, indented and with long names. */
    @Test
    void aListOfTheLargestFleetIsAccepted() throws JsonException {
        PlatformGatewayHarness harness = watching();
        StringBuilder list = new StringBuilder("{\"seq\": 10, \"whole\": true, \"hosts\": [");
        for (int i = 0; i < 3_200; i++) {
            list.append(i == 0 ? "" : ",")
                    .append(endpointJson("storage-server-" + "x".repeat(45) + i, 2002, "up", 1_796_203_754_399L)
                            .replace(",\"", ",\n        \"")
                            .replace("{", "\n      {\n        "));
        }
        harness.receive(harness.lastOpenedConnection, chunk(list.append("]}").toString()));
        assertEquals(EndpointUpdateKind.SNAPSHOT, lastUpdateKind(harness));
        assertEquals(
                3_200,
                harness.notified(EndpointUpdate.class)
                        .get(harness.notified(EndpointUpdate.class).size() - 1)
                        .entries()
                        .size());
    }

    /**
     * After the wall clock was stepped forward by an hour on all machines, new start times lie in the future. Such an
     * endpoint counts as started when it is first reported, and ages from then on.
     */
    @Test
    void aStartTimeInTheFutureCountsAsNow() throws JsonException {
        PlatformGatewayHarness harness = watching();
        long firstReportedAt = harness.now;
        reportStart(harness, "s-2", harness.now + 3_600_000_000L);
        assertEquals(firstReportedAt, startedAt(harness, "s-2"));
        harness.now += 5_000_000;
        reportStart(harness, "s-2", firstReportedAt + 3_600_000_000L);
        assertEquals(firstReportedAt, startedAt(harness, "s-2"), "the same start reported again is not a new one");
    }

    /**
     * A new start time is too early if the wall clock was stepped back, or was ahead when this process started. It
     * counts as no earlier than the last confirmation of the list, less the time that discovery may take to report it.
     */
    @Test
    void aNewStartIsNoEarlierThanTheLastConfirmationLessTheReportDelay() throws JsonException {
        PlatformGatewayHarness harness = watching();
        harness.now += 1_500_000;
        harness.receive(harness.lastOpenedConnection, chunk(""));
        long confirmedAt = harness.now;
        harness.now += 1_000_000;
        reportStart(harness, "s-2", harness.now - 900_000_000L);
        assertTrue(
                startedAt(harness, "s-2") >= confirmedAt - 2_000_000,
                (harness.now - startedAt(harness, "s-2")) + " us old");
        reportStart(harness, "s-1", 0);
        assertEquals(0, startedAt(harness, "s-1"), "an endpoint that was listed before is not a new start");
    }

    /** An endpoint that is removed and listed again with the same reported start keeps its estimated start. */
    @Test
    void anEndpointThatReturnsKeepsItsStartTime() throws JsonException {
        PlatformGatewayHarness harness = watching();
        long reportedStart = harness.now - 500_000;
        reportStart(harness, "s-2", reportedStart);
        long estimatedStart = startedAt(harness, "s-2");
        harness.receive(
                harness.lastOpenedConnection,
                chunk("{\"seq\":" + harness.now + ",\"whole\":false,\"hosts\":["
                        + endpointJson("s-2", 2002, "removed", 0) + "]}"));
        harness.now += 2_000_000;
        harness.receive(harness.lastOpenedConnection, chunk(""));
        harness.now += 2_000_000;
        harness.receive(harness.lastOpenedConnection, chunk(""));
        reportStart(harness, "s-2", reportedStart);
        assertEquals(estimatedStart, startedAt(harness, "s-2"));
    }

    /**
     * Discovery at a new address may number its versions differently. If it were asked for the changes since a version
     * that it never had, it would report none.
     */
    @Test
    void aLowerVersionIsAcceptedAfterAChangeOfAddress() throws JsonException {
        PlatformGatewayHarness harness = watching();
        changeDiscoveryAddress(harness);
        harness.deliver(new NetEvent.Connected(harness.lastOpenedConnection));
        harness.receive(
                harness.lastOpenedConnection,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk("{\"seq\":3,\"whole\":true,\"hosts\":[" + endpointJson("s-2", 2002, "up", 0) + "]}"));
        assertEquals(EndpointUpdateKind.SNAPSHOT, lastUpdateKind(harness));
        assertEquals(
                "s-2",
                harness.notified(EndpointUpdate.class)
                        .get(harness.notified(EndpointUpdate.class).size() - 1)
                        .entries()
                        .get(0)
                        .name());
    }

    @Test
    void theWatchMovesToANewAddress() throws JsonException {
        PlatformGatewayHarness harness = watching();
        changeDiscoveryAddress(harness);
        assertEquals("127.0.0.1:8501", harness.dialedAddresses.get(1));
        harness.deliver(new NetEvent.Connected(harness.lastOpenedConnection));
        assertTrue(
                harness.writtenTo(harness.lastOpenedConnection).startsWith("GET /registry/instances?watch=1 "),
                harness.writtenTo(harness.lastOpenedConnection));
        assertEquals(
                EndpointUpdateKind.SNAPSHOT,
                lastUpdateKind(harness),
                "the scheduler is not notified of an interruption");
    }

    /**
     * A backoff applies to the old address only: the new one is called at once, and the next request of the scheduler
     * does not start a second call.
     */
    @Test
    void aNewAddressIsCalledDuringABackoff() throws JsonException {
        PlatformGatewayHarness harness = watching();
        harness.deliver(new NetEvent.Closed(harness.lastOpenedConnection, true, "reset"));
        assertEquals(1, harness.dialedAddresses.size(), "the scheduler backs off");
        changeDiscoveryAddress(harness);
        assertEquals(List.of("127.0.0.1:8500", "127.0.0.1:8501"), harness.dialedAddresses);
    }

    /** The start time of an endpoint in the last update passed to the scheduler. */
    private static long startedAt(PlatformGatewayHarness harness, String endpoint) {
        return harness.notified(EndpointUpdate.class).stream()
                .flatMap(update -> update.entries().stream())
                .filter(e -> e.name().equals(endpoint))
                .reduce((first, second) -> second)
                .orElseThrow()
                .startedAt();
    }

    private static PlatformGatewayHarness reportStart(
            PlatformGatewayHarness harness, String endpoint, long startMicros) {
        return harness.receive(
                harness.lastOpenedConnection,
                chunk("{\"seq\":" + harness.now + ",\"whole\":false,\"hosts\":["
                        + endpointJson(endpoint, 2002, "up", startMicros / 1_000) + "]}"));
    }

    private static void changeDiscoveryAddress(PlatformGatewayHarness harness) throws JsonException {
        String newConfig = config(512).replace("127.0.0.1:8500", "127.0.0.1:8501");
        harness.deliver(new NetEvent.CommandReceived(new PlatformGateway.Reconfigure(settings(newConfig))));
    }

    private static EndpointUpdateKind lastUpdateKind(PlatformGatewayHarness harness) {
        List<EndpointUpdate> updates = harness.notified(EndpointUpdate.class);
        return updates.get(updates.size() - 1).kind();
    }
}
