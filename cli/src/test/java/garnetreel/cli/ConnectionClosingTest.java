package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.platform.PlatformGateway;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.testbed.peer.ScriptedPeer;
import garnetreel.testbed.peer.ScriptedPeer.End;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import garnetreel.testbed.peer.ScriptedPeer.Remainder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Whatever closes a connection or shuts the gateway down, crossed with what is still in flight at that instant, on real
 * sockets. Each crossing is forced: a peer takes its step after the step before was seen. Each of these tests failed before the
 * fix that it came with, but for the one of a request that crosses the shutdown: that one guards the reading of what comes
 * after it.
 */
@Timeout(120)
class ConnectionClosingTest extends SocketGatewayFixture {
    /** Bytes that come once the last answer is written meet a connection that is read to its end, not a reset. */
    @Test
    void responseSurvivesBytesThatArriveAtItsClose() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address)) {
            client.send("no request\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 400 "));
            for (int i = 0; i < 8; i++) {
                client.send("x".repeat(1_000));
            }
            client.shutdownOutput();
            assertEquals(new Remainder("", End.GRACEFUL), client.readToEnd());
        }
    }

    /** What is read after the shutdown is nobody's: a request that crosses it is not sent on. */
    @Test
    void requestThatCrossesTheShutdownIsNotForwarded() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address)) {
            client.send("no request\r\n\r\n");
            client.read();
            client.send(SocketGatewayHarness.request(1, 50));
            client.shutdownOutput();
            assertEquals(new Remainder("", End.GRACEFUL), client.readToEnd());
            gateway.advance(10_000);
            assertThrows(AssertionError.class, () -> gateway.drainSeen(RequestReceived.class));
        }
    }

    /** The process may end when the last answer's last byte has left, and not when it is handed to the connection. */
    @Test
    void shutdownWaitsForResponsesThatAreStillBeingWritten() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address, 4 << 10)) {
            client.send(SocketGatewayHarness.request(1, 50));
            String body = "0123456789abcdef".repeat(120_000);
            try (PeerConnection sent = shelf.accept()) {
                sent.read();
                gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
                gateway.awaitListenerClosed();
                sent.send(SocketGatewayHarness.response(body));
                gateway.await(AttemptCompleted.class);
                gateway.advance(10_000);
            }
            assertThrows(
                    TimeoutException.class,
                    () -> gateway.eventLoop.stopped().get(200, TimeUnit.MILLISECONDS),
                    "most of the answer is not in the client's hands");
            assertTrue(client.read().endsWith(body));
            assertEquals(new Remainder("", End.GRACEFUL), client.readToEnd());
            client.shutdownOutput();
            gateway.advance(50_000);
            gateway.eventLoop.stopped().get(30, TimeUnit.SECONDS);
        }
    }

    /** Half a request had come at the end; its rest is read, and it is refused, which is harmless. */
    @Test
    void partialRequestAtShutdownIsReadAndRejected() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address);
                PeerConnection rests = ScriptedPeer.connect(gateway.address)) {
            rests.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").read();
            String request = SocketGatewayHarness.request(1, 50);
            client.send(request.substring(0, 100));
            // Its answer shows that the half before it has been read.
            rests.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").read();
            gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
            gateway.awaitListenerClosed();
            assertEquals(new Remainder("", End.GRACEFUL), rests.readToEnd(), "one that rests is closed in order");
            client.send(request.substring(100));
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Connection: close\r\n"), answer);
            client.shutdownOutput();
            rests.shutdownOutput();
            gateway.eventLoop.stopped().get(30, TimeUnit.SECONDS);
        }
    }

    /** At the end each request of a pipeline gets its answer, not only the one that was open. */
    @Test
    void pipelineAtShutdownIsAnsweredCompletely() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address)) {
            client.send(SocketGatewayHarness.request(1, 50)
                    + SocketGatewayHarness.request(2, 50)
                    + SocketGatewayHarness.request(3, 50));
            try (PeerConnection sent = shelf.accept()) {
                sent.read();
                gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
                gateway.awaitListenerClosed();
                sent.send(SocketGatewayHarness.response("result"));
                assertTrue(client.read().endsWith("result"));
            }
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            String last = client.read();
            assertTrue(last.startsWith("HTTP/1.1 503 ") && last.contains("Connection: close\r\n"), last);
            assertEquals(End.GRACEFUL, client.readToEnd().end());
        }
    }

    /** A connection that waits in the listener's queue when that ends is taken; closing the queue would reset it. */
    @Test
    void connectionInTheAcceptQueueAtShutdownIsServed() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection first = ScriptedPeer.connect(gateway.address)) {
            gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
            gateway.haltAt(event -> event instanceof RequestReceived);
            first.send(SocketGatewayHarness.request(1, 50));
            gateway.awaitHalt();
            try (PeerConnection waits =
                    ScriptedPeer.connect(gateway.address).send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")) {
                waits.awaitEstablishedByPeer();
                gateway.clock.addAndGet(501_000); // the turn after this one, ahead of any accept, ends the listener
                gateway.resume();
                assertTrue(waits.read().startsWith("HTTP/1.1 503 "));
            }
        }
    }

    /** An answer without a length is whole when its connection ends in order; a reset is no end. */
    @ParameterizedTest
    @EnumSource(End.class)
    void responseWithoutALengthIsCompleteOnlyAfterAnOrderlyClose(End how) throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client =
                        ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 50));
                PeerConnection sent = shelf.accept()) {
            sent.read();
            sent.send("HTTP/1.1 200 OK\r\n\r\nresult");
            if (how == End.RESET) {
                sent.reset();
            } else {
                sent.shutdownOutput();
            }
            assertEquals(
                    how == End.RESET ? Outcome.RESET : Outcome.OK,
                    gateway.await(AttemptCompleted.class).outcome());
            String answer = client.read();
            assertEquals(how == End.RESET, answer.startsWith("HTTP/1.1 502 "), answer);
            assertEquals(how == End.GRACEFUL, answer.endsWith("result"), answer);
        }
    }

    /** More clients than the bound connect in one moment, each with a whole request: what has been read is answered. */
    @Test
    void requestThatHasBeenReadIsAnsweredAtTheConnectionLimit() throws Exception {
        try (SocketGatewayHarness gateway = SocketGatewayHarness.withDescriptors(88, discovery, shelf);
                PeerConnection first = ScriptedPeer.connect(gateway.address)) {
            gateway.haltAt(event -> event instanceof RequestReceived);
            first.send(SocketGatewayHarness.request(1, 50));
            gateway.awaitHalt();
            List<PeerConnection> clients = new ArrayList<>();
            for (int i = 2; i <= 24; i++) {
                clients.add(
                        ScriptedPeer.connect(gateway.address).send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"));
            }
            gateway.resume();
            for (PeerConnection client : clients) {
                assertTrue(client.read().startsWith("HTTP/1.1 200 "), "read and closed with no answer");
                client.close();
            }
        }
    }
}
