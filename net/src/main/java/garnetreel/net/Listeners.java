package garnetreel.net;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** The listeners of one event loop: binds them, accepts their connections, and stops them. Used on the I/O thread. */
final class Listeners {
    /**
     * How long a stopped listener stays open. XNIO accepts on a separate thread, and connections in the accept queue
     * are reset when the listener is closed, though a client may already have sent a request.
     */
    private static final long STOP_DELAY_MILLIS = 5;
    /** Interval at which XNIO's backoffs after failed accepts are ended; one lasts no longer than this. */
    private static final long BACKOFF_CHECK_MILLIS = 20;
    /**
     * Retries of binding an address, 8 s in all. Without them a restart fails while the previous process, or a
     * connection from its port, is not completely gone.
     */
    private static final int MAX_BIND_RETRIES = 80;

    private static final long BIND_RETRY_MILLIS = 100;

    private final EventLoop loop;
    private final Logger log;
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final EventQueue events;
    private final ConnectionTable connections;
    private final Map<String, AcceptingChannel<StreamConnection>> listeners = new ConcurrentHashMap<>();
    /** Names of listeners whose address is not bound yet. */
    private final Set<String> binding = new LinkedHashSet<>();
    /** Listeners that were stopped and are open for {@link #STOP_DELAY_MILLIS} more. */
    private final Set<AcceptingChannel<StreamConnection>> stopping = ConcurrentHashMap.newKeySet();

    private final Map<String, CompletableFuture<String>> boundAddresses = new ConcurrentHashMap<>();
    private final AtomicLong accepted = new AtomicLong();

    Listeners(EventLoop loop, Logger log, XnioWorker worker, EventQueue events, ConnectionTable connections) {
        this.loop = loop;
        this.log = log;
        this.worker = worker;
        this.ioThread = worker.getIoThread(0);
        this.events = events;
        this.connections = connections;
    }

    /** Completes with the address of a listener once it is bound; on any thread. */
    CompletableFuture<String> boundAddress(String listener) {
        return boundAddresses.computeIfAbsent(listener, any -> new CompletableFuture<>());
    }

    /** Number of connections accepted since the start; on any thread. */
    long acceptedCount() {
        return accepted.get();
    }

    /** Whether all stopped listeners are closed. */
    boolean allStopsComplete() {
        return stopping.isEmpty();
    }

    // ---------------------------------------------------------------- binding

    void listen(NetAction.Listen listen) {
        binding.add(listen.listener());
        bind(listen, MAX_BIND_RETRIES);
    }

    private void bind(NetAction.Listen listen, int retriesLeft) {
        CompletableFuture<String> address = boundAddress(listen.listener());
        try {
            AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(
                    Addresses.parse(listen.address()),
                    (ChannelListener<AcceptingChannel<StreamConnection>>)
                            channel -> loop.runChannelListener(() -> accept(listen.listener(), channel)),
                    optionsWithLimit(listen.maxConnections()));
            listeners.put(listen.listener(), server);
            binding.remove(listen.listener());
            server.resumeAccepts();
            keepAccepting(listen.listener(), server, AcceptBackoffWorkaround.of(server));
            String text = Addresses.format(server.getLocalAddress(InetSocketAddress.class));
            events.add(new NetEvent.Listening(listen.listener(), text));
            address.complete(text);
        } catch (BindException e) {
            if (retriesLeft == 0) {
                reportFailure(listen, address, e);
                return;
            }
            log.info("can't listen on {}, retrying: {}", listen.address(), e.getMessage());
            ioThread.executeAfter(() -> retryBind(listen, retriesLeft - 1), BIND_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } catch (IOException | IllegalArgumentException e) {
            reportFailure(listen, address, e);
        }
    }

    private void retryBind(NetAction.Listen listen, int retriesLeft) {
        if (!loop.isClosed() && binding.contains(listen.listener())) {
            bind(listen, retriesLeft);
        }
    }

    /** Socket options with a limit at which XNIO stops accepting until a connection is closed; 0 for no limit. */
    private static OptionMap optionsWithLimit(int maxConnections) {
        return maxConnections == 0
                ? IoWorkers.SOCKET_OPTIONS
                : OptionMap.builder()
                        .addAll(IoWorkers.SOCKET_OPTIONS)
                        .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                        .set(Options.CONNECTION_LOW_WATER, maxConnections)
                        .getMap();
    }

    private void reportFailure(NetAction.Listen listen, CompletableFuture<String> address, Exception cause) {
        events.add(new NetEvent.ListenFailed(listen.listener(), cause.getMessage()));
        address.completeExceptionally(
                new IOException("can't listen on " + listen.address() + ": " + cause.getMessage(), cause));
    }

    /** Completes all pending address futures exceptionally, as no further listener will be bound. */
    void failPendingAddresses(Throwable cause) {
        boundAddresses.values().forEach(address -> address.completeExceptionally(cause));
    }

    // ---------------------------------------------------------------- accepting

    private void keepAccepting(
            String listener, AcceptingChannel<StreamConnection> server, AcceptBackoffWorkaround workaround) {
        ioThread.executeAfter(
                () -> {
                    if (!loop.isClosed() && listeners.get(listener) == server) {
                        workaround.endBackoffs();
                        keepAccepting(listener, server, workaround);
                    }
                },
                BACKOFF_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void accept(String listener, AcceptingChannel<StreamConnection> server) {
        try {
            StreamConnection stream = acceptNext(server);
            while (stream != null) {
                SocketConnection connection = connections.add(accepted.incrementAndGet(), stream);
                events.add(new NetEvent.Accepted(connection.id, listener, formatPeer(stream.getPeerAddress())));
                connection.start();
                stream = acceptNext(server);
            }
        } catch (IOException e) {
            log.warn("accepting a connection on listener {} failed: {}", listener, e.getMessage());
        }
    }

    /** Accepts the next connection; null if there is none, or if none may be accepted now. */
    private StreamConnection acceptNext(AcceptingChannel<StreamConnection> server) throws IOException {
        return loop.isClosed() || events.isFull() ? null : server.accept();
    }

    private static String formatPeer(SocketAddress peer) {
        return peer instanceof InetSocketAddress inet ? Addresses.format(inet) : String.valueOf(peer);
    }

    // ---------------------------------------------------------------- stopping

    /** Stops a listener after the connections in its accept queue are accepted. */
    void stop(String listener) {
        binding.remove(listener);
        AcceptingChannel<StreamConnection> server = listeners.remove(listener);
        if (server != null) {
            stopping.add(server);
            ioThread.executeAfter(() -> finishStop(listener, server), STOP_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void finishStop(String listener, AcceptingChannel<StreamConnection> server) {
        accept(listener, server);
        IoUtils.safeClose(server);
        stopping.remove(server);
        loop.runTurns(); // the state machine handles the last accepted connections before its stop completes
        loop.completeStopIfDrained();
    }

    /** Closes all listeners immediately; on any thread, after the loop is closed. */
    void closeAll() {
        listeners.values().forEach(IoUtils::safeClose);
        stopping.forEach(IoUtils::safeClose);
    }

    @Override
    public String toString() {
        return new HashMap<>(listeners).keySet().toString();
    }
}
