package garnetreel.cli.testing.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.SplittableRandom;

/** Socket utilities. */
final class Sockets {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final int MAX_PORT_ATTEMPTS = 100;

    private Sockets() {}

    /** Closes a connection with a TCP reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // already closed
        }
    }

    /** Closes a connection gracefully. */
    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // already closed
        }
    }

    /** Returns an unused port below the ephemeral range, so that no connection takes it while its gateway restarts. */
    static int freePort(SplittableRandom random) throws IOException {
        IOException lastFailure = null;
        for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
            int port = FIRST_PORT + random.nextInt(PORT_COUNT);
            try (ServerSocket server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return server.getLocalPort();
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw lastFailure;
    }
}
