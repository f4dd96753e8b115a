package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.testbed.peer.ScriptedPeer;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import java.nio.file.Path;
import java.util.Collections;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.Timeout.ThreadMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that leave with requests unread or under way, judged by what the endpoint of a gateway process receives. The
 * class {@code write} must never run twice.
 */
@Timeout(value = 60, threadMode = ThreadMode.SEPARATE_THREAD)
class DepartedClientTest {
    private static final double SECONDS_LEFT = 20;
    private static final int PIPELINED = 2_000;

    @TempDir
    Path directory;

    private ScriptedPeer discovery;
    private AnsweringEndpoint endpoint;
    private PlatformProcess process;
    private String address;
    private int lastUsual = 1_000_000;

    @BeforeEach
    void start() throws Exception {
        discovery = ScriptedPeer.listening();
        endpoint = new AnsweringEndpoint();
        process = new PlatformProcess(
                directory,
                SocketGatewayHarness.text(discovery.address(), endpoint.address()),
                PlatformProcess.DEFAULT_SIGNALS);
        address = process.awaitAddress();
    }

    @AfterEach
    void end() throws Exception {
        process.kill();
        discovery.close();
        endpoint.close();
    }

    private static String id(int number) {
        return String.format(Locale.ROOT, "%016x", number);
    }

    private String ask(int number) throws Exception {
        try (PeerConnection client = ScriptedPeer.connect(address)) {
            return client.send(SocketGatewayHarness.request(number, SECONDS_LEFT))
                    .read();
        }
    }

    /** Has a usual client served some times, after which the gateway has handled all that came before. */
    private void serveUsualClient() throws Exception {
        for (int i = 0; i < 10; i++) {
            String answer = ask(++lastUsual);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    /** Guards against requests that are sent on although their client has closed its connection behind them. */
    @Test
    void requestsBehindTheOneUnderWayAreNotSentAfterTheirClientHasLeft() throws Exception {
        StringBuilder pipeline = new StringBuilder();
        for (int number = 1; number <= PIPELINED; number++) {
            pipeline.append(SocketGatewayHarness.request(number, SECONDS_LEFT));
        }
        endpoint.hold(id(1));
        try (PeerConnection client = ScriptedPeer.connect(address)) {
            client.send(pipeline.toString());
            endpoint.awaitReceived(id(1));
        }
        serveUsualClient();
        endpoint.release();
        serveUsualClient();
        assertFalse(endpoint.receivedIds().contains(id(2)), "sent on after its client had left");
    }

    /** Guards against an id that runs twice: its client left, and came again with it while it was at the endpoint. */
    @Test
    void anIdThatComesAgainWhileItIsAtTheEndpointDoesNotRunAgain() throws Exception {
        leaveWhileAtTheEndpoint();
        assertNotRunAgain();
    }

    /** The same after the endpoint has answered to a client that had left. */
    @Test
    void anIdThatComesAgainAfterItsClientHadLeftDoesNotRunAgain() throws Exception {
        leaveWhileAtTheEndpoint();
        endpoint.release();
        serveUsualClient();
        assertNotRunAgain();
    }

    private void leaveWhileAtTheEndpoint() throws Exception {
        endpoint.hold(id(7));
        try (PeerConnection client = ScriptedPeer.connect(address)) {
            client.send(SocketGatewayHarness.request(7, SECONDS_LEFT));
            endpoint.awaitReceived(id(7));
        }
        serveUsualClient();
    }

    private void assertNotRunAgain() throws Exception {
        String answer = ask(7);
        assertTrue(answer.startsWith("HTTP/1.1 409 "), answer);
        serveUsualClient();
        assertEquals(1, Collections.frequency(endpoint.receivedIds(), id(7)), "the id ran again");
    }
}
