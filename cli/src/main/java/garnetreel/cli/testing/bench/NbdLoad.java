package garnetreel.cli.testing.bench;

import garnetreel.codec.nbd.Nbd;
import garnetreel.net.Addresses;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;

/** Closed-loop NBD load: a fixed number of connections and outstanding requests. Supports simple replies only. */
final class NbdLoad {
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    /**
     * Parameters of the load.
     *
     * @param depth outstanding requests per connection
     */
    record Case(boolean write, int size, int connections, int depth) {
        @Override
        public String toString() {
            return String.format("%s %dK, %d x %d", write ? "write" : "read", size >> 10, connections, depth);
        }
    }

    /** Results of a run; latencies in nanoseconds. */
    record Outcome(long requests, double seconds, Histogram latency, long errors) {
        double rate() {
            return requests / seconds;
        }
    }

    private NbdLoad() {}

    static Outcome run(String address, String export, long size, Case load, double warmUpSeconds, double seconds)
            throws IOException {
        ExecutorService threads = Executors.newFixedThreadPool(load.connections());
        try {
            long start = System.nanoTime() + (long) (warmUpSeconds * 1e9);
            long end = start + (long) (seconds * 1e9);
            List<Future<Outcome>> connections = new ArrayList<>();
            for (int i = 0; i < load.connections(); i++) {
                int seed = i;
                connections.add(threads.submit(() -> runConnection(address, export, size, load, start, end, seed)));
            }
            long requests = 0;
            long errors = 0;
            Histogram latency = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
            for (Future<Outcome> connection : connections) {
                Outcome outcome = connection.get();
                requests += outcome.requests();
                errors += outcome.errors();
                latency.add(outcome.latency());
            }
            return new Outcome(requests, seconds, latency, errors);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            threads.shutdownNow();
        }
    }

    private static Outcome runConnection(
            String address, String export, long size, Case load, long start, long end, int seed) throws IOException {
        Histogram latency = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        SplittableRandom random = new SplittableRandom(seed);
        long[] sentAt = new long[load.depth()];
        byte[] payload = new byte[load.size()];
        random.nextBytes(payload);
        ByteBuffer request = ByteBuffer.allocate(28 + (load.write() ? load.size() : 0));
        if (load.write()) {
            request.position(28).put(payload);
        }
        byte[] readData = new byte[load.size()];
        long requests = 0;
        long errors = 0;
        InetSocketAddress socketAddress = Addresses.parse(address);
        try (Socket socket = new Socket(socketAddress.getAddress(), socketAddress.getPort())) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 17));
            OutputStream out = socket.getOutputStream();
            byte[] name = export.getBytes(StandardCharsets.UTF_8);
            out.write(ByteBuffer.allocate(20 + name.length)
                    .putInt(3)
                    .putLong(Nbd.OPTION_MAGIC)
                    .putInt(Nbd.OPT_EXPORT_NAME)
                    .putInt(name.length)
                    .put(name)
                    .array());
            in.readFully(new byte[18 + 10]);
            for (int slot = 0; slot < load.depth(); slot++) {
                send(out, request, load, size, random, slot, sentAt);
            }
            int outstanding = load.depth();
            while (outstanding > 0) {
                in.readInt();
                int error = in.readInt();
                int slot = (int) in.readLong();
                if (!load.write() && error == 0) {
                    in.readFully(readData);
                }
                long now = System.nanoTime();
                errors += error != 0 ? 1 : 0;
                if (now >= start && now < end) {
                    requests++;
                    latency.recordValue(Math.min(MAX_LATENCY_NANOS, now - sentAt[slot]));
                }
                if (now < end) {
                    send(out, request, load, size, random, slot, sentAt);
                } else {
                    outstanding--;
                }
            }
            out.write(
                    request.clear()
                            .limit(28)
                            .putInt(Nbd.REQUEST_MAGIC)
                            .putShort((short) 0)
                            .putShort((short) Nbd.CMD_DISC)
                            .array(),
                    0,
                    28);
        }
        return new Outcome(requests, 0, latency, errors);
    }

    private static void send(
            OutputStream out,
            ByteBuffer request,
            Case load,
            long size,
            SplittableRandom random,
            int slot,
            long[] sentAt)
            throws IOException {
        long offset = random.nextLong(size / load.size()) * load.size();
        request.clear()
                .putInt(Nbd.REQUEST_MAGIC)
                .putShort((short) 0)
                .putShort((short) (load.write() ? Nbd.CMD_WRITE : Nbd.CMD_READ))
                .putLong(slot)
                .putLong(offset)
                .putInt(load.size());
        sentAt[slot] = System.nanoTime();
        out.write(request.array());
    }
}
