package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.codec.ByteQueue;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** SIGTERM to a map service in a process of its own. */
@Timeout(120)
class MapServiceShutdownTest {
    private static final String READY = "ready map://";
    private static final int WAIT_SECONDS = 30;

    @TempDir
    Path directory;

    private final ByteQueue received = new ByteQueue();
    private java.lang.Process process;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException {
        Path settings = Files.writeString(
                directory.resolve("service.hcl"),
                """
                service {
                  heads = 1
                  list  = "127.0.0.1:1"
                }
                map {
                  listen = "127.0.0.1:0"
                  state  = "%s"
                }
                """
                        .formatted(directory.resolve("map")));
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        Main.class.getName(),
                        "map-service",
                        settings.toString())
                .redirectError(directory.resolve("log").toFile())
                .start();
        BufferedReader output = process.inputReader();
        String line = output.readLine();
        assertNotNull(line, () -> "not started: " + directory.resolve("log"));
        String[] hostAndPort = line.substring(READY.length()).split(":");
        address = new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    }

    @AfterEach
    void end() {
        process.destroyForcibly();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(address);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return socket;
    }

    private static byte[] command(String text) {
        ByteBuffer frame = MapCodec.frame(new MapMessage.Command("somebody", text));
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        return bytes;
    }

    private MapMessage.Result readResult(Socket socket) throws Exception {
        byte[] buffer = new byte[1 << 16];
        MapMessage message = MapCodec.next(received);
        while (message == null) {
            int count = socket.getInputStream().read(buffer);
            assertTrue(count > 0, "the connection was closed without an answer");
            received.add(ByteBuffer.wrap(buffer.clone(), 0, count));
            message = MapCodec.next(received);
        }
        return (MapMessage.Result) message;
    }

    private void awaitNoLongerListening() throws IOException {
        for (boolean listens = true; listens; ) {
            try (Socket probe = connect()) {
                listens = probe.isConnected();
            } catch (ConnectException e) {
                listens = false;
            }
        }
    }

    /** A command of which a part had come before SIGTERM, and one that comes after it, had no answer but a reset. */
    @Test
    void commandsThatComeWhileTheServiceShutsDownAreRefused() throws Exception {
        byte[] half = command("status");
        try (Socket client = connect()) {
            client.getOutputStream().write(command("status"));
            client.getOutputStream().write(half, 0, half.length / 2);
            assertTrue(readResult(client).ok());
            process.destroy();
            awaitNoLongerListening();
            client.getOutputStream().write(half, half.length / 2, half.length - half.length / 2);
            client.getOutputStream().write(command("status"));
            for (int i = 0; i < 2; i++) {
                MapMessage.Result result = readResult(client);
                assertTrue(!result.ok() && result.json().contains("shutting down"), result.json());
            }
            assertEquals(-1, client.getInputStream().read());
        }
        assertTrue(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(ExitCode.OK, process.exitValue());
    }
}
