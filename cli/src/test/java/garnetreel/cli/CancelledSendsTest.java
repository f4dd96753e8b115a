package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.testbed.peer.ScriptedPeer;
import garnetreel.testbed.peer.ScriptedPeer.End;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Whatever withdraws the permission to send, crossed with what is still in flight at that instant, on real sockets. Each
 * crossing is forced: a peer takes its step after the step before was seen. Each of these tests failed before the fix that it
 * came with.
 */
@Timeout(120)
class CancelledSendsTest extends SocketGatewayFixture {
    /** Its attempt waits for a connection when the client leaves; the connection then serves the next request. */
    @ParameterizedTest
    @EnumSource(End.class)
    void queuedSendIsCancelledWhenItsClientDisconnects(End how) throws Exception {
        try (SocketGatewayHarness gateway = gatewayOfABusyShelf()) {
            PeerConnection leaves = ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 50));
            gateway.await(SendAttempt.class);
            if (how == End.RESET) {
                leaves.reset();
            } else {
                leaves.close();
            }
            assertEquals(
                    Outcome.NOT_STARTED, gateway.await(AttemptCompleted.class).outcome());
            try (PeerConnection stays =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(2, 50))) {
                gateway.await(SendAttempt.class);
                shelf.emptyAcceptQueue();
                try (PeerConnection sent = shelf.accept()) {
                    String first = sent.read();
                    assertTrue(first.contains("X-Correlation-Id: 0000000000000002\r\n"), first);
                    sent.send(SocketGatewayHarness.response("result"));
                    assertTrue(stays.read().endsWith("result"));
                }
            }
        }
    }

    /** A shelf drains while a connection to it is being established: nothing is sent to it until it is up again. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "removed"})
    void queuedSendIsCancelledWhenItsShelfDrains(String health) throws Exception {
        try (SocketGatewayHarness gateway = gatewayOfABusyShelf().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            String entry = SocketGatewayHarness.entry(shelf.address(), "up");
            watch.send(SocketGatewayHarness.watch(SocketGatewayHarness.list(2, true, entry)));
            awaitKind(gateway, EndpointUpdateKind.SNAPSHOT);
            try (PeerConnection client =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 50))) {
                gateway.await(SendAttempt.class);
                watch.send(SocketGatewayHarness.chunk(
                        SocketGatewayHarness.list(3, false, entry.replace("\"up\"", "\"" + health + "\""))));
                assertEquals(
                        Outcome.NOT_STARTED,
                        gateway.await(AttemptCompleted.class).outcome());
                watch.send(SocketGatewayHarness.chunk(SocketGatewayHarness.list(4, false, entry)));
                gateway.await(SendAttempt.class);
                shelf.emptyAcceptQueue();
                try (PeerConnection sent = shelf.accept()) {
                    assertTrue(sent.read().contains("0000000000000001"), "it is sent when the shelf is up again");
                    sent.send(SocketGatewayHarness.response("result"));
                    assertTrue(client.read().endsWith("result"));
                }
            }
        }
    }

    /** A connection that came up late has used up a part of the client's time; the shelf is told what is left. */
    @Test
    void remainingTimeIsSentAsOfTheMomentOfSending() throws Exception {
        try (SocketGatewayHarness gateway = gatewayOfABusyShelf();
                PeerConnection client =
                        ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 10))) {
            gateway.await(SendAttempt.class);
            gateway.advance(4_000_000);
            shelf.emptyAcceptQueue();
            try (PeerConnection sent = shelf.accept()) {
                String passed = sent.read();
                assertTrue(passed.contains("X-Time-Left: 6.000\r\n"), passed);
                sent.send(SocketGatewayHarness.response("result"));
                assertTrue(client.read().endsWith("result"));
            }
        }
    }

    /** Requests that wait behind the open one stopped the reading, and with it the notice of the client's close. */
    @ParameterizedTest
    @EnumSource(End.class)
    void disconnectOfAPipeliningClientIsNoticed(End how) throws Exception {
        try (SocketGatewayHarness gateway = gateway()) {
            StringBuilder many = new StringBuilder();
            for (int i = 1; i <= 200; i++) {
                many.append(SocketGatewayHarness.request(i, 50));
            }
            PeerConnection client = ScriptedPeer.connect(gateway.address).send(many.toString());
            try (PeerConnection sent = shelf.accept()) {
                sent.read();
                if (how == End.RESET) {
                    client.reset();
                } else {
                    client.shutdownOutput();
                }
                gateway.await(RequestCancelled.class);
                sent.send(SocketGatewayHarness.response("result"));
                gateway.await(AttemptCompleted.class);
                gateway.advance(50_000);
                assertEquals(0, gateway.eventLoop.acceptedCount() - 1);
                assertThrows(
                        AssertionError.class,
                        () -> gateway.drainSeen(RequestReceived.class),
                        "what waited behind it came to the module");
            }
        }
    }
}
