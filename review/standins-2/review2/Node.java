package review2;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Answer;
import garnetreel.codec.node.NodeMessage.Hello;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.codec.node.NodeMessage.Probe;
import garnetreel.codec.node.NodeMessage.ProbeReply;
import garnetreel.codec.node.NodeMessage.Request;
import garnetreel.codec.node.NodeMessage.Result;
import garnetreel.codec.node.NodeMessage.Welcome;
import garnetreel.codec.nodelist.NodeListCodec;
import garnetreel.codec.nodelist.NodeListMessage;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongFunction;

/**
 * A storage node as docs/node-protocol.md has it. Writes that were answered and neither synced nor flushed are lost in
 * a restart; then its life is another one. Work that has begun is done to its end, also if its connection ends; what
 * has not begun by its deadline never begins. Work takes no time, but for what {@link #hang} says.
 */
public final class Node implements AutoCloseable {
    private static final int PAGE = 4096;

    /** A write that was run, in the order of their ends. */
    public record RunWrite(long volume, long offset, byte[] data, long id, long tag) {}

    private final Record record;
    private final String name;
    private final int shard;
    private final int port;
    private final int listPort;
    private final Map<String, byte[]> durable = new HashMap<>();
    private final Map<String, byte[]> unflushed = new HashMap<>();
    private final List<RunWrite> writes = new ArrayList<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger inWork = new AtomicInteger();
    private final ScheduledExecutorService late = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "late");
        thread.setDaemon(true);
        return thread;
    });
    private volatile ToLongFunction<Request> hang = request -> 0;
    private volatile boolean quiet;
    private volatile long life = System.currentTimeMillis();
    private ServerSocket server;

    public Node(Record record, String name, int shard, int listPort) throws IOException {
        this.record = record;
        this.name = name;
        this.shard = shard;
        this.listPort = listPort;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        listen();
    }

    public int port() {
        return port;
    }

    /** How many milliseconds the work on a request takes, from its begin to its effect and answer. */
    public void hang(ToLongFunction<Request> millis) {
        hang = millis;
    }

    /** Leaves single requests out of the record. */
    public void quiet(boolean on) {
        quiet = on;
    }

    public synchronized List<RunWrite> writes() {
        return List.copyOf(writes);
    }

    private void listen() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
        ServerSocket accepting = server;
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = accepting.accept();
                } catch (IOException e) {
                    return;
                }
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        });
        daemon(() -> register(accepting));
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Registers with the list for as long as this life lasts. */
    private void register(ServerSocket ofLife) {
        while (!ofLife.isClosed()) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), listPort)) {
                sockets.add(socket);
                socket.getOutputStream()
                        .write(NodeListCodec.frame(new NodeListMessage.Register(new NodeListMessage.Entry(
                                        "127.0.0.1:" + port, "zone", shard, NodeListMessage.State.UP, 1, 0)))
                                .array());
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                // tried again
            }
            sleep(200);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Dies and comes back after a time: what was not flushed is lost, connections are reset. */
    public void restart(long downMillis) throws IOException {
        server.close();
        synchronized (this) {
            record.line("%s: dies, %d pages not flushed are lost", name, unflushed.size());
            unflushed.clear();
        }
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
        life++;
        sleep(downMillis);
        listen();
        record.line("%s: is back", name);
    }

    private void serve(Socket socket) {
        long lifeOfSocket = life;
        ByteQueue in = new ByteQueue();
        byte[] buffer = new byte[1 << 16];
        try {
            socket.setTcpNoDelay(true);
            InputStream stream = socket.getInputStream();
            int count;
            while ((count = stream.read(buffer)) >= 0) {
                in.add(ByteBuffer.wrap(buffer.clone(), 0, count));
                NodeMessage message;
                while ((message = NodeCodec.next(in)) != null) {
                    if (message instanceof Hello) {
                        send(socket, new Welcome(lifeOfSocket, micros()));
                    } else if (message instanceof Probe probe) {
                        send(socket, new ProbeReply(probe.id(), lifeOfSocket, load()));
                    } else if (message instanceof Request request) {
                        begin(socket, request, lifeOfSocket);
                    }
                }
            }
        } catch (Exception e) {
            // the connection has ended
        } finally {
            sockets.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed
            }
        }
    }

    private static long micros() {
        return System.nanoTime() / 1000;
    }

    private Map<String, Double> load() {
        return Map.of("outstanding", (double) inWork.get());
    }

    private static void send(Socket socket, NodeMessage message) throws IOException {
        ByteBuffer frame = NodeCodec.frame(message);
        synchronized (socket) {
            socket.getOutputStream().write(frame.array(), frame.arrayOffset(), frame.limit());
        }
    }

    private void begin(Socket socket, Request request, long lifeOfSocket) throws IOException {
        note("came", request, "");
        if (micros() >= request.deadline()) {
            note("past its deadline, dropped", request, "");
            return;
        }
        if (request.shard() != shard) {
            send(socket, answer(request, Result.UNKNOWN_SHARD, NodeMessage.noData(), lifeOfSocket));
            return;
        }
        long millis = hang.applyAsLong(request);
        if (millis == 0) {
            finish(socket, request, lifeOfSocket);
            return;
        }
        if (millis >= 1000 || !quiet) {
            record.line("%s: the work on %s takes %d ms", name, describe(request), millis);
        }
        inWork.incrementAndGet();
        late.schedule(
                () -> {
                    inWork.decrementAndGet();
                    try {
                        finish(socket, request, lifeOfSocket);
                    } catch (IOException e) {
                        record.line("%s: no connection for the answer to %s", name, describe(request));
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void finish(Socket socket, Request request, long lifeOfSocket) throws IOException {
        ByteBuffer data;
        synchronized (this) {
            if (lifeOfSocket != life) {
                return; // the work died with its life
            }
            data = execute(request);
        }
        note("ran", request, request.op() == Op.WRITE ? " " + Case.start(bytes(request)) : "");
        send(socket, answer(request, Result.OK, data, lifeOfSocket));
    }

    private void note(String what, Request request, String more) {
        if (!quiet) {
            record.line("%s: %s %s%s", name, what, describe(request), more);
        }
    }

    private static String describe(Request request) {
        return request.op() + " id " + request.id() + " attempt " + request.attempt() + " offset " + request.offset()
                + " length " + request.length() + (request.sync() ? " sync" : "");
    }

    private Answer answer(Request request, Result result, ByteBuffer data, long lifeOfSocket) {
        return new Answer(request.id(), request.attempt(), result, 0, 0, lifeOfSocket, load(), data);
    }

    private static byte[] bytes(Request request) {
        byte[] bytes = new byte[request.data().remaining()];
        request.data().duplicate().get(bytes);
        return bytes;
    }

    private ByteBuffer execute(Request request) {
        long volume = request.volume();
        switch (request.op()) {
            case READ -> {
                byte[] result = new byte[request.length()];
                each(request.offset(), request.length(), (page, in, at, length) -> {
                    byte[] stored = page(volume, page);
                    if (stored != null) {
                        System.arraycopy(stored, in, result, at, length);
                    }
                });
                return ByteBuffer.wrap(result);
            }
            case WRITE, ZERO, TRIM -> {
                byte[] bytes = request.op() == Op.WRITE ? bytes(request) : new byte[request.length()];
                each(request.offset(), request.length(), (page, in, at, length) -> {
                    byte[] old = page(volume, page);
                    byte[] changed = old == null ? new byte[PAGE] : old.clone();
                    System.arraycopy(bytes, at, changed, in, length);
                    if (request.sync()) {
                        unflushed.remove(key(volume, page));
                        durable.put(key(volume, page), changed);
                    } else {
                        unflushed.put(key(volume, page), changed);
                    }
                });
                if (request.op() == Op.WRITE) {
                    writes.add(new RunWrite(volume, request.offset(), bytes, request.id(), request.tag()));
                }
            }
            case FLUSH -> {
                durable.putAll(unflushed);
                unflushed.clear();
            }
            default -> {
                // nothing to be done
            }
        }
        return NodeMessage.noData();
    }

    private interface PagePart {
        void handle(long page, int inPage, int at, int length);
    }

    private static void each(long offset, int length, PagePart part) {
        int at = 0;
        while (at < length) {
            int inPage = (int) ((offset + at) % PAGE);
            int now = Math.min(PAGE - inPage, length - at);
            part.handle((offset + at) / PAGE, inPage, at, now);
            at += now;
        }
    }

    private static String key(long volume, long page) {
        return volume + "/" + page;
    }

    private byte[] page(long volume, long page) {
        byte[] bytes = unflushed.get(key(volume, page));
        return bytes != null ? bytes : durable.get(key(volume, page));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
