package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Interruptions of the endpoint list's watch, on real sockets. The order of events is forced: a peer takes each step
 * only after the previous one was observed. Each test failed before the fix that it came with.
 */
@Timeout(120)
class DiscoveryWatchTest extends SocketGatewayFixture {
    /**
     * A silent watch is replaced by a new call well within 6 s of its last event: after that time every change counts
     * as notified.
     */
    @Test
    void silentWatchIsReopenedWithinSixSeconds() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(endpoint.address(), "up"))));
            awaitNextUpdate(gateway, EndpointUpdateKind.SNAPSHOT);
            gateway.advance(3_200_000);
            awaitNextUpdate(gateway, EndpointUpdateKind.UNAVAILABLE);
            gateway.advance(800_000);
            try (PeerConnection next = discovery.accept()) {
                assertTrue(next.read().contains("from=2 "));
            }
            assertEquals("", watch.readToEnd().text(), "the silent watch is closed");
        }
    }

    /** After a long outage every gateway polls discovery within 6 s of its return, however many polls failed before. */
    @Test
    void recoveredDiscoveryIsPolledWithinSixSeconds() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay()) {
            for (int i = 0; i < 12; i++) {
                discovery.accept().reset();
                awaitNextUpdate(gateway, EndpointUpdateKind.UNAVAILABLE);
                gateway.advance(3_900_000); // the longest back-off: 6 s less 2 s in discovery's queue and a margin
            }
            try (PeerConnection watch = discovery.accept()) {
                assertTrue(watch.read().startsWith("GET /registry/instances?watch=1 "));
            }
        }
    }

    /**
     * A discovery service with many callers handles them one after the other. Guards against abandoning a call before
     * its turn, which wastes the turn and causes another call: with nineteen gateways none had a list for 16 s.
     */
    @Test
    void slowDiscoveryCallIsAwaited() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            gateway.advance(2_500_000);
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(endpoint.address(), "up"))));
            awaitNextUpdate(gateway, EndpointUpdateKind.SNAPSHOT);
        }
    }

    /** Lists may be indented, split over several reads, or two in one read. */
    @Test
    void streamedListIsSplitByItsBraces() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            String entry = SocketGatewayHarness.entry(endpoint.address(), "up");
            String indented = SocketGatewayHarness.list(2, true, entry)
                    .replace(",", ",\n   ")
                    .replace("{", "{\n  ");
            String bothLists = indented + SocketGatewayHarness.list(3, false, entry.replace("\"up\"", "\"draining\""));
            String response = SocketGatewayHarness.watch(bothLists);
            watch.send(response.substring(0, 150)).send(response.substring(150));
            awaitNextUpdate(gateway, EndpointUpdateKind.SNAPSHOT);
            awaitNextUpdate(gateway, EndpointUpdateKind.DELTA);
        }
    }
}
