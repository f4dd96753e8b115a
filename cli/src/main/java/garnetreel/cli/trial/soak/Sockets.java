package garnetreel.cli.trial.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Ways to begin and end connections. */
final class Sockets {
    private Sockets() { }

    /** Ends a connection with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // it had ended
        }
    }

    /** A port that nobody listens at. */
    static int freePort() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return server.getLocalPort();
        }
    }
}
