package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.HttpReader.Message;
import garnetreel.cli.testing.soak.RequestLedger.Attempt;
import garnetreel.cli.testing.soak.RequestLedger.Effect;
import garnetreel.cli.testing.soak.RequestLedger.Request;
import garnetreel.cli.testing.soak.Violation.Kind;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/** A fake storage server of the platform's protocol with injectable faults. It records all attempts in the ledger. */
final class StorageServer implements AutoCloseable {
    /** Faults in the handling of a request; each applies to a share of the requests. */
    enum ResponseFault {
        SLOW,
        HANG,
        ERROR,
        RESET_BEFORE_RUN,
        RESET_MID_RESPONSE,
        NO_LENGTH,
        NO_LENGTH_RESET,
        MALFORMED_RESPONSE,
        DUPLICATE_RESPONSE,
        OVERLOADED,
        LARGE_RESPONSE
    }

    /** The keyed requests seen by the servers of one shard, to detect repeats. */
    static final class RepeatFilter {
        private final Map<String, Long> firstArrivals = new ConcurrentHashMap<>();
        private final long window;

        RepeatFilter(long window) {
            this.window = window;
        }

        /** Whether the attempt is a repeat within the window, which must not run again. */
        boolean isRepeat(String id, Attempt attempt) {
            Long firstArrival = firstArrivals.putIfAbsent(id, attempt.lastByteAt());
            return firstArrival != null && attempt.firstByteAt() - firstArrival <= window;
        }
    }

    /** How long sends may follow a drain notification: stop-sending-within (250 ms) and the 50 ms of the protocol. */
    private static final long DRAIN_GRACE_NANOS = 300_000_000;

    final String name;
    final int shard;
    final FaultProxy proxy;
    final long startMillis = System.currentTimeMillis();
    private final ServerSocket listener;
    private final FakeDiscovery discovery;
    private final RequestLedger ledger;
    private final RepeatFilter repeatFilter;
    private final SplittableRandom random;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Map<ResponseFault, Double> faultProbabilities = new ConcurrentHashMap<>();
    private volatile boolean draining;
    private volatile long idleTimeoutMillis;

    StorageServer(
            String name,
            int shard,
            FakeDiscovery discovery,
            RequestLedger ledger,
            RepeatFilter repeatFilter,
            SplittableRandom random,
            long idleTimeoutMillis)
            throws IOException {
        this.name = name;
        this.shard = shard;
        this.discovery = discovery;
        this.ledger = ledger;
        this.repeatFilter = repeatFilter;
        this.random = random;
        this.idleTimeoutMillis = idleTimeoutMillis;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        proxy = new FaultProxy(listener.getLocalPort(), random.split());
        Threads.start(name, this::accept);
    }

    FakeDiscovery.Entry entry(String health) {
        return new FakeDiscovery.Entry(name, proxy.address(), shard, health, startMillis);
    }

    /** Sets whether new requests are refused. */
    void setDraining(boolean on) {
        draining = on;
    }

    void setFault(ResponseFault fault, double probability) {
        faultProbabilities.put(fault, probability);
    }

    void setIdleTimeout(long millis) {
        idleTimeoutMillis = millis;
    }

    void resetAll() {
        connections.forEach(Sockets::reset);
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Threads.start(name + "-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            FaultProxy.Arrivals arrivals = proxy.arrivals(socket.getPort());
            HttpReader reader = new HttpReader(new BufferedInputStream(socket.getInputStream()));
            socket.setSoTimeout((int) idleTimeoutMillis);
            boolean keepOpen = true;
            while (keepOpen) {
                Message request = reader.read();
                if (request == null) {
                    return;
                }
                keepOpen = handle(request, arrivals, socket);
            }
        } catch (IOException e) {
            // idle timeout or reset
        } finally {
            connections.remove(socket);
        }
    }

    private boolean handle(Message request, FaultProxy.Arrivals arrivals, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (request.startLine().startsWith("GET /stats") || request.startLine().startsWith("GET /health")) {
            write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            return true;
        }
        String id = request.header("X-Correlation-Id");
        Attempt attempt = new Attempt(
                name,
                arrivals.timeOf(request.firstByte()),
                arrivals.timeOf(request.end() - 1),
                Double.parseDouble(request.header("X-Time-Left")),
                arrivals.certainty());
        if (!ledger.recordAttempt(attempt, id, request.body())) {
            write(out, "HTTP/1.1 400 Unknown\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        checkDrain(ledger.find(id), attempt);
        ResponseFault fault = drawFault();
        if (draining || fault == ResponseFault.OVERLOADED) {
            write(out, "HTTP/1.1 503 Turned away\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (fault == ResponseFault.RESET_BEFORE_RUN) {
            Sockets.reset(socket);
            return false;
        }
        String body = "made by " + name + " for " + id
                + (fault == ResponseFault.LARGE_RESPONSE ? " " + "x".repeat(200_000) : "");
        execute(ledger.find(id), attempt, body);
        Threads.pause((long) (1 + draw() * (fault == ResponseFault.SLOW ? 1_500 : 12)));
        return respond(fault, body, socket, out);
    }

    private void checkDrain(Request request, Attempt attempt) {
        long notifiedAt = discovery.notifiedAt(request.gateway, name);
        if (attempt.hasExactTimes()
                && notifiedAt != Long.MAX_VALUE
                && attempt.firstByteAt() > notifiedAt + DRAIN_GRACE_NANOS + ledger.slack()) {
            ledger.report(Violation.timed(
                    Kind.SENT_TO_DRAINING,
                    request.gateway + " sent " + request.id + " to " + name + " "
                            + (attempt.firstByteAt() - notifiedAt) / 1_000_000
                            + " ms after it counted as notified that the server drains or is removed; "
                            + discovery.describeNotification(request.gateway, name) + ", first byte at "
                            + discovery.formatTime(attempt.firstByteAt())));
        }
    }

    private void execute(Request request, Attempt attempt, String body) {
        if (request.effect == Effect.BY_KEY && repeatFilter.isRepeat(request.id, attempt)) {
            synchronized (request) {
                request.responses.add(body); // a repeat gets a response as the first run does
            }
            return;
        }
        ledger.recordRun(request.id, attempt.lastByteAt(), body);
    }

    private boolean respond(ResponseFault fault, String body, Socket socket, OutputStream out) throws IOException {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        if (fault == null) {
            write(out, response);
            return true;
        }
        switch (fault) {
            case HANG -> Threads.pause(4_000);
            case ERROR -> write(out, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
            case RESET_MID_RESPONSE -> {
                write(out, response.substring(0, response.length() / 2));
                Sockets.reset(socket);
            }
            case NO_LENGTH, NO_LENGTH_RESET -> {
                write(
                        out,
                        "HTTP/1.1 200 OK\r\n\r\n"
                                + body.substring(0, fault == ResponseFault.NO_LENGTH ? body.length() : 5));
                if (fault == ResponseFault.NO_LENGTH) {
                    socket.shutdownOutput();
                } else {
                    Sockets.reset(socket);
                }
            }
            case MALFORMED_RESPONSE -> write(
                    out, draw() < 0.5 ? "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nnoise" : "\0\1\2noise\r\n\r\n");
            case DUPLICATE_RESPONSE -> {
                write(out, response);
                Threads.pause((long) (draw() * 2));
                write(out, response);
            }
            default -> write(out, response);
        }
        return fault == ResponseFault.ERROR
                || fault == ResponseFault.SLOW
                || fault == ResponseFault.LARGE_RESPONSE
                || fault == ResponseFault.DUPLICATE_RESPONSE;
    }

    private ResponseFault drawFault() {
        double remaining = draw();
        for (Map.Entry<ResponseFault, Double> entry : faultProbabilities.entrySet()) {
            remaining -= entry.getValue();
            if (remaining < 0) {
                return entry.getKey();
            }
        }
        return null;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Stops as a crashed server does: connections are reset and new ones refused. */
    @Override
    public void close() throws IOException {
        listener.close();
        resetAll();
        proxy.close();
    }
}
