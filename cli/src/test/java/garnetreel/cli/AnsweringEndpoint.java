package garnetreel.cli;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An endpoint of the HTTP platform that answers each request at once and records its correlation id. A request that is
 * held is answered only after its release.
 */
final class AnsweringEndpoint implements AutoCloseable {
    private static final Pattern CORRELATION_ID = Pattern.compile("(?i)\r\nX-Correlation-Id: *([0-9a-f]{16})\r\n");
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\r\nContent-Length: *([0-9]+)\r\n");
    private static final String END_OF_HEADER = "\r\n\r\n";

    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final List<String> receivedIds = new ArrayList<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private volatile String heldId = "";

    AnsweringEndpoint() throws IOException {
        start(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Requests with this id are not answered before {@link #release}. */
    void hold(String id) {
        heldId = id;
    }

    void release() {
        release.countDown();
    }

    /** Correlation ids of the requests received so far, in order. */
    synchronized List<String> receivedIds() {
        return List.copyOf(receivedIds);
    }

    /** Waits until a request with this id has been received. */
    synchronized void awaitReceived(String id) throws InterruptedException {
        while (!receivedIds.contains(id)) {
            wait();
        }
    }

    private synchronized void received(String id) {
        receivedIds.add(id);
        notifyAll();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String header = readHeader(in); header != null; header = readHeader(in)) {
                Matcher length = CONTENT_LENGTH.matcher(header);
                in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
                Matcher id = CORRELATION_ID.matcher(header);
                String receivedId = id.find() ? id.group(1) : "";
                received(receivedId);
                if (receivedId.equals(heldId)) {
                    release.await();
                }
                out.write(SocketGatewayHarness.response("result").getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // the gateway closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a header; null at the end of the connection. */
    private static String readHeader(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder("\r\n");
        while (text.lastIndexOf(END_OF_HEADER) < 0 || text.length() < END_OF_HEADER.length() + 2) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        release.countDown();
        server.close();
    }
}
