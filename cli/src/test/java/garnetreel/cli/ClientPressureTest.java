package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.testbed.peer.ScriptedPeer;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.Timeout.ThreadMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Clients that want more memory or time of a gateway process than is their share. The process has the limits of a
 * deployed one and is judged from outside: by its resident memory, and by the answers that a usual client gets
 * meanwhile.
 */
@Timeout(value = 120, threadMode = ThreadMode.SEPARATE_THREAD)
class ClientPressureTest {
    /** The limits of the platform's usual deployments. */
    private static final int MEMORY_MB = 192;

    private static final int DESCRIPTORS = 1024;
    /** As many clients as the gateway lets connect, less the usual one and some that are being closed. */
    private static final int CLIENTS = 600;

    /** The limits of a large deployment, whose memory is many times the heap. */
    private static final int LARGE_MEMORY_MB = 2048;

    private static final int LARGE_DESCRIPTORS = 4096;
    private static final int LARGE_CLIENTS = 2400;

    private static final int MIN_USUAL_REQUESTS = 20;
    private static final double SECONDS_LEFT = 20;
    private static final int WAIT_MILLIS = 30_000;
    /** Requests that are written at once by a client at full speed. */
    private static final int BATCH = 100;

    @TempDir
    Path directory;

    private ScriptedPeer discovery;
    private AnsweringEndpoint endpoint;
    private PlatformProcess process;
    private String address;
    private String testName;
    private int lastNumber;
    private int maxResidentMb;

    @BeforeEach
    void start(TestInfo test) throws Exception {
        testName = test.getDisplayName();
        discovery = ScriptedPeer.listening();
        endpoint = new AnsweringEndpoint();
    }

    private void startGateway() throws Exception {
        startGateway(MEMORY_MB, DESCRIPTORS);
    }

    private void startGateway(int memoryMb, int descriptors) throws Exception {
        maxResidentMb = memoryMb;
        String config = SocketGatewayHarness.text(discovery.address(), endpoint.address())
                .replace("\"memory_mb\": 128", "\"memory_mb\": " + memoryMb)
                .replace("\"sockets\": 512", "\"sockets\": " + descriptors);
        process = new PlatformProcess(directory, config, PlatformProcess.DEFAULT_SIGNALS);
        address = process.awaitAddress();
    }

    @AfterEach
    void end() throws Exception {
        if (process != null) {
            process.kill();
        }
        discovery.close();
        endpoint.close();
    }

    private interface Pressure {
        void apply() throws Exception;
    }

    /** Applies pressure while a usual client sends requests one after the other, all of which have to be served. */
    private void assertServesDuring(Pressure pressure) throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        CompletableFuture<Void> applied = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                pressure.apply();
                applied.complete(null);
            } catch (Exception e) {
                applied.completeExceptionally(e);
            } finally {
                over.set(true);
            }
        });
        thread.start();
        int served = 0;
        long longestNanos = 0;
        long begin = System.nanoTime();
        try (PeerConnection usual = ScriptedPeer.connect(address)) {
            while (!over.get() || served < MIN_USUAL_REQUESTS) {
                long sentAt = System.nanoTime();
                String answer = usual.send(SocketGatewayHarness.request(++lastNumber, SECONDS_LEFT))
                        .read();
                assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("result"), answer);
                served++;
                longestNanos = Math.max(longestNanos, System.nanoTime() - sentAt);
            }
        } catch (IOException e) {
            throw new AssertionError("a usual client got no answer; logged:\n" + process.remainingLog(), e);
        }
        long seconds = (System.nanoTime() - begin) / 1_000_000_000;
        applied.get();
        long peakMb = process.peakResidentBytes() >> 20;
        System.out.printf(
                Locale.ROOT,
                "%s: %d usual requests served in %d s, the longest in %d ms; peak resident %d MB%n",
                testName,
                served,
                seconds,
                longestNanos / 1_000_000,
                peakMb);
        assertTrue(peakMb <= maxResidentMb, "resident at the peak: " + peakMb + " MB");
        process.signal("TERM");
        assertEquals(ExitCode.OK, process.awaitExit());
    }

    private Socket connect() throws IOException {
        String[] hostAndPort = address.split(":");
        return new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    }

    private List<Socket> connectAll(int count) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(connect());
        }
        return sockets;
    }

    /** Sends bytes on each connection; one that the gateway has closed is left out. */
    private static void sendOnAll(List<Socket> sockets, byte[] bytes) {
        for (Socket socket : sockets) {
            try {
                socket.getOutputStream().write(bytes);
            } catch (IOException e) {
                // the gateway may end a connection that takes too much
            }
        }
    }

    /** Waits until the gateway has ended each connection, as it does with clients that stop within a request. */
    private static void awaitEnds(List<Socket> sockets) throws IOException {
        for (Socket socket : sockets) {
            try (socket) {
                socket.setSoTimeout(WAIT_MILLIS);
                socket.getInputStream().skipNBytes(Long.MAX_VALUE);
            } catch (EOFException | SocketException e) {
                // ended in order or reset; a time-out fails the test
            }
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Guards against a heap full of half requests: their bytes counted towards no bound. */
    @ParameterizedTest
    @CsvSource({
        MEMORY_MB + ", " + DESCRIPTORS + ", " + CLIENTS,
        LARGE_MEMORY_MB + ", " + LARGE_DESCRIPTORS + ", " + LARGE_CLIENTS
    })
    void clientsThatStopHalfWayThroughALargeRequestLeaveRoomForOthers(int memoryMb, int descriptors, int clients)
            throws Exception {
        startGateway(memoryMb, descriptors);
        StringBuilder request = new StringBuilder("PUT /write/a HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n");
        for (int field = 0; field < 45; field++) {
            request.append(String.format(Locale.ROOT, "x-%02d: %s\r\n", field, "v".repeat(160)));
        }
        byte[] half = ascii(request.append("\r\n").append("b".repeat(60_000)).toString());
        assertServesDuring(() -> {
            for (int wave = 0; wave < 2; wave++) {
                List<Socket> sockets = connectAll(clients);
                sendOnAll(sockets, half);
                awaitEnds(sockets);
            }
        });
    }

    /** The same with requests that come in single bytes. */
    @Test
    void clientsThatWriteSlowlyLeaveRoomForOthers() throws Exception {
        startGateway();
        byte[] request = ascii(SocketGatewayHarness.request(1, SECONDS_LEFT));
        assertServesDuring(() -> {
            List<Socket> sockets = connectAll(CLIENTS);
            for (int at = 0; at < request.length - 1; at++) {
                sendOnAll(sockets, Arrays.copyOfRange(request, at, at + 1));
            }
            awaitEnds(sockets);
        });
    }

    /** The same with heads of as many short fields as fit, within the bound on fields and past it. */
    @Test
    void headsOfVeryManyShortFieldsLeaveRoomForOthers() throws Exception {
        startGateway();
        byte[] within = ascii("GET /read/a HTTP/1.1\r\n" + "a:\r\n".repeat(47));
        byte[] past = ascii("GET /read/a HTTP/1.1\r\n" + "a:\r\n".repeat(2_000));
        assertServesDuring(() -> {
            for (byte[] head : List.of(within, past)) {
                List<Socket> sockets = connectAll(CLIENTS);
                sendOnAll(sockets, head);
                awaitEnds(sockets);
            }
        });
    }

    /**
     * Sends requests as fast as the connection takes them, while another thread reads the answers.
     */
    private void sendAtFullSpeed(byte[] request, int count) throws Exception {
        try (Socket socket = connect()) {
            socket.setSoTimeout(WAIT_MILLIS);
            CompletableFuture<Void> answered = new CompletableFuture<>();
            Thread reader = new Thread(() -> {
                try {
                    awaitAnswers(socket, count);
                    answered.complete(null);
                } catch (IOException e) {
                    answered.completeExceptionally(e);
                }
            });
            reader.start();
            OutputStream out = socket.getOutputStream();
            byte[] many = new byte[request.length * BATCH];
            for (int i = 0; i < BATCH; i++) {
                System.arraycopy(request, 0, many, i * request.length, request.length);
            }
            for (int sent = 0; sent < count; sent += BATCH) {
                out.write(many);
            }
            answered.get();
        }
    }

    /** Reads until this number of answers has come. */
    private static void awaitAnswers(Socket socket, int count) throws IOException {
        byte[] start = ascii("HTTP/1.1 ");
        byte[] buffer = new byte[1 << 16];
        InputStream in = socket.getInputStream();
        int matched = 0;
        int answers = 0;
        while (answers < count) {
            int length = in.read(buffer);
            if (length < 0) {
                throw new EOFException("the connection ended after " + answers + " of " + count + " answers");
            }
            for (int at = 0; at < length; at++) {
                matched = buffer[at] == start[matched] ? matched + 1 : buffer[at] == start[0] ? 1 : 0;
                if (matched == start.length) {
                    answers++;
                    matched = 0;
                }
            }
        }
    }

    /** Guards against one connection that takes the gateway's time or memory by small or unsound requests. */
    @Test
    void smallUnsoundRequestsAtFullSpeedLeaveTimeForOthers() throws Exception {
        startGateway();
        byte[] unsound = ascii("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
        assertServesDuring(() -> sendAtFullSpeed(unsound, 20_000));
    }

    /** The same with sound requests of volumes and pieces that are new each time: no table may grow without end. */
    @Test
    void requestsUnderEverNewNamesLeaveRoomForOthers() throws Exception {
        startGateway();
        assertServesDuring(() -> {
            try (PeerConnection client = ScriptedPeer.connect(address)) {
                for (int number = 0; number < 5_000; number++) {
                    String request = SocketGatewayHarness.request(1_000_000 + number, SECONDS_LEFT)
                            .replace("volume=00000003b4d60021", String.format(Locale.ROOT, "volume=%016x", number + 1))
                            .replace("7f3a9c21e0b4d655", String.format(Locale.ROOT, "%016x", number + 1));
                    client.send(request).read();
                }
            }
        });
    }
}
