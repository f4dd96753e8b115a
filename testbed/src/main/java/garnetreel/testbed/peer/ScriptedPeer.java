package garnetreel.testbed.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * An upstream endpoint, client or discovery service of the HTTP platform on loopback sockets, one step per call: the
 * test starts each step once it has seen the previous one's effect, so that races are forced rather than left to
 * timing. The peer only knows the end of an HTTP header and Content-Length. Each wait fails after a time limit.
 */
public final class ScriptedPeer implements AutoCloseable {
    private static final int WAIT_MILLIS = 30_000;
    /** Limit on polls of the kernel's TCP connection tables. */
    private static final int MAX_POLLS = 100_000;

    private static final Charset BYTES = StandardCharsets.ISO_8859_1;
    private static final String END_OF_HEADER = "\r\n\r\n";
    private static final String CONTENT_LENGTH = "\r\nContent-Length: ";

    /** How the other side ended a connection. */
    public enum End {
        /** It shut down sending or closed the connection (FIN). */
        GRACEFUL,
        /** It reset the connection (RST). */
        RESET
    }

    /** Everything received up to the end of the connection, and how it ended. */
    public record Remainder(String text, End end) {}

    private final ServerSocket server;
    private final List<Socket> fillers = new ArrayList<>();

    private ScriptedPeer(ServerSocket server) {
        this.server = server;
    }

    /** Creates a peer that listens on a free loopback port. */
    public static ScriptedPeer listening() throws IOException {
        ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        server.setSoTimeout(WAIT_MILLIS);
        return new ScriptedPeer(server);
    }

    /**
     * Creates a listening peer that accepts no connections: its accept queue of minimum length is full, so the kernel
     * drops further attempts. After {@link #emptyAcceptQueue} has emptied the queue, a client connects at its next
     * attempt, a second after its first.
     */
    public static ScriptedPeer listeningWithFullQueue() throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        server.setSoTimeout(WAIT_MILLIS);
        ScriptedPeer peer = new ScriptedPeer(server);
        // A queue of length n holds n + 1 connections.
        for (int i = 0; i < 2; i++) {
            peer.fillers.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
        return peer;
    }

    /** Empties the accept queue, so that connections can be established. */
    public void emptyAcceptQueue() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
            server.accept().close();
        }
        fillers.clear();
    }

    /** The address that it listens on. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Accepts the next connection. */
    public PeerConnection accept() throws IOException {
        return new PeerConnection(server.accept());
    }

    /** Connects as a client. */
    public static PeerConnection connect(String address) throws IOException {
        return connect(address, 0);
    }

    /**
     * Connects as a client.
     *
     * @param buffer size of the receive buffer, in bytes; 0 for the system's default
     */
    public static PeerConnection connect(String address, int buffer) throws IOException {
        Socket socket = new Socket();
        if (buffer > 0) {
            socket.setReceiveBufferSize(buffer);
        }
        int colon = address.lastIndexOf(':');
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        return new PeerConnection(socket);
    }

    /** Stops listening. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }

    /** One connection of the peer. */
    public static final class PeerConnection implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        private PeerConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(WAIT_MILLIS);
            socket.setTcpNoDelay(true);
            this.in = socket.getInputStream();
        }

        /**
         * Waits until the connection is established on the other side too. It can be established here before the last
         * handshake segment has arrived there, and a listener that closes at that moment does not find it in its queue.
         */
        public PeerConnection awaitEstablishedByPeer() throws IOException {
            Pattern peerEntry = Pattern.compile(
                    String.format(Locale.ROOT, ":%04X [0-9A-F]+:%04X 01 ", socket.getPort(), socket.getLocalPort()));
            for (int polls = 0; polls < MAX_POLLS; polls++) {
                for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
                    if (peerEntry.matcher(Files.readString(Path.of(table))).find()) {
                        return this;
                    }
                }
            }
            throw new IOException(
                    "connection not established on the other side after " + MAX_POLLS + " polls of its state");
        }

        /** Sends text unchanged, one byte per character (ISO 8859-1). */
        public PeerConnection send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(BYTES));
            return this;
        }

        /** Reads one message: a header, and the body of the length that it states. */
        public String read() throws IOException {
            String header = readHeader();
            byte[] body = in.readNBytes(contentLength(header));
            if (body.length < contentLength(header)) {
                throw new IOException(
                        "connection ended after " + body.length + " body bytes, expected " + contentLength(header));
            }
            return header + new String(body, BYTES);
        }

        private String readHeader() throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.length() < END_OF_HEADER.length()
                    || !text.substring(text.length() - END_OF_HEADER.length()).equals(END_OF_HEADER)) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("connection ended within a header: " + text);
                }
                text.append((char) next);
            }
            return text.toString();
        }

        private static int contentLength(String header) {
            int field = header.indexOf(CONTENT_LENGTH);
            if (field < 0) {
                return 0;
            }
            int end = header.indexOf("\r\n", field + 2);
            return Integer.parseInt(header.substring(field + CONTENT_LENGTH.length(), end));
        }

        /** Reads until the other side ends the connection. */
        public Remainder readToEnd() throws IOException {
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            byte[] buffer = new byte[1 << 16];
            End end = End.GRACEFUL;
            try {
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    received.write(buffer, 0, count);
                }
            } catch (SocketException e) {
                end = End.RESET;
            }
            return new Remainder(received.toString(BYTES), end);
        }

        /** Shuts down the sending direction only. */
        public void shutdownOutput() throws IOException {
            socket.shutdownOutput();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Closes the connection; unlike {@link #reset}, does not force a reset. */
        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
