package garnetreel.cli.testing.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy between gateways and one server that delays, splits or drops traffic and resets connections. It records
 * when each byte arrived from a gateway, so that the injected network faults do not distort the checks of send times.
 */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int BACKLOG = 16;
    /** Number of connections that fill the listener's queue; the kernel retries further ones after 1 s. */
    private static final int FILLERS = BACKLOG + 3;

    private static final int FILLER_CONNECT_TIMEOUT_MILLIS = 20;
    /**
     * How long after the queue was full the kernel still retries handshakes and retransmits first bytes, approximately.
     */
    private static final long HANDSHAKE_RETRY_NANOS = 10_000_000_000L;
    /** How reliably it is known when bytes left the gateway, worst first. */
    enum Certainty {
        /** The bytes arrived before the connection was accepted, possibly long before. */
        UNKNOWN,
        /**
         * The listener's queue was full recently: the connection may have been established on the gateway's side only,
         * and its first bytes lost and retransmitted.
         */
        DOUBTFUL,
        KNOWN
    }

    /** Arrival times of the bytes of one connection from the gateway, by stream offset. */
    static final class Arrivals {
        private final TreeMap<Long, Long> times = new TreeMap<>();
        private long offset;
        private Certainty certainty = Certainty.KNOWN;

        private synchronized void setCertainty(Certainty level) {
            certainty = level;
        }

        synchronized Certainty certainty() {
            return certainty;
        }

        private synchronized void recordArrival(int bytes) {
            times.put(offset, System.nanoTime());
            offset += bytes;
            if (times.size() > 4_096) {
                times.pollFirstEntry();
            }
        }

        /** The arrival time of the byte at an offset; the current time if it is not recorded. */
        synchronized long timeOf(long byteOffset) {
            Map.Entry<Long, Long> arrival = times.floorEntry(byteOffset);
            return arrival == null ? System.nanoTime() : arrival.getValue();
        }
    }

    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Set<Integer> fillers = ConcurrentHashMap.newKeySet();
    private final Map<Integer, Arrivals> arrivals = new ConcurrentHashMap<>();
    private final SplittableRandom random;
    private volatile int target;
    private volatile long partitionedUntil = System.nanoTime();
    private volatile long acceptAfter = System.nanoTime() - HANDSHAKE_RETRY_NANOS;
    private volatile double resetProbability;
    private volatile boolean splitWrites;

    /** @param target port of the server; 0 while it does not run */
    FaultProxy(int target, SplittableRandom random) throws IOException {
        this.target = target;
        this.random = random;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Threads.start("proxy", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Arrivals on the connection that the server sees as coming from this port. */
    Arrivals arrivals(int port) {
        return arrivals.computeIfAbsent(port, key -> new Arrivals());
    }

    void setTarget(int port) {
        target = port;
    }

    /** Forwards nothing for a period; connections with traffic in the period are reset at its end. */
    void partition(long millis) {
        partitionedUntil = System.nanoTime() + millis * 1_000_000;
    }

    /** Delays new connections by keeping the listener's queue full for a period. */
    void delayConnections(long millis) {
        acceptAfter = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; i < FILLERS; i++) {
            Socket filler = new Socket();
            try {
                filler.connect(listener.getLocalSocketAddress(), FILLER_CONNECT_TIMEOUT_MILLIS);
                fillers.add(filler.getLocalPort());
                connections.add(filler);
            } catch (IOException e) {
                Sockets.close(filler); // the queue is full
            }
        }
    }

    /** Sets the probability of a reset per read, and whether data is forwarded in writes of a few bytes. */
    void degrade(double newResetProbability, boolean split) {
        resetProbability = newResetProbability;
        splitWrites = split;
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
                pauseUntil(acceptAfter);
                Socket gateway = listener.accept();
                if (fillers.remove(gateway.getPort())) {
                    Sockets.close(gateway);
                    continue;
                }
                Certainty certainty = gateway.getInputStream().available() > 0
                        ? Certainty.UNKNOWN
                        : System.nanoTime() - acceptAfter < HANDSHAKE_RETRY_NANOS
                                ? Certainty.DOUBTFUL
                                : Certainty.KNOWN;
                Threads.start("proxy-connection", () -> connect(gateway, certainty));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void pauseUntil(long nanos) {
        Threads.pause(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
    }

    private void connect(Socket gateway, Certainty certainty) {
        connections.add(gateway);
        try {
            Socket server = new Socket(InetAddress.getLoopbackAddress(), target);
            connections.add(server);
            gateway.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            Arrivals requestArrivals = arrivals(server.getLocalPort());
            requestArrivals.setCertainty(certainty);
            Threads.start("proxy-answers", () -> copy(server, gateway, null));
            copy(gateway, server, requestArrivals);
            arrivals.remove(server.getLocalPort());
        } catch (IOException e) {
            Sockets.reset(gateway);
        } finally {
            connections.remove(gateway);
        }
    }

    private void copy(Socket from, Socket to, Arrivals requestArrivals) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int got = in.read(buffer); got >= 0; got = in.read(buffer)) {
                if (requestArrivals != null) {
                    requestArrivals.recordArrival(got);
                }
                if (System.nanoTime() < partitionedUntil) {
                    pauseUntil(partitionedUntil);
                    throw new IOException("network partitioned by the soak");
                }
                if (draw() < resetProbability) {
                    throw new IOException("connection reset by the soak");
                }
                forward(buffer, got, out);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            Sockets.reset(from);
            Sockets.reset(to);
        } finally {
            connections.remove(from);
        }
    }

    private void forward(byte[] buffer, int length, OutputStream out) throws IOException {
        if (!splitWrites) {
            out.write(buffer, 0, length);
            return;
        }
        for (int position = 0; position < length; ) {
            int chunkLength = Math.min(length - position, 1 + (int) (draw() * 40));
            out.write(buffer, position, chunkLength);
            position += chunkLength;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetAll();
    }
}
