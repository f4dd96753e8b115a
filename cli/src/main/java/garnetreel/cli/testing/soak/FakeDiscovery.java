package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.HttpReader.Message;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * A fake discovery service of the platform's protocol with injectable faults. Each gateway gets its own address, and a
 * further one with each reconfiguration, so that it is known which gateway was notified of what and when.
 */
final class FakeDiscovery implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 2_000;
    private static final long RESPONSE_DELAY_MILLIS = 2_000;

    /** The list entry of one server. */
    record Entry(String host, String address, int shard, String health, long startMillis) {
        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"m\",\"block\":%d,"
                            + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                    host,
                    address,
                    shard,
                    health,
                    startMillis);
        }
    }

    /** How calls are handled. */
    enum Mode {
        UP,
        /** Answers 503 after 2 s. */
        DOWN,
        /** Resets the connection. */
        REFUSING,
        /** Answers about two thirds of the calls with 503, at once or after 2 s, and serves the others. */
        PARTLY_UNAVAILABLE,
        /** Serves calls after 1.5 s. */
        SLOW
    }

    private record Change(long version, Entry entry, long at) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    /** By gateway and host: when the notification that the server drains or is removed was written to the gateway. */
    private final Map<String, Map<String, Long>> notifiedTimes = new ConcurrentHashMap<>();

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final long startedAt;
    private long version = 1;
    private volatile Mode mode = Mode.UP;
    private volatile long reachableSince;
    /** Watches opened before this time get no further updates. */
    private volatile long silentBefore = Long.MIN_VALUE;

    private volatile boolean closed;

    FakeDiscovery() {
        reachableSince = System.nanoTime();
        startedAt = reachableSince;
    }

    /** Opens a listener for one gateway and returns its address. */
    synchronized String listen(String gateway) throws IOException {
        ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        listeners.add(server);
        Threads.start("registry-" + gateway, () -> {
            while (!closed) {
                try {
                    Socket socket = server.accept();
                    Threads.start("registry-call", () -> serve(gateway, socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return "127.0.0.1:" + server.getLocalPort();
    }

    // ---------------------------------------------------------------- server list

    synchronized void put(Entry entry) {
        version++;
        if (entry.health().equals("removed")) {
            entries.remove(entry.host());
        } else {
            entries.put(entry.host(), entry);
        }
        changes.add(new Change(version, entry, System.nanoTime()));
        notifyAll();
    }

    synchronized List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    synchronized String fullList() {
        return listJson(true, entries());
    }

    private synchronized String listJson(boolean full, List<Entry> listed) {
        return "{\"seq\":" + version + ",\"whole\":" + full + ",\"hosts\":["
                + listed.stream().map(Entry::json).collect(Collectors.joining(",\n  ")) + "]}";
    }

    /** Records that a new process of a gateway starts with the current list from its configuration. */
    void recordInitialList(String gateway) {
        Map<String, Long> times = new ConcurrentHashMap<>();
        notifiedTimes.put(gateway, times);
        synchronized (this) {
            changes.forEach(change -> applyChange(times, change, System.nanoTime()));
        }
    }

    private static void applyChange(Map<String, Long> times, Change change, long at) {
        if (change.entry().health().equals("up")) {
            times.remove(change.entry().host());
        } else {
            times.putIfAbsent(change.entry().host(), at);
        }
    }

    /**
     * When a gateway counts as notified that a server drains or is removed; {@link Long#MAX_VALUE} if the server is up.
     * That is when the notification was written to it, or 6 s after discovery had the change and was reachable,
     * whichever is earlier; while discovery is unreachable, only the former.
     */
    long notifiedAt(String gateway, String host) {
        long writtenAt = notifiedTimes.getOrDefault(gateway, Map.of()).getOrDefault(host, Long.MAX_VALUE);
        synchronized (this) {
            long changedAt = unavailableSince(host);
            if (changedAt == Long.MAX_VALUE || mode == Mode.DOWN || mode == Mode.REFUSING) {
                return changedAt == Long.MAX_VALUE ? changedAt : writtenAt;
            }
            return Math.min(writtenAt, Math.max(changedAt, reachableSince) + 6_000_000_000L);
        }
    }

    /** When a server that drains or is removed last ceased to be up; {@link Long#MAX_VALUE} if it is up. */
    private long unavailableSince(String host) {
        long since = Long.MAX_VALUE;
        for (Change change : changes) {
            if (change.entry().host().equals(host)) {
                boolean up = change.entry().health().equals("up");
                since = up ? Long.MAX_VALUE : Math.min(since, change.at());
            }
        }
        return since;
    }

    // ---------------------------------------------------------------- faults

    void setMode(Mode next) throws IOException {
        boolean reachable = mode != Mode.DOWN && mode != Mode.REFUSING;
        mode = next;
        if (next == Mode.DOWN || next == Mode.REFUSING) {
            closeAll();
        } else if (!reachable) {
            reachableSince = System.nanoTime();
        }
    }

    /** Stops updates and heartbeats on all open watches; each stays open until 60 s after it was opened. */
    void silenceWatches() {
        silentBefore = System.nanoTime();
    }

    void closeAll() throws IOException {
        for (Socket socket : connections) {
            Sockets.reset(socket);
        }
    }

    // ---------------------------------------------------------------- calls

    private void serve(String gateway, Socket socket) {
        connections.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            Message request = new HttpReader(new BufferedInputStream(socket.getInputStream())).read();
            if (request == null) {
                return;
            }
            Mode currentMode = mode;
            OutputStream out = socket.getOutputStream();
            if (currentMode == Mode.REFUSING) {
                Sockets.reset(socket);
            } else if (currentMode == Mode.DOWN
                    || currentMode == Mode.PARTLY_UNAVAILABLE && Math.floorMod(socket.getPort(), 3) > 0) {
                Threads.pause(
                        currentMode == Mode.PARTLY_UNAVAILABLE && socket.getPort() % 3 == 1
                                ? 1
                                : RESPONSE_DELAY_MILLIS);
                out.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } else {
                Threads.pause(currentMode == Mode.SLOW ? RESPONSE_DELAY_MILLIS * 3 / 4 : 0);
                respond(gateway, request.startLine().split(" ")[1], out);
            }
        } catch (IOException e) {
            // the connection was closed by the gateway or reset by a fault
        } finally {
            connections.remove(socket);
        }
    }

    private void respond(String gateway, String target, OutputStream out) throws IOException {
        boolean watch = target.contains("watch=1");
        int fromIndex = target.indexOf("from=");
        long openedAt = System.nanoTime();
        long sentVersion;
        String first;
        synchronized (this) {
            sentVersion = version;
            first = fromIndex < 0 ? fullList() : changesSince(Long.parseLong(target.substring(fromIndex + 5)));
        }
        notifiedTimes.computeIfAbsent(gateway, key -> new ConcurrentHashMap<>());
        if (!watch) {
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + first.length() + "\r\n\r\n" + first)
                    .getBytes(StandardCharsets.US_ASCII));
            recordDelivery(gateway, 0, sentVersion);
            return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        chunk(out, first + "\n");
        recordDelivery(gateway, 0, sentVersion);
        while (!closed) {
            String next;
            long previousVersion = sentVersion;
            synchronized (this) {
                if (version == sentVersion) {
                    Threads.await(this, HEARTBEAT_MILLIS);
                }
                if (openedAt < silentBefore) {
                    next = null;
                } else {
                    next = version == sentVersion ? "" : changesSince(sentVersion);
                    sentVersion = version;
                }
            }
            if (next == null) {
                Threads.pause(HEARTBEAT_MILLIS);
                if (System.nanoTime() - openedAt > 60_000_000_000L) {
                    return;
                }
            } else {
                chunk(out, next + "\n");
                recordDelivery(gateway, previousVersion, sentVersion);
            }
        }
    }

    /** Records that the changes in a range of versions were completely written to a gateway. */
    private synchronized void recordDelivery(String gateway, long after, long upTo) {
        long now = System.nanoTime();
        changes.stream()
                .filter(change -> change.version() > after && change.version() <= upTo)
                .forEach(change -> applyChange(notifiedTimes.get(gateway), change, now));
    }

    private synchronized String changesSince(long knownVersion) {
        return listJson(
                false,
                changes.stream()
                        .filter(change -> change.version() > knownVersion)
                        .map(Change::entry)
                        .toList());
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Formats a time as seconds since the start of this service. */
    String formatTime(long nanos) {
        return nanos == Long.MAX_VALUE ? "never" : String.format(Locale.ROOT, "%.3f s", (nanos - startedAt) / 1e9);
    }

    /** Describes when a server became unavailable and when a gateway was notified. */
    String describeNotification(String gateway, String host) {
        long writtenAt = notifiedTimes.getOrDefault(gateway, Map.of()).getOrDefault(host, Long.MAX_VALUE);
        synchronized (this) {
            return "changed at " + formatTime(unavailableSince(host)) + ", written to it at " + formatTime(writtenAt)
                    + ", discovery up since " + formatTime(reachableSince);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        synchronized (this) {
            for (ServerSocket listener : listeners) {
                listener.close();
            }
            notifyAll();
        }
        closeAll();
    }
}
