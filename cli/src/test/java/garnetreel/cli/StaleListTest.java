package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.testbed.peer.ScriptedPeer;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Discovery is reachable but sends no list: after 6 s every change counts as notified, so an endpoint may be draining
 * without the gateway's knowledge. Only an endpoint that recently accepted a request is known not to be draining.
 */
@Timeout(120)
class StaleListTest extends SocketGatewayFixture {
    private static final long SECOND = 1_000_000;

    /** Waits for an update of this kind, and skips others. */
    private static void awaitUpdate(SocketGatewayHarness gateway, EndpointUpdateKind kind) throws InterruptedException {
        gateway.await(recorded -> recorded instanceof EndpointUpdate update && update.kind() == kind);
    }

    /**
     * A watch delivers one list and then falls silent; the next call, which is returned, is read and gets no response.
     */
    private PeerConnection makeListStale(SocketGatewayHarness gateway, Runnable whileSilent) throws Exception {
        gateway.afterStartDelay();
        try (PeerConnection watch = discovery.accept()) {
            watch.read();
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(endpoint.address(), "up"))));
            awaitUpdate(gateway, EndpointUpdateKind.SNAPSHOT);
            gateway.advance(3_200_000);
            awaitUpdate(gateway, EndpointUpdateKind.UNAVAILABLE);
            whileSilent.run();
            gateway.advance(800_000);
            PeerConnection call = discovery.accept();
            call.read();
            return call;
        }
    }

    @Test
    void endpointWithoutRecentRequestsGetsNoneOnceTheListIsStale() throws Exception {
        try (SocketGatewayHarness gateway = new SocketGatewayHarness(discovery, endpoint);
                PeerConnection call = makeListStale(gateway, () -> {})) {
            gateway.advance(2 * SECOND); // 6.0 s since the last event of the watch
            try (PeerConnection client =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 50))) {
                Object decision =
                        gateway.await(recorded -> recorded instanceof SendAttempt || recorded instanceof RejectRequest);
                assertInstanceOf(RejectRequest.class, decision);
                assertTrue(client.read().startsWith("HTTP/1.1 503 "));
                call.send(SocketGatewayHarness.watch(
                        SocketGatewayHarness.list(3, true, SocketGatewayHarness.entry(endpoint.address(), "up"))));
                awaitUpdate(gateway, EndpointUpdateKind.SNAPSHOT);
            }
            try (PeerConnection client =
                            ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(2, 50));
                    PeerConnection upstream = endpoint.accept()) {
                assertTrue(upstream.read().contains("0000000000000002"), "with a new list the endpoint is used again");
                upstream.send(SocketGatewayHarness.response("result"));
                assertTrue(client.read().endsWith("result"));
            }
        }
    }

    @Test
    void endpointThatRecentlyAcceptedARequestGetsMore() throws Exception {
        try (SocketGatewayHarness gateway = new SocketGatewayHarness(discovery, endpoint)) {
            PeerConnection unanswered = makeListStale(gateway, () -> serve(gateway, 1));
            gateway.advance(2 * SECOND);
            serve(gateway, 2);
            gateway.advance(500_000); // the call to discovery has not timed out yet
            serve(gateway, 3);
            unanswered.close();
        }
    }

    /**
     * An outage of discovery closes the watches. No change can be notified until it is back, so requests are served
     * however long the outage lasts.
     */
    @Test
    void requestsAreServedDuringADiscoveryOutage() throws Exception {
        try (SocketGatewayHarness gateway = new SocketGatewayHarness(discovery, endpoint).afterStartDelay()) {
            PeerConnection watch = discovery.accept();
            watch.read();
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(endpoint.address(), "up"))));
            awaitUpdate(gateway, EndpointUpdateKind.SNAPSHOT);
            watch.reset();
            awaitUpdate(gateway, EndpointUpdateKind.UNAVAILABLE);
            for (int i = 0; i < 4; i++) {
                gateway.advance(3_900_000);
                PeerConnection call = discovery.accept();
                call.read();
                gateway.advance(2 * SECOND);
                call.send("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
                awaitUpdate(gateway, EndpointUpdateKind.UNAVAILABLE);
            }
            serve(gateway, 1);
            gateway.advance(3_900_000);
            PeerConnection call = discovery.accept();
            call.read();
            call.send("HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\n\r\n");
            awaitUpdate(gateway, EndpointUpdateKind.UNAVAILABLE);
            try (PeerConnection client =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(2, 50))) {
                assertInstanceOf(
                        RejectRequest.class,
                        gateway.await(recorded -> recorded instanceof SendAttempt || recorded instanceof RejectRequest),
                        "discovery is up but overloaded");
                assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            }
        }
    }

    private void serve(SocketGatewayHarness gateway, int number) {
        try (PeerConnection client =
                ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(number, 50))) {
            assertInstanceOf(
                    SendAttempt.class,
                    gateway.await(recorded -> recorded instanceof SendAttempt || recorded instanceof RejectRequest));
            try (PeerConnection upstream = endpoint.accept()) {
                upstream.read();
                upstream.send(
                        SocketGatewayHarness.response("result").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
                assertTrue(client.read().endsWith("result"));
                gateway.await(AttemptCompleted.class);
            }
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
