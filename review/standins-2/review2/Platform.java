package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One head of the platform, started by the line "run" of the deploy file; discovery, shelfs and clients are threads here. */
public abstract class Platform extends Case {
    protected int headPort;
    protected Process head;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private int version = 1;

    /** A message of HTTP/1.1 with a Content-Length or no body. */
    public record Message(String startLine, Map<String, String> fields, byte[] body) {
        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads the next message; null at the end of the connection. */
    public static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String field;
        while ((field = line(in)) != null && !field.isEmpty()) {
            int colon = field.indexOf(':');
            fields.put(field.substring(0, colon), field.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Message(start, fields, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(next);
        }
        return null;
    }

    protected static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** What a server of connections does with each. */
    public interface Connection {
        void serve(Socket socket) throws Exception;
    }

    /** Listens on a free port and serves each connection in a thread; returns the port. */
    protected final int serve(String name, Connection connection) throws IOException {
        ServerSocket server = closing(new ServerSocket(0, 128, InetAddress.getLoopbackAddress()));
        daemon(name, () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(name, () -> {
                        try (socket) {
                            connection.serve(socket);
                        } catch (Exception e) {
                            // the connection has ended
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server.getLocalPort();
    }

    /** Lists a shelf. */
    protected final synchronized void list(String host, int port, int block, String health) {
        version++;
        entries.put(host, String.format(Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"a\",\"class\":\"m\",\"block\":%d,"
                        + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}", host, port, block, health));
        notifyAll();
    }

    private synchronized String wholeList() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", entries.values()) + "]}";
    }

    private void discovery(Socket socket) throws Exception {
        Message call = read(new BufferedInputStream(socket.getInputStream()));
        OutputStream out = socket.getOutputStream();
        if (call == null) {
            return;
        }
        if (!call.startLine().contains("watch=1")) {
            String list = wholeList();
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list).getBytes());
            return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        int sent = -1;
        while (true) {
            String next;
            synchronized (this) {
                if (sent == version) {
                    wait(2000);
                }
                next = sent == version ? "" : wholeList();
                sent = version;
            }
            out.write((Integer.toHexString(next.length() + 1) + "\r\n" + next + "\n\r\n").getBytes());
        }
    }

    /** Starts the head with settings for one shelf a block, as the page on deployment says, and waits until it is ready. */
    protected final void startHead() throws Exception {
        int discoveryPort = serve("discovery", this::discovery);
        headPort = freePort();
        Path config = temporary.resolve("config.json");
        Files.writeString(config, """
                {"name": "n0", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d", "seed": "%x",
                 "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
                 "known": %s,
                 "settings": {"balancers": 1, "discovery": "subscribe", "tick": 0.002,
                   "classes": [{"name": "record-read", "aim": 0.4, "hard-limit": 2.5, "effect": "repeatable"},
                               {"name": "entry-write", "aim": 0.25, "hard-limit": 1.5, "effect": "by_key",
                                "group": "cell", "repeat-window": 2.5}],
                   "service-levels": [{"name": "priority", "usual-rate": 500, "floor-rate": 400, "proportion": 1}],
                   "rules": {"answer-slack": 0.008, "ask-every": 10, "stop-sending-within": 0.25, "free-resends": 3,
                             "further-ratio": 0.1, "extra-window": 5, "fall": 2, "fall-multiple": 2.5,
                             "cold-share": 0.15, "warm-within": 15},
                   "limits": {"dial-timeout": 0.25, "idle-close": 15, "retry-after": true, "max-retry-after": 2,
                              "try-limit": 3, "streams-per-conn": 1},
                   "specifics": {"unit-mean": 2, "most-units": 8, "shards": 1, "young-limit": 50,
                                 "class-writes": [false, true]}}}
                """.formatted(headPort, discoveryPort, System.nanoTime(), wholeList()));
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().putAll(Map.of(
                "NODE_NAME", "n0",
                "NODE_LISTEN", "127.0.0.1:" + headPort,
                "NODE_DISCOVERY", "127.0.0.1:" + discoveryPort,
                "NODE_CONFIG", config.toString(),
                "TMPDIR", temporary.toString()));
        head = start("head", builder);
        for (int tries = 0; tries < 300; tries++) {
            try (Socket socket = connect()) {
                socket.getOutputStream().write("GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n".getBytes());
                Message answer = read(socket.getInputStream());
                if (answer != null && answer.startLine().contains(" 200")) {
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("the head is not ready after 30 s");
    }

    protected final Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), headPort), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }
}
