package garnetreel.core.front;

import garnetreel.core.HeadSettings;
import garnetreel.core.Volume;
import garnetreel.core.desk.Backend;
import garnetreel.core.io.NetAction;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** All NBD connections of a head: the table of them, the bounds they share, and the way out. */
public final class NbdFront {
    /** Connections past the table that are told so in words; the ones beyond are closed unread. */
    private static final int TURNED_AWAY_MOST = 16;

    final HeadSettings settings;
    final Backend backend;
    final Map<String, Volume> exports = new LinkedHashMap<>();
    final Room room;
    private final Map<Long, NbdSession> sessions = new TreeMap<>();
    /** Sessions in their handshake, in the order they came, which is the order of their deadlines. */
    private final Set<NbdSession> greeting = new LinkedHashSet<>();
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private int turnedAway;
    private boolean draining;

    public NbdFront(HeadSettings settings, Backend backend) {
        this.settings = settings;
        this.backend = backend;
        this.room = new Room(settings.bounds().headBytes());
        settings.volumes().forEach(v -> exports.put(v.name(), v));
    }

    public void at(long time, List<NetAction> out) {
        now = time;
        actions = out;
    }

    void act(NetAction action) {
        actions.add(action);
    }

    /** The export of a name; the empty name is the first export. Null when there is none. */
    Volume export(String name) {
        return name.isEmpty() && !exports.isEmpty() ? exports.values().iterator().next() : exports.get(name);
    }

    boolean draining() {
        return draining;
    }

    public boolean owns(long conn) {
        return sessions.containsKey(conn);
    }

    /** Connections held. */
    public int connections() {
        return sessions.size();
    }

    /** Bytes that requests and replies hold now. */
    public long bytesHeld() {
        return room.held();
    }

    public void accepted(long conn, String peer) {
        boolean full = sessions.size() - turnedAway >= settings.bounds().connections();
        if (draining || full && turnedAway >= TURNED_AWAY_MOST) {
            act(new NetAction.Close(conn, true));
            return;
        }
        if (full) {
            turnedAway++;
            act(new NetAction.Note(NetAction.Level.WARN, "connection table full at "
                    + settings.bounds().connections() + "; " + peer + " is turned away"));
        }
        NbdSession session = new NbdSession(this, conn, full, now + settings.bounds().handshake());
        sessions.put(conn, session);
        greeting.add(session);
        session.greet();
    }

    public void received(long conn, ByteBuffer data) {
        sessions.get(conn).received(data);
    }

    public void drained(long conn, int bytes) {
        sessions.get(conn).drained(bytes);
    }

    public void closed(long conn) {
        sessions.get(conn).gone();
    }

    /** A session's handshake is over. */
    void greeted(NbdSession session) {
        greeting.remove(session);
    }

    /** A session has ended, by either side. */
    void ended(NbdSession session) {
        sessions.remove(session.conn);
        greeting.remove(session);
        room.leave(session);
        if (session.turnedAway) {
            turnedAway--;
        }
    }

    /** Lets those go on that waited for room. */
    public void pump() {
        room.pump();
    }

    /** No new connections or requests; connections close as their last answer leaves. */
    public void drain() {
        draining = true;
        List.copyOf(sessions.values()).forEach(NbdSession::closeWhenQuiet);
    }

    public long wakeAt() {
        return greeting.isEmpty() ? Long.MAX_VALUE : greeting.iterator().next().handshakeUntil;
    }

    /** Closes connections whose handshake takes too long, as they hold places in the table for nothing. */
    public void expire() {
        while (now >= wakeAt()) {
            greeting.iterator().next().end(true);
        }
    }
}
