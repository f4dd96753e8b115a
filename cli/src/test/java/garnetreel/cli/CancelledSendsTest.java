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
 * Races, on real sockets, between sends that are in progress and events after which they must not happen: a client that
 * disconnects, an endpoint that drains, time that runs out. The order of events is forced: a peer takes each step only
 * after the previous one was observed. Each test failed before the fix that it came with.
 */
@Timeout(120)
class CancelledSendsTest extends SocketGatewayFixture {
    /**
     * The client disconnects while its attempt waits for a connection: the attempt must not be sent, and the connection
     * serves the next request.
     */
    @ParameterizedTest
    @EnumSource(End.class)
    void queuedSendIsCancelledWhenItsClientDisconnects(End clientEnd) throws Exception {
        try (SocketGatewayHarness gateway = gatewayWithBusyEndpoint()) {
            PeerConnection leavingClient =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 50));
            gateway.await(SendAttempt.class);
            if (clientEnd == End.RESET) {
                leavingClient.reset();
            } else {
                leavingClient.close();
            }
            assertEquals(
                    Outcome.NOT_STARTED, gateway.await(AttemptCompleted.class).outcome());
            try (PeerConnection remainingClient =
                    ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(2, 50))) {
                gateway.await(SendAttempt.class);
                endpoint.emptyAcceptQueue();
                try (PeerConnection upstream = endpoint.accept()) {
                    String first = upstream.read();
                    assertTrue(first.contains("X-Correlation-Id: 0000000000000002\r\n"), first);
                    upstream.send(SocketGatewayHarness.response("result"));
                    assertTrue(remainingClient.read().endsWith("result"));
                }
            }
        }
    }

    /**
     * An endpoint drains while a connection to it is being established: nothing may be sent to it until it is up again.
     */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "removed"})
    void queuedSendIsCancelledWhenItsEndpointDrains(String health) throws Exception {
        try (SocketGatewayHarness gateway = gatewayWithBusyEndpoint().afterStartDelay();
                PeerConnection watch = discovery.accept()) {
            watch.read();
            String entry = SocketGatewayHarness.entry(endpoint.address(), "up");
            watch.send(SocketGatewayHarness.watch(SocketGatewayHarness.list(2, true, entry)));
            awaitNextUpdate(gateway, EndpointUpdateKind.SNAPSHOT);
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
                endpoint.emptyAcceptQueue();
                try (PeerConnection upstream = endpoint.accept()) {
                    assertTrue(
                            upstream.read().contains("0000000000000001"),
                            "the request is sent once the endpoint is up again");
                    upstream.send(SocketGatewayHarness.response("result"));
                    assertTrue(client.read().endsWith("result"));
                }
            }
        }
    }

    /**
     * Time spent on establishing the connection must be deducted from the remaining time that is sent to the endpoint.
     */
    @Test
    void remainingTimeIsSentAsOfTheMomentOfSending() throws Exception {
        try (SocketGatewayHarness gateway = gatewayWithBusyEndpoint();
                PeerConnection client =
                        ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 10))) {
            gateway.await(SendAttempt.class);
            gateway.advance(4_000_000);
            endpoint.emptyAcceptQueue();
            try (PeerConnection upstream = endpoint.accept()) {
                String forwarded = upstream.read();
                assertTrue(forwarded.contains("X-Time-Left: 6.000\r\n"), forwarded);
                upstream.send(SocketGatewayHarness.response("result"));
                assertTrue(client.read().endsWith("result"));
            }
        }
    }

    /** Requests queued behind the open one must not stop reading, or the client's disconnect would go unnoticed. */
    @ParameterizedTest
    @EnumSource(End.class)
    void disconnectOfAPipeliningClientIsNoticed(End clientEnd) throws Exception {
        try (SocketGatewayHarness gateway = gateway()) {
            StringBuilder pipeline = new StringBuilder();
            for (int i = 1; i <= 200; i++) {
                pipeline.append(SocketGatewayHarness.request(i, 50));
            }
            PeerConnection client = ScriptedPeer.connect(gateway.address).send(pipeline.toString());
            try (PeerConnection upstream = endpoint.accept()) {
                upstream.read();
                if (clientEnd == End.RESET) {
                    client.reset();
                } else {
                    client.shutdownOutput();
                }
                gateway.await(RequestCancelled.class);
                upstream.send(SocketGatewayHarness.response("result"));
                gateway.await(AttemptCompleted.class);
                gateway.advance(50_000);
                assertEquals(0, gateway.eventLoop.acceptedCount() - 1);
                assertThrows(
                        AssertionError.class,
                        () -> gateway.drainRecorded(RequestReceived.class),
                        "a queued request reached the scheduler");
            }
        }
    }
}
