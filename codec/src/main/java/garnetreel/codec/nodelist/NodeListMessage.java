package garnetreel.codec.nodelist;

import java.util.List;

/** Messages between the node list and its clients; docs/node-protocol.md defines the encoding. */
public sealed interface NodeListMessage {

    /** State of an entry. The ordinal is the code on the wire. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** Whether a {@link NodeListUpdate} is a delta or a snapshot. The ordinal is the code on the wire. */
    enum Kind {
        DELTA,
        SNAPSHOT
    }

    /**
     * One node.
     *
     * @param address host:port, which identifies the node
     * @param startedAt when its process last started, in microseconds since the epoch; 0 if it started so long ago that
     *     it has warmed up
     */
    record Entry(String address, String zone, int shard, State state, double weight, long startedAt) {}

    /** A gateway subscribes to changes after a version, or unsubscribes; version 0 requests a snapshot first. */
    record Subscribe(int gatewayId, boolean active, long version) implements NodeListMessage {}

    /** A gateway requests the complete list once. */
    record Fetch(int gatewayId) implements NodeListMessage {}

    /** An update of the list to {@code version}: changes since version {@code since}, or a snapshot. */
    record NodeListUpdate(Kind kind, long since, long version, List<Entry> entries) implements NodeListMessage {}

    /** A call failed; the list is unchanged. */
    record Failed(String reason) implements NodeListMessage {}

    /** A node, or its supervisor, registers its state; the entry is removed when the connection ends. */
    record Register(Entry entry) implements NodeListMessage {}
}
