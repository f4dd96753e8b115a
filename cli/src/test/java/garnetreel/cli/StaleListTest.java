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
 * Discovery can be reached and gives no list: after 6 s every change counts as notified, so a server may have drained
 * unknown to the gateway. Only a server that accepted a request lately is known not to have.
 */
@Timeout(120)
class StaleListTest extends SocketGatewayFixture {
    private static final long SECOND = 1_000_000;

    private static void awaitList(SocketGatewayHarness gateway, EndpointUpdateKind kind) throws InterruptedException {
        gateway.await(one -> one instanceof EndpointUpdate update && update.kind() == kind);
    }

    /** Lets a watch deliver one list and then fall silent, and the next call wait for its answer in vain. */
    private PeerConnection loseTheList(SocketGatewayHarness gateway, Runnable whileSilent) throws Exception {
        gateway.afterStartDelay();
        try (PeerConnection watch = discovery.accept()) {
            watch.read();
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(shelf.address(), "up"))));
            awaitList(gateway, EndpointUpdateKind.SNAPSHOT);
            gateway.advance(3_200_000);
            awaitList(gateway, EndpointUpdateKind.UNAVAILABLE);
            whileSilent.run();
            gateway.advance(800_000);
            PeerConnection call = discovery.accept();
            call.read();
            return call;
        }
    }

    @Test
    void aServerOfWhichNothingIsKnownGetsNothingOnceTheListIsLost() throws Exception {
        try (SocketGatewayHarness gateway = new SocketGatewayHarness(discovery, shelf);
                PeerConnection call = loseTheList(gateway, () -> {})) {
            gateway.advance(2 * SECOND); // 6.0 s since the watch was last heard
            try (PeerConnection client =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 50))) {
                Object decided = gateway.await(one -> one instanceof SendAttempt || one instanceof RejectRequest);
                assertInstanceOf(RejectRequest.class, decided);
                assertTrue(client.read().startsWith("HTTP/1.1 503 "));
                call.send(SocketGatewayHarness.watch(
                        SocketGatewayHarness.list(3, true, SocketGatewayHarness.entry(shelf.address(), "up"))));
                awaitList(gateway, EndpointUpdateKind.SNAPSHOT);
            }
            try (PeerConnection client =
                            ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(2, 50));
                    PeerConnection sent = shelf.accept()) {
                assertTrue(sent.read().contains("0000000000000002"), "with the list back all is as before");
                sent.send(SocketGatewayHarness.response("result"));
                assertTrue(client.read().endsWith("result"));
            }
        }
    }

    @Test
    void aServerThatTookOnARequestLatelyGetsMore() throws Exception {
        try (SocketGatewayHarness gateway = new SocketGatewayHarness(discovery, shelf)) {
            PeerConnection unanswered = loseTheList(gateway, () -> serve(gateway, 1));
            gateway.advance(2 * SECOND);
            serve(gateway, 2);
            gateway.advance(500_000); // discovery's answer has not been waited for in full yet
            serve(gateway, 3);
            unanswered.close();
        }
    }

    /** Discovery goes down, which closes watches: nothing can be notified before it is back, so all goes on, however long that takes. */
    @Test
    void anOutageOfDiscoveryStopsNothing() throws Exception {
        try (SocketGatewayHarness gateway = new SocketGatewayHarness(discovery, shelf).afterStartDelay()) {
            PeerConnection watch = discovery.accept();
            watch.read();
            watch.send(SocketGatewayHarness.watch(
                    SocketGatewayHarness.list(2, true, SocketGatewayHarness.entry(shelf.address(), "up"))));
            awaitList(gateway, EndpointUpdateKind.SNAPSHOT);
            watch.reset();
            awaitList(gateway, EndpointUpdateKind.UNAVAILABLE);
            for (int i = 0; i < 4; i++) {
                gateway.advance(3_900_000);
                PeerConnection call = discovery.accept();
                call.read();
                gateway.advance(2 * SECOND);
                call.send("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
                awaitList(gateway, EndpointUpdateKind.UNAVAILABLE);
            }
            serve(gateway, 1);
            gateway.advance(3_900_000);
            PeerConnection call = discovery.accept();
            call.read();
            call.send("HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\n\r\n");
            awaitList(gateway, EndpointUpdateKind.UNAVAILABLE);
            try (PeerConnection client =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(2, 50))) {
                assertInstanceOf(
                        RejectRequest.class,
                        gateway.await(one -> one instanceof SendAttempt || one instanceof RejectRequest),
                        "it is up, and crowded");
                assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            }
        }
    }

    private void serve(SocketGatewayHarness gateway, int number) {
        try (PeerConnection client =
                ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(number, 50))) {
            assertInstanceOf(
                    SendAttempt.class,
                    gateway.await(one -> one instanceof SendAttempt || one instanceof RejectRequest));
            try (PeerConnection sent = shelf.accept()) {
                sent.read();
                sent.send(SocketGatewayHarness.response("result").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
                assertTrue(client.read().endsWith("result"));
                gateway.await(AttemptCompleted.class);
            }
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
