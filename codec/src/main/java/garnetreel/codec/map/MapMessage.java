package garnetreel.codec.map;

import java.util.List;

/** Messages between the map service and its clients; docs/extent-map.md defines the encoding. */
public sealed interface MapMessage {

    /** An extent that has migrated from its initial shard, with its shard and version now. */
    record MovedExtent(long extent, int shard, long version) {}

    /**
     * The extent map of a volume.
     *
     * @param extents number of extents
     * @param extentBytes size of an extent
     * @param shards initial layout: extent n was on the shard at index n modulo the size of this list, under version 1
     * @param movedExtents the extents that have migrated since, ordered by extent
     */
    record VolumeMap(
            long volume, long extents, int extentBytes, List<Integer> shards, List<MovedExtent> movedExtents) {}

    /** An extent's new shard and version. */
    record Change(long volume, long extent, int shard, long version) {}

    /** A gateway subscribes to the changes after a version of an epoch; version 0 requests a snapshot first. */
    record Subscribe(int gatewayId, long epoch, long version) implements MapMessage {}

    /** A snapshot: the maps of all volumes as of a version. */
    record Snapshot(long epoch, long version, List<VolumeMap> volumes) implements MapMessage {}

    /** Changes after version {@code since}; a message without changes is a keep-alive. */
    record Changes(long epoch, long since, long version, List<Change> changes) implements MapMessage {}

    /** The service is overloaded; the client should retry after this many microseconds. */
    record Busy(long retryAfterMicros) implements MapMessage {}

    /** An operator's command as text. */
    record Command(String operator, String text) implements MapMessage {}

    /** The result of a command, as JSON. */
    record Result(boolean ok, String json) implements MapMessage {}
}
