package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Whatever interrupts the watch of the endpoint list, crossed with what is still in flight at that instant, on real sockets.
 * Each crossing is forced: a peer takes its step after the step before was seen. Each of these tests failed before the fix that
 * it came with.
 */
@Timeout(120)
class DiscoveryWatchTest extends SocketGatewayFixture {
    /** From the last event of a watch to the next call it takes well under the 6 s after which every change counts as notified. */
    @Test
    void silentWatchIsReopenedWithinItsBudget() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(shelf.address(), "up"))));
            awaitKind(gateway, EndpointUpdateKind.SNAPSHOT);
            gateway.advance(3_200_000);
            awaitKind(gateway, EndpointUpdateKind.UNAVAILABLE);
            gateway.advance(800_000);
            try (PeerConnection next = discovery.accept()) {
                assertTrue(next.read().contains("from=2 "));
            }
            assertEquals("", watch.readToEnd().text(), "the silent one is ended");
        }
    }

    /** Discovery was down for long; within 6 s of its return every gateway has polled it, however often that failed before. */
    @Test
    void recoveredDiscoveryIsPolledWithinItsBudget() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay()) {
            for (int i = 0; i < 12; i++) {
                discovery.accept().reset();
                awaitKind(gateway, EndpointUpdateKind.UNAVAILABLE);
                gateway.advance(3_900_000); // the longest back-off: 6 s less 2 s in the queue and the margin
            }
            try (PeerConnection watch = discovery.accept()) {
                assertTrue(watch.read().startsWith("GET /registry/instances?watch=1 "));
            }
        }
    }

    /**
     * A discovery with many callers handles them in turn. Guards against giving up before one's turn, which wastes it and
     * brings another call: with nineteen heads nobody had a list for 16 s.
     */
    @Test
    void slowDiscoveryCallIsAwaited() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            gateway.advance(2_500_000);
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(shelf.address(), "up"))));
            awaitKind(gateway, EndpointUpdateKind.SNAPSHOT);
        }
    }

    /** A list may come indented, in pieces, and two objects at once. */
    @Test
    void streamedListIsSplitByItsBraces() throws Exception {
        try (SocketGatewayHarness gateway = gateway().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            String entry = SocketGatewayHarness.entry(shelf.address(), "up");
            String indented = SocketGatewayHarness.list(2, true, entry)
                    .replace(",", ",\n   ")
                    .replace("{", "{\n  ");
            String both = indented + SocketGatewayHarness.list(3, false, entry.replace("\"up\"", "\"draining\""));
            String all = SocketGatewayHarness.watch(both);
            watch.send(all.substring(0, 150)).send(all.substring(150));
            awaitKind(gateway, EndpointUpdateKind.SNAPSHOT);
            awaitKind(gateway, EndpointUpdateKind.DELTA);
        }
    }
}
