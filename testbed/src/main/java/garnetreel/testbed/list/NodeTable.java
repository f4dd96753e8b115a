package garnetreel.testbed.list;

import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entries of a fake node list: the visible ones, versioned, and the changes that become visible later. */
final class NodeTable {
    /** Changes kept for gateways that reconnect; a gateway that missed more gets the whole list. */
    private static final int MAX_HISTORY = 256;

    private record PendingChange(long visibleAt, Entry entry) {}

    private record Change(long version, Entry entry) {}

    private final Map<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<PendingChange> pending = new ArrayDeque<>();
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private long lag;
    private long version = 1;

    NodeTable(List<Entry> initial, long lag) {
        this.lag = lag;
        initial.forEach(entry -> entries.put(entry.address(), entry));
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    long version() {
        return version;
    }

    List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    void setLag(long micros) {
        lag = micros;
    }

    /** Adds or replaces a node's entry; the change becomes visible after the lag. */
    void change(Entry entry, long now) {
        // A later change never becomes visible before an earlier one, even when the lag is reduced.
        long visibleAt =
                Math.max(now + lag, pending.isEmpty() ? 0 : pending.peekLast().visibleAt());
        pending.add(new PendingChange(visibleAt, entry));
    }

    /** Removes a node; the change becomes visible after the lag. */
    void remove(String address, long now) {
        Entry last = latest(address);
        if (last != null) {
            change(
                    new Entry(last.address(), last.zone(), last.shard(), State.GONE, last.weight(), last.startedAt()),
                    now);
        }
    }

    private Entry latest(String address) {
        Entry found = entries.get(address);
        for (PendingChange change : pending) {
            if (change.entry().address().equals(address)) {
                found = change.entry();
            }
        }
        return found;
    }

    /** Makes the due changes visible, and returns the entries that changed. */
    List<Entry> publishDue(long now) {
        List<Entry> published = new ArrayList<>();
        while (nextChangeAt() <= now) {
            Entry entry = pending.poll().entry();
            if (apply(entry)) {
                version++;
                history.add(new Change(version, entry));
                if (history.size() > MAX_HISTORY) {
                    history.poll();
                }
                published.add(entry);
            }
        }
        return published;
    }

    private boolean apply(Entry entry) {
        if (entry.state() == State.GONE) {
            return entries.remove(entry.address()) != null;
        }
        return !entry.equals(entries.put(entry.address(), entry));
    }

    /** The changes after a version; null if the history does not cover them. */
    List<Entry> changesSince(long knownVersion) {
        long oldest = history.isEmpty() ? version + 1 : history.peek().version();
        if (knownVersion <= 0 || knownVersion > version || knownVersion < oldest - 1) {
            return null;
        }
        return history.stream()
                .filter(change -> change.version() > knownVersion)
                .map(Change::entry)
                .toList();
    }

    long nextChangeAt() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.peek().visibleAt();
    }
}
