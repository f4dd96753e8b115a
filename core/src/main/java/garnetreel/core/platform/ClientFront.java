package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpRequest;
import garnetreel.codec.http.HttpWriter;
import garnetreel.codec.http.RequestParser;
import garnetreel.core.io.NetAction;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Connections from clients. Each has one request open at most; bytes of the next one wait, up to a bound past which the
 * connection is not read. What can't be read is answered with an error and closed.
 */
final class ClientFront {
    /** A connection that has sent no whole request by then is closed; the platform wants it within 3 s. */
    private static final long SILENT_MOST = 2_000_000;
    /** An idle connection may be closed after so long; it is, once connections are half of their bound. */
    private static final long IDLE_LEAST = 2_000_000;
    /** An idle connection is closed after so long in any case. */
    private static final long IDLE_MOST = 60_000_000;
    /** A client that has not read its answer by then has gone. */
    private static final long UNREAD_MOST = 5_000_000;
    /** Bytes of requests to come that wait while one is open. */
    private static final int UNREAD_BYTES = 8 << 10;
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;

    /** Who is told of requests. */
    interface Listener {
        void request(long conn, HttpRequest request);

        /** The client of an open request has left. */
        void left(long conn);
    }

    private enum State { SILENT, IDLE, BEGUN, BUSY, WRITING }

    private static final State[] STATES = State.values();

    private static final class Client {
        final long conn;
        final RequestParser parser = new RequestParser();
        final ArrayDeque<ByteBuffer> unread = new ArrayDeque<>(1);
        State state = State.SILENT;
        long since;
        int unreadBytes;
        int toDrain;
        boolean paused;
        boolean last;

        Client(long conn) {
            this.conn = conn;
        }
    }

    private final Bounds bounds;
    private final Listener listener;
    private final Map<Long, Client> clients = new HashMap<>();
    /** Clients by state, each in the order in which they came to it. */
    private final Map<State, LinkedHashMap<Long, Client>> byState = new EnumMap<>(State.class);
    private boolean draining;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long turnedAway;
    /** Bytes of answers that clients have not read. */
    private int bytes;

    ClientFront(Bounds bounds, Listener listener) {
        this.bounds = bounds;
        this.listener = listener;
        for (State state : STATES) {
            byState.put(state, new LinkedHashMap<>());
        }
    }

    void at(long time, List<NetAction> to) {
        now = time;
        actions = to;
    }

    boolean owns(long conn) {
        return clients.containsKey(conn);
    }

    int connections() {
        return clients.size();
    }

    /** Clients that are owed an answer, or have not yet read it. */
    int open() {
        return in(State.BUSY).size() + in(State.WRITING).size();
    }

    /** Connections that were closed because of a bound. */
    long turnedAway() {
        return turnedAway;
    }

    private LinkedHashMap<Long, Client> in(State state) {
        return byState.get(state);
    }

    private void move(Client client, State to) {
        in(client.state).remove(client.conn);
        client.state = to;
        client.since = now;
        in(to).put(client.conn, client);
    }

    // ---------------------------------------------------------------- connections

    /** Takes a new connection. At the bound one that says nothing makes room, else an idle one, else it is closed itself. */
    void accepted(long conn) {
        if (clients.size() >= bounds.clients()) {
            turnedAway++;
            if (!closeFirst(State.SILENT) && !closeFirst(State.IDLE) && !closeFirst(State.BEGUN)) {
                actions.add(new NetAction.Close(conn, true));
                return;
            }
        }
        Client client = new Client(conn);
        clients.put(conn, client);
        move(client, State.SILENT);
    }

    private boolean closeFirst(State state) {
        if (in(state).isEmpty()) {
            return false;
        }
        close(in(state).values().iterator().next(), false);
        return true;
    }

    private void close(Client client, boolean abort) {
        actions.add(new NetAction.Close(client.conn, abort));
        forget(client);
    }

    private void forget(Client client) {
        bytes -= client.toDrain;
        client.toDrain = 0;
        clients.remove(client.conn);
        in(client.state).remove(client.conn);
    }

    void closed(long conn) {
        Client client = clients.get(conn);
        forget(client);
        if (client.state == State.BUSY) {
            listener.left(conn);
        }
    }

    void received(long conn, ByteBuffer data) {
        Client client = clients.get(conn);
        client.unread.add(data);
        client.unreadBytes += data.remaining();
        pump(client);
    }

    void drained(long conn, int drained) {
        Client client = clients.get(conn);
        client.toDrain -= drained;
        bytes -= drained;
        if (client.state == State.WRITING && client.toDrain <= 0) {
            move(client, State.IDLE);
            pump(client);
        }
    }

    /** Reads on while no request is open. */
    private void pump(Client client) {
        try {
            while (client.state != State.BUSY && client.state != State.WRITING && !client.unread.isEmpty()
                    && clients.containsKey(client.conn)) {
                ByteBuffer piece = client.unread.peekFirst();
                int before = piece.remaining();
                HttpRequest request = client.parser.next(piece);
                client.unreadBytes -= before - piece.remaining();
                if (!piece.hasRemaining()) {
                    client.unread.removeFirst();
                }
                if (request != null) {
                    move(client, State.BUSY);
                    client.last = draining || request.fields().holds("Connection", "close");
                    listener.request(client.conn, request);
                } else if (client.state == State.IDLE) {
                    move(client, State.BEGUN);
                }
            }
        } catch (ProtocolException e) {
            client.last = true;
            write(client, HttpWriter.response(BAD_REQUEST), e.getMessage().getBytes(StandardCharsets.UTF_8));
            return;
        }
        boolean pause = client.unreadBytes > UNREAD_BYTES;
        if (pause != client.paused && clients.containsKey(client.conn)) {
            client.paused = pause;
            actions.add(new NetAction.Reading(client.conn, !pause));
        }
    }

    // ---------------------------------------------------------------- answers

    /** Answers the open request of a connection; one that is gone is answered no more. */
    void answer(long conn, HttpWriter head, byte[] body) {
        Client client = clients.get(conn);
        if (client != null && client.state == State.BUSY) {
            write(client, head, body);
        }
    }

    private void write(Client client, HttpWriter head, byte[] body) {
        if (client.last || draining) {
            head.field("Connection", "close");
        }
        ByteBuffer bytes = head.body(body, true);
        client.toDrain = bytes.remaining();
        this.bytes += client.toDrain;
        actions.add(new NetAction.Write(client.conn, bytes));
        if (client.last || draining) {
            close(client, false); // after what is written has gone
        } else {
            move(client, State.WRITING);
        }
        while (this.bytes > bounds.bytes() && !in(State.WRITING).isEmpty()) {
            turnedAway++;
            close(in(State.WRITING).values().iterator().next(), true);
        }
    }

    // ---------------------------------------------------------------- time

    /** Ends connections on which no request is open; from now on each answer is its connection's last. */
    void drain() {
        draining = true;
        for (State state : List.of(State.SILENT, State.IDLE, State.BEGUN)) {
            while (closeFirst(state)) {
                continue;
            }
        }
    }

    private long idleMost() {
        return clients.size() > bounds.clients() / 2 ? IDLE_LEAST : IDLE_MOST;
    }

    private long most(State state) {
        return switch (state) {
            case SILENT, BEGUN -> SILENT_MOST;
            case IDLE -> idleMost();
            case WRITING -> UNREAD_MOST;
            case BUSY -> Long.MAX_VALUE / 2;
        };
    }

    long wakeAt() {
        long next = Long.MAX_VALUE;
        for (State state : STATES) {
            if (!in(state).isEmpty()) {
                next = Math.min(next, in(state).values().iterator().next().since + most(state));
            }
        }
        return next;
    }

    void expire() {
        for (State state : STATES) {
            while (!in(state).isEmpty()) {
                Client oldest = in(state).values().iterator().next();
                if (now - oldest.since < most(state)) {
                    break;
                }
                if (state == State.IDLE || state == State.WRITING) {
                    close(oldest, state == State.WRITING);
                } else {
                    oldest.last = true;
                    write(oldest, HttpWriter.response(REQUEST_TIMEOUT), new byte[0]);
                }
            }
        }
    }
}
