package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.net.Addresses;
import garnetreel.testbed.peer.ScriptedPeer;
import garnetreel.testbed.peer.ScriptedPeer.PeerConnection;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals to a real process, started with the main class that {@code run} in deploy/balancer.toml names. */
@Timeout(120)
class SignalsTest {
    @TempDir
    Path directory;

    private ScriptedPeer discovery;
    private ScriptedPeer endpoint;
    private PlatformProcess process;

    @BeforeEach
    void start() throws Exception {
        discovery = ScriptedPeer.listening();
        endpoint = ScriptedPeer.listening();
    }

    @AfterEach
    void end() throws Exception {
        if (process != null) {
            process.kill();
        }
        discovery.close();
        endpoint.close();
    }

    private void run(String config) throws IOException {
        run(config, PlatformProcess.DEFAULT_SIGNALS);
    }

    private void run(String config, String signals) throws IOException {
        process = new PlatformProcess(directory, config, signals);
    }

    private Path file() {
        return process.file();
    }

    private Matcher awaitLogLine(Pattern pattern) throws InterruptedException {
        return process.awaitLogLine(pattern);
    }

    private void signal(String name) throws Exception {
        process.signal(name);
    }

    /** A request is in flight when SIGTERM arrives: it is answered, and the process then exits with 0. */
    @Test
    void sigtermAnswersAcceptedRequests() throws Exception {
        run(SocketGatewayHarness.text(discovery.address(), endpoint.address()));
        String address = process.awaitAddress();
        try (PeerConnection client = ScriptedPeer.connect(address).send(SocketGatewayHarness.request(1, 50));
                PeerConnection upstream = endpoint.accept()) {
            upstream.read();
            signal("TERM");
            awaitLogLine(Pattern.compile("no new requests accepted"));
            upstream.send(SocketGatewayHarness.response("result"));
            String response = client.read();
            assertTrue(response.endsWith("result") && response.contains("Connection: close\r\n"), response);
            assertEquals(ScriptedPeer.End.GRACEFUL, client.readToEnd().end());
        }
        assertEquals(ExitCode.OK, process.awaitExit());
    }

    /** A client that always has a further request on its way, and reads all responses, kept the process from ending. */
    @Test
    void sigtermEndsDespiteAClientThatSendsWithoutEnd() throws Exception {
        run(SocketGatewayHarness.text(discovery.address(), endpoint.address())
                .replace("\"aim\": 20, \"hard-limit\": 60", "\"aim\": 0.4, \"hard-limit\": 1"));
        InetSocketAddress address = Addresses.parse(process.awaitAddress());
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            startDaemon(() -> sendWithoutEnd(client));
            startDaemon(() -> readToEnd(client));
            signal("TERM");
            assertEquals(ExitCode.OK, process.awaitExit());
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void sendWithoutEnd(Socket client) {
        try {
            for (int i = 1; ; i++) {
                client.getOutputStream()
                        .write(SocketGatewayHarness.request(i, 1).getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // the gateway has closed the connection
        }
    }

    private static void readToEnd(Socket client) {
        try {
            client.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // a reset, as the client has sent much that nobody reads any more
        }
    }

    /**
     * An invalid file changes nothing, and the log names the field; a valid one changes the discovery address at once.
     */
    @Test
    void sighupLoadsAValidFileAndIgnoresAnInvalidOne() throws Exception {
        String valid = SocketGatewayHarness.text(discovery.address(), endpoint.address());
        run(valid);
        String address = process.awaitAddress();
        Files.writeString(file(), valid.replace("\"sockets\": 512", "\"sockets\": 5"));
        signal("HUP");
        awaitLogLine(Pattern.compile("can't be read, the configuration is unchanged: .*\"sockets\" is 5"));
        try (PeerConnection client = ScriptedPeer.connect(address).send(SocketGatewayHarness.request(1, 50));
                PeerConnection upstream = endpoint.accept()) {
            upstream.read();
            upstream.send(SocketGatewayHarness.response("result"));
            assertTrue(client.read().endsWith("result"), "requests are served as before");
        }
        try (ScriptedPeer moved = ScriptedPeer.listening()) {
            Files.writeString(file(), SocketGatewayHarness.text(moved.address(), endpoint.address()));
            signal("HUP");
            try (PeerConnection watch = moved.accept()) {
                assertTrue(watch.read().startsWith("GET /registry/instances?watch=1"));
            }
        }
    }

    /**
     * The latest discovery address in the log, once nothing has been logged for {@code quietSeconds}; {@code before} if
     * there was none.
     */
    private String latestDiscoveryAddress(int quietSeconds, String before) throws InterruptedException {
        Pattern moves = Pattern.compile("discovery moves from \\S+ to (\\S+)");
        String last = before;
        for (String line = process.nextLogLine(quietSeconds); line != null; line = process.nextLogLine(quietSeconds)) {
            Matcher matcher = moves.matcher(line);
            last = matcher.find() ? matcher.group(1) : last;
        }
        return last;
    }

    /**
     * The read for the first of two signals is delayed: the gateway must end up with the latest file, not with the
     * latest read.
     */
    @Test
    void latestOfTwoConfigurationsIsUsed() throws Exception {
        try (ScriptedPeer second = ScriptedPeer.listening();
                ScriptedPeer third = ScriptedPeer.listening()) {
            run(SocketGatewayHarness.text(discovery.address(), endpoint.address()));
            process.awaitAddress();
            Path pipe = directory.resolve("pipe");
            assertEquals(
                    0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
            Files.delete(file());
            Files.createLink(file(), pipe);
            signal("HUP");
            String last;
            // Opening the pipe blocks until it has a reader: then the first signal's read has begun.
            try (OutputStream slow = Files.newOutputStream(pipe)) {
                Path next = Files.writeString(
                        directory.resolve("next"), SocketGatewayHarness.text(third.address(), endpoint.address()));
                Files.move(next, file(), StandardCopyOption.ATOMIC_MOVE);
                signal("HUP");
                last = latestDiscoveryAddress(1, null);
                slow.write(SocketGatewayHarness.text(second.address(), endpoint.address())
                        .getBytes(StandardCharsets.UTF_8));
            }
            last = latestDiscoveryAddress(3, last);
            assertEquals(third.address(), last);
        }
    }

    /** A file that is half written when the signal arrives is read again until it is complete. */
    @Test
    void partlyWrittenFileIsReadAgain() throws Exception {
        String config = SocketGatewayHarness.text(discovery.address(), endpoint.address());
        run(config);
        process.awaitAddress();
        try (ScriptedPeer moved = ScriptedPeer.listening()) {
            String next = SocketGatewayHarness.text(moved.address(), endpoint.address());
            Files.writeString(file(), next.substring(0, next.length() / 2));
            signal("HUP");
            awaitLogLine(Pattern.compile("can't be read, the configuration is unchanged"));
            Files.writeString(file(), next);
            awaitLogLine(Pattern.compile("discovery moves from \\S+ to " + Pattern.quote(moved.address())));
        }
    }

    /** A process started under nohup can't receive SIGHUP; it logs that instead of silently ignoring the signal. */
    @Test
    void ignoredSignalIsLogged() throws Exception {
        run(SocketGatewayHarness.text(discovery.address(), endpoint.address()), "--ignore-signal=HUP");
        awaitLogLine(Pattern.compile("SIGHUP is ignored"));
        process.awaitAddress();
    }

    /** An invalid configuration at start-up: the log names the field, and the exit code is 1. */
    @Test
    void invalidFileAtStartIsRejected() throws Exception {
        run(SocketGatewayHarness.text(discovery.address(), endpoint.address())
                .replace("\"memory_mb\": 128", "\"memory_mb\": 0"));
        awaitLogLine(Pattern.compile("config.json: .*\"memory_mb\" is 0"));
        assertEquals(ExitCode.FAILED, process.awaitExit());
    }
}
