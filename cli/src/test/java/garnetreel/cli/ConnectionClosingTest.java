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
 * Races, on real sockets, between data in flight and the closing of a connection or the shutdown of the gateway. The
 * order of events is forced: a peer takes each step only after the previous one was observed. Each test failed before
 * the fix that it came with, except {@link #requestThatCrossesTheShutdownIsNotForwarded}, which guards how bytes are
 * read after a shutdown.
 */
@Timeout(120)
class ConnectionClosingTest extends SocketGatewayFixture {
    /**
     * Bytes that arrive after the last response was written must not cause a reset, which could destroy the response:
     * the gateway reads the connection to its end.
     */
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

    /** Bytes read after the connection's shutdown are discarded: a request among them must not be forwarded. */
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
            assertThrows(AssertionError.class, () -> gateway.drainRecorded(RequestReceived.class));
        }
    }

    /**
     * The gateway may stop only after the last byte of the last response is written, not when the response is queued.
     */
    @Test
    void shutdownWaitsForResponsesThatAreStillBeingWritten() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address, 4 << 10)) {
            client.send(SocketGatewayHarness.request(1, 50));
            String body = "0123456789abcdef".repeat(120_000);
            try (PeerConnection upstream = endpoint.accept()) {
                upstream.read();
                gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
                gateway.awaitListenerClosed();
                upstream.send(SocketGatewayHarness.response(body));
                gateway.await(AttemptCompleted.class);
                gateway.advance(10_000);
            }
            assertThrows(
                    TimeoutException.class,
                    () -> gateway.eventLoop.stopped().get(200, TimeUnit.MILLISECONDS),
                    "stopped before the response was written");
            assertTrue(client.read().endsWith(body));
            assertEquals(new Remainder("", End.GRACEFUL), client.readToEnd());
            client.shutdownOutput();
            gateway.advance(50_000);
            gateway.eventLoop.stopped().get(30, TimeUnit.SECONDS);
        }
    }

    /** Half a request has arrived at the shutdown: its rest is read, and it is rejected with 503 without having run. */
    @Test
    void partialRequestAtShutdownIsReadAndRejected() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address);
                PeerConnection idleClient = ScriptedPeer.connect(gateway.address)) {
            idleClient.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").read();
            String request = SocketGatewayHarness.request(1, 50);
            client.send(request.substring(0, 100));
            // This response shows that the half request, which was sent before, has been read.
            idleClient.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").read();
            gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
            gateway.awaitListenerClosed();
            assertEquals(
                    new Remainder("", End.GRACEFUL), idleClient.readToEnd(), "an idle connection is closed gracefully");
            client.send(request.substring(100));
            String response = client.read();
            assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("Connection: close\r\n"), response);
            client.shutdownOutput();
            idleClient.shutdownOutput();
            gateway.eventLoop.stopped().get(30, TimeUnit.SECONDS);
        }
    }

    /** At a shutdown every request of a pipeline must be answered, not only the open one. */
    @Test
    void pipelineAtShutdownIsAnsweredCompletely() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client = ScriptedPeer.connect(gateway.address)) {
            client.send(SocketGatewayHarness.request(1, 50)
                    + SocketGatewayHarness.request(2, 50)
                    + SocketGatewayHarness.request(3, 50));
            try (PeerConnection upstream = endpoint.accept()) {
                upstream.read();
                gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
                gateway.awaitListenerClosed();
                upstream.send(SocketGatewayHarness.response("result"));
                assertTrue(client.read().endsWith("result"));
            }
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            String last = client.read();
            assertTrue(last.startsWith("HTTP/1.1 503 ") && last.contains("Connection: close\r\n"), last);
            assertEquals(End.GRACEFUL, client.readToEnd().end());
        }
    }

    /** A connection in the accept queue at the shutdown must be accepted first: closing the listener would reset it. */
    @Test
    void connectionInTheAcceptQueueAtShutdownIsServed() throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection first = ScriptedPeer.connect(gateway.address)) {
            gateway.eventLoop.submitCommand(new PlatformGateway.Shutdown());
            gateway.haltAt(event -> event instanceof RequestReceived);
            first.send(SocketGatewayHarness.request(1, 50));
            gateway.awaitHalt();
            try (PeerConnection queuedClient =
                    ScriptedPeer.connect(gateway.address).send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")) {
                queuedClient.awaitEstablishedByPeer();
                gateway.clock.addAndGet(501_000); // the next turn closes the listener before it accepts anything
                gateway.resume();
                assertTrue(queuedClient.read().startsWith("HTTP/1.1 503 "));
            }
        }
    }

    /** A response without a length is complete only if its connection is closed gracefully, not by a reset. */
    @ParameterizedTest
    @EnumSource(End.class)
    void responseWithoutALengthIsCompleteOnlyAfterAGracefulClose(End responseEnd) throws Exception {
        try (SocketGatewayHarness gateway = gateway();
                PeerConnection client =
                        ScriptedPeer.connect(gateway.address).send(SocketGatewayHarness.request(1, 50));
                PeerConnection upstream = endpoint.accept()) {
            upstream.read();
            upstream.send("HTTP/1.1 200 OK\r\n\r\nresult");
            if (responseEnd == End.RESET) {
                upstream.reset();
            } else {
                upstream.shutdownOutput();
            }
            assertEquals(
                    responseEnd == End.RESET ? Outcome.RESET : Outcome.OK,
                    gateway.await(AttemptCompleted.class).outcome());
            String response = client.read();
            assertEquals(responseEnd == End.RESET, response.startsWith("HTTP/1.1 502 "), response);
            assertEquals(responseEnd == End.GRACEFUL, response.endsWith("result"), response);
        }
    }

    /**
     * More clients than the limit connect at once, each with a whole request: every request that was read is answered.
     */
    @Test
    void requestThatHasBeenReadIsAnsweredAtTheConnectionLimit() throws Exception {
        try (SocketGatewayHarness gateway = SocketGatewayHarness.withDescriptors(88, discovery, endpoint);
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
                assertTrue(
                        client.read().startsWith("HTTP/1.1 200 "),
                        "the request was read and its connection closed without a response");
                client.close();
            }
        }
    }
}
