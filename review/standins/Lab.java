import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for the platform: clients, shelfs, discovery, and the process of one head. All addresses are loopback
 * addresses with free ports. Nothing here is shared with the project's own code.
 */
final class Lab {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long WATCHDOG_MILLIS = 112_000;

    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Lab() {}

    /** Milliseconds since the start of the script. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
        daemon("watchdog", () -> {
            sleep(WATCHDOG_MILLIS);
            say("could not run: not finished in time");
            System.exit(COULD_NOT_RUN);
        });
    }

    /** Writes a line to record.txt. */
    static void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%10.1f ", now()) + String.format(Locale.ROOT, format, values);
        synchronized (Lab.class) {
            record.println(line);
        }
    }

    /** Writes a line to record.txt and to standard output. */
    static void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static void sleep(double millis) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (millis * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String hex(long value) {
        return String.format("%016x", value);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ------------------------------------------------------------------ messages

    /** One HTTP/1.1 message: its start line, its fields by lower-case name, its body. */
    static final class Message {
        String start;
        final Map<String, String> fields = new TreeMap<>();
        byte[] body = {};

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(start.substring(9, 12));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a message with a Content-Length; null at the end of the stream before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in, true);
        if (line == null) {
            return null;
        }
        message.start = line;
        for (line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        String length = message.field("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException("end within a body");
            }
        }
        return message;
    }

    private static String readLine(InputStream in, boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (first && line.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a head");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    static byte[] response(int status, String fields, byte[] body) {
        String head = "HTTP/1.1 " + status + " S\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    /** A request of a client as the protocol page gives it. */
    static byte[] request(String method, String path, String id, double timeLeft, long volume, int shard, byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\n"
                + "Host: service.internal\r\n"
                + "X-Correlation-Id: " + id + "\r\n"
                + "Tier: priority\r\n"
                + "Piece: " + hex(ThreadLocalRandom.current().nextLong() >>> 1) + "\r\n"
                + String.format(Locale.ROOT, "X-Time-Left: %.3f\r\n", timeLeft)
                + (method.equals("PUT") ? "Content-Length: " + body.length + "\r\n" : "")
                + "IO-Info: volume=" + hex(volume) + ",units=1,shard=" + shard + ",hosts=1\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        if (method.equals("PUT")) {
            out.writeBytes(body);
        }
        return out.toByteArray();
    }

    static String newId() {
        return hex(ThreadLocalRandom.current().nextLong());
    }

    // ------------------------------------------------------------------ clients

    /** One connection of a client. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Connection(int port) throws IOException {
            this(port, "127.0.0.1");
        }

        /** @param from the loopback address of the client; several clients with many connections need several */
        Connection(int port, String from) throws IOException {
            socket.setTcpNoDelay(true);
            socket.bind(new InetSocketAddress(from, 0));
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** The next answer; null if the head closed in order, an IOException if it reset or took too long. */
        Message answer(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            return read(in);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // gone already
            }
        }
    }

    // ------------------------------------------------------------------ shelfs

    /** What a shelf does with a request that has arrived whole; runs on the connection's thread. */
    interface Work {
        void run(ShelfConnection connection, Message request) throws Exception;
    }

    static final class ShelfConnection {
        final Socket socket;
        final BufferedInputStream in;
        final OutputStream out;
        final int number;

        ShelfConnection(Socket socket, int number) throws IOException {
            this.socket = socket;
            this.number = number;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        synchronized void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** Whether bytes of a further request wait on this connection. */
        boolean somethingWaits() throws IOException {
            return in.available() > 0;
        }
    }

    /** A shelf that holds one shard. */
    static final class Shelf {
        final String name;
        final int block;
        final int port;
        final AtomicInteger connections = new AtomicInteger();
        volatile String health = "up";
        private final ServerSocket server;

        Shelf(String name, int block, Work work) throws IOException {
            this.name = name;
            this.block = block;
            server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            daemon(name, () -> {
                while (true) {
                    try {
                        ShelfConnection connection =
                                new ShelfConnection(server.accept(), connections.incrementAndGet());
                        daemon(name + "-" + connection.number, () -> serve(connection, work));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(ShelfConnection connection, Work work) {
            try (Socket socket = connection.socket) {
                for (Message request = read(connection.in); request != null; request = read(connection.in)) {
                    String path = request.start.split(" ")[1];
                    if (path.equals("/stats") || path.equals("/health/live")) {
                        connection.send(response(200, "", "{\"latency_ms\":20}".getBytes(StandardCharsets.US_ASCII)));
                    } else if (!request.field("IO-Info").contains("shard=" + block + ",")
                            && !request.field("IO-Info").contains("shard=-1,")) {
                        connection.send(response(503, "X-Unprocessed: 1\r\n", "not here".getBytes()));
                    } else {
                        work.run(connection, request);
                    }
                }
            } catch (Exception e) {
                // the head has closed or reset its connection
            }
        }

        String entry() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port
                    + "\",\"site\":\"teku-dc\",\"class\":\"node-std\",\"block\":" + block + ",\"health\":\"" + health
                    + "\",\"share\":1.0,\"born_ms\":0}";
        }
    }

    // ------------------------------------------------------------------ discovery

    /** Discovery: the whole list, and watches that are kept alive by an empty line every 2 s. */
    static final class Discovery {
        final int port;
        final List<Shelf> shelfs;
        private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
        private final ServerSocket server;
        private int version = 41;

        Discovery(List<Shelf> shelfs) throws IOException {
            this.shelfs = shelfs;
            server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            daemon("discovery", () -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        daemon("discovery-call", () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            daemon("discovery-keep-alive", () -> {
                while (true) {
                    sleep(2000);
                    push("\n");
                }
            });
        }

        synchronized String wholeList() {
            StringBuilder entries = new StringBuilder();
            for (Shelf shelf : shelfs) {
                entries.append(entries.length() == 0 ? "" : ",").append(shelf.entry());
            }
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + entries + "]}";
        }

        /** Tells all watches of a change. */
        synchronized void changed(Shelf shelf) {
            version++;
            push("{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + shelf.entry() + "]}\n");
        }

        private void push(String text) {
            for (OutputStream watch : watches) {
                try {
                    watch.write(chunk(text));
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        private static byte[] chunk(String text) {
            return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII);
        }

        private void serve(Socket socket) {
            try {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message call = read(in); call != null; call = read(in)) {
                    if (call.start.contains("watch=1")) {
                        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                        synchronized (this) {
                            out.write(chunk(wholeList() + "\n"));
                            watches.add(out);
                        }
                        note("discovery: a watch has begun");
                    } else {
                        out.write(response(200, "", wholeList().getBytes(StandardCharsets.US_ASCII)));
                    }
                }
                socket.close();
            } catch (IOException e) {
                // the head has gone
            }
        }
    }

    // ------------------------------------------------------------------ the head

    /** The process of one head, started by the line {@code run} of deploy/balancer.toml. */
    static final class Head implements AutoCloseable {
        final int port;
        final Process process;
        final Path log;
        final Path folder;

        Head(Path root, Discovery discovery, String settings, int memoryMb, int sockets) throws IOException {
            folder = Files.createTempDirectory("review-head");
            port = freePort();
            log = folder.resolve("head.log");
            Path config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                            + discovery.port + "\",\"seed\":\"" + hex(System.nanoTime())
                            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                            + "},\"known\":" + discovery.wholeList() + ",\"settings\":" + settings + "}");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root));
            builder.directory(root.toFile());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            Path temporary = Files.createDirectory(folder.resolve("tmp"));
            builder.environment().put("TMPDIR", temporary.toString());
            builder.environment().put("NODE_NAME", "n0");
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discovery.port);
            builder.environment().put("NODE_CONFIG", config.toString());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            note("head: process %d, port %d, memory_mb %d, sockets %d", process.pid(), port, memoryMb, sockets);
        }

        private static String runLine(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(7, line.lastIndexOf('"'));
                }
            }
            throw new IOException("no line run in deploy/balancer.toml");
        }

        /** Waits until GET /health/ready is answered with 200; false if that takes over 30 s. */
        boolean awaitReady() {
            double end = now() + 30_000;
            while (now() < end && process.isAlive()) {
                try (Connection connection = new Connection(port)) {
                    connection.send("GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n".getBytes());
                    Message answer = connection.answer(1000);
                    if (answer != null && answer.status() == 200) {
                        note("head: ready");
                        return true;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(50);
            }
            return false;
        }

        void signal(String name) throws IOException {
            note("head: SIG%s", name);
            try {
                new ProcessBuilder("/bin/kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Resident memory in MiB; 0 if unknown. */
        int residentMb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        return Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024;
                    }
                }
            } catch (IOException e) {
                // ended
            }
            return 0;
        }

        /** Kills the process if it still runs, and copies the end of its log into record.txt. */
        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            List<String> lines = new ArrayList<>(Files.readAllLines(log, StandardCharsets.ISO_8859_1));
            int from = Math.max(0, lines.size() - 60);
            note("head: the last %d of %d lines of its log:", lines.size() - from, lines.size());
            for (String line : lines.subList(from, lines.size())) {
                note("  | %s", line);
            }
            try (var files = Files.walk(folder)) {
                files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
            }
        }
    }

    /** Settings as in the example of the wire page, with the effect of the class record-write to choose. */
    static String settings(String writeEffect, double readLimit, double writeLimit, int shards) {
        return String.format(
                Locale.ROOT,
                """
                {"areas":["teku-dc"],"balancers":1,
                 "classes":[
                  {"aim":0.4,"effect":"repeatable","group":"all","hard-limit":%.3f,"importance":3.0,"late-share":0.15,
                   "name":"record-read","repeat-window":5.0,"streaming":false},
                  {"aim":0.4,"effect":"%s","group":"all","hard-limit":%.3f,"importance":2.0,"late-share":0.1,
                   "name":"record-write","repeat-window":5.0,"streaming":false}],
                 "clients":{"marks-retry":false},"discovery":"subscribe",
                 "feedback":{"fields":["recent_ms"],"how":"probe"},
                 "goal":{"whole":0.6,"worst-class":0.1,"worst-tenant":0.1,"worst-window":0.2},
                 "kind-of-service":"stores","kinds":["node-std","node-slow"],
                 "limits":{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":350742,"dial-timeout":0.25,
                  "idle-close":15.0,"max-retry-after":2.0,"most-held":23382,"peers":false,"probes":true,
                  "retry-after":true,"second-copies":false,"streams-per-conn":1,"try-limit":3},
                 "me":0,
                 "prices":{"connection":0.0,"cross-zone":0.0,"discovery":0.003,"handshake":0.0,"late-fail":0.0,
                  "moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.08},
                 "rules":{"answer-slack":0.058,"ask-every":10.0,"cold-share":0.15,"extra-window":5.0,"fall":2.0,
                  "fall-multiple":2.5,"free-resends":3.0,"further-ratio":0.1,"stop-sending-within":0.25,
                  "warm-within":15.0},
                 "service-levels":[
                  {"floor-rate":100.0,"limit-burst":0.0,"name":"priority","never-over":0.0,"proportion":1.0,
                   "slack":0.0,"usual-rate":100.0,"worth-factor":1.8}],
                 "specifics":{"class-writes":[false,true],"idle-worth":0.1,"metering":0.0,"most-units":8,"shards":%d,
                  "share-worth":0.4,"tells-elsewhere":true,"unit-mean":2.2,"young-limit":19.0},
                 "tick":0.002,"tier":0,"tiers":["record-store"],"weights":"nominal","zone":"teku-dc"}""",
                readLimit,
                writeEffect,
                writeLimit,
                shards);
    }
}
