package garnetreel.cli.testing.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import garnetreel.cli.testing.soak.ProcessFaults.Call;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a gateway process with failing system calls. Skipped, and reported as such, if there is no C compiler. */
@Timeout(120)
class FailingCallsTest {
    private static final String READY_REQUEST = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    /** The longest wait of the platform's clients, including 0.5 s after the deadline for a late response. */
    private static final int CLIENT_TIMEOUT_MILLIS = 3_000;

    @TempDir
    Path directory;

    private SoakEnvironment environment;
    private GatewayProcess gateway;
    private ProcessFaults faults;

    @BeforeEach
    void start() throws IOException {
        Optional<Path> library = ProcessFaults.build(directory);
        assumeTrue(library.isPresent(), "no C compiler");
        environment = new SoakEnvironment(
                directory, new SplittableRandom(1), 1, 1_000, "garnetreel.cli.PlatformMain", List.of(), library);
        environment.startGateways();
        gateway = environment.gateways.get(0);
        faults = gateway.faults().orElseThrow();
    }

    @AfterEach
    void close() throws IOException {
        if (environment != null) {
            environment.close();
        }
    }

    private Socket sendReadyRequest() throws IOException {
        Socket socket = gateway.connect();
        socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
        socket.getOutputStream().write(READY_REQUEST.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private void awaitFailures(Call call, int times) {
        for (int i = 0; faults.failureCount(call) < times && i < 2_000; i++) {
            Threads.pause(10);
        }
        assertTrue(faults.failureCount(call) >= times, call + " failed " + faults.failureCount(call) + " times");
    }

    /** accept fails several times in a row; a client that waits meanwhile is answered before its time-out. */
    @Test
    void clientWaitingWhileAcceptFailsGetsResponse() throws IOException {
        faults.fail(Call.ACCEPT, 1);
        try (Socket client = sendReadyRequest()) {
            awaitFailures(Call.ACCEPT, 4);
            faults.fail(Call.ACCEPT, 0);
            assertEquals(200, new HttpReader(client.getInputStream()).read().status());
        } catch (SocketTimeoutException e) {
            throw new AssertionError("no response " + CLIENT_TIMEOUT_MILLIS + " ms after accept works again", e);
        }
    }

    /** accept fails intermittently for seconds; the delays must not accumulate, so each client is answered in time. */
    @Test
    void clientsGetResponsesWhileAcceptFailsIntermittently() throws IOException {
        faults.fail(Call.ACCEPT, 0.5);
        for (int i = 0; i < 60; i++) {
            try (Socket client = sendReadyRequest()) {
                assertEquals(200, new HttpReader(client.getInputStream()).read().status());
            } catch (SocketTimeoutException e) {
                throw new AssertionError("client " + i + " got no response within " + CLIENT_TIMEOUT_MILLIS + " ms", e);
            }
        }
        assertTrue(faults.failureCount(Call.ACCEPT) > 10);
    }

    /** A lack of descriptors or ports is a local failure, for which no server may be marked unreachable. */
    @Test
    void failureToOpenSocketsMarksNoServerUnreachable() throws IOException {
        faults.fail(Call.SOCKET, 1);
        faults.fail(Call.CONNECT, 1);
        for (int shard = 0; shard < SoakEnvironment.SHARDS; shard++) {
            try (Socket client = gateway.connect()) {
                client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
                client.getOutputStream()
                        .write(("GET /read/a HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 000000000000000" + shard
                                        + "\r\nTier: gold\r\nX-Time-Left: 2.000\r\nIO-Info: volume=0000000000000001,units=1,shard="
                                        + shard
                                        + ",hosts=1\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                assertEquals(
                        503,
                        new HttpReader(client.getInputStream()).read().status(),
                        "nothing was sent, so the request is refused");
            }
        }
        assertTrue(faults.failureCount(Call.SOCKET) + faults.failureCount(Call.CONNECT) > 0);
        String log = Files.readString(directory.resolve("head-0").resolve("log-0.txt"));
        assertFalse(log.contains(": unreachable"), log);
    }

    /** Short reads and writes and interrupted waits only slow the gateway down. */
    @Test
    void shortReadsAndWritesAndInterruptedWaitsAreHarmless() throws IOException {
        for (Call call : List.of(Call.SHORT_READ, Call.SHORT_WRITE, Call.INTERRUPT)) {
            faults.fail(call, 0.7);
        }
        for (int i = 0; i < 50; i++) {
            try (Socket client = sendReadyRequest()) {
                assertEquals(200, new HttpReader(client.getInputStream()).read().status());
            }
        }
        assertTrue(faults.failureCount(Call.SHORT_READ) + faults.failureCount(Call.INTERRUPT) > 0);
    }
}
