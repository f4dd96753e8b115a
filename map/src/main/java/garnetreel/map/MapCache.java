package garnetreel.map;

import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A copy of the map: all volumes at one version of one epoch. An update is applied completely or not at all.
 *
 * <p>Updates of an older epoch, or of an older version of the same epoch, are rejected. They come from a map service
 * that was restored from an old backup, and would direct writes to shards that no longer hold the extents. After an
 * intended restore the operator begins a new epoch, which is accepted.
 */
public final class MapCache {
    /** Result of applying an update. */
    public enum Outcome {
        /** The update was applied. */
        APPLIED,
        /** The update holds nothing new: it is a repeat or a keep-alive. */
        ALREADY_KNOWN,
        /** Updates before this one are missing: a snapshot must be requested. */
        GAP,
        /** The update is older than this copy, so the service was rolled back: it was not applied. */
        ROLLED_BACK
    }

    private final Map<Long, ExtentMap> volumes = new TreeMap<>();
    private long epoch;
    private long version;

    /** Applies a snapshot. */
    public Outcome apply(Snapshot snapshot) {
        if (snapshot.epoch() < epoch || snapshot.epoch() == epoch && snapshot.version() < version) {
            return Outcome.ROLLED_BACK;
        }
        if (snapshot.epoch() == epoch && snapshot.version() == version) {
            return Outcome.ALREADY_KNOWN;
        }
        Map<Long, ExtentMap> next = new HashMap<>();
        for (VolumeMap volume : snapshot.volumes()) {
            next.put(volume.volume(), ExtentMap.of(volume));
        }
        volumes.clear();
        volumes.putAll(next);
        epoch = snapshot.epoch();
        version = snapshot.version();
        return Outcome.APPLIED;
    }

    /** Applies changes; those of repeated or overlapping updates are applied once. */
    public Outcome apply(Changes changes) {
        if (changes.epoch() < epoch
                || changes.epoch() == epoch && changes.version() < version && changes.since() >= changes.version()) {
            return Outcome.ROLLED_BACK;
        }
        if (changes.epoch() != epoch || changes.since() > version) {
            return Outcome.GAP;
        }
        if (changes.version() <= version) {
            return Outcome.ALREADY_KNOWN;
        }
        Map<Long, List<Change>> byVolume = new HashMap<>();
        for (Change change : changes.changes()) {
            if (change.version() > version) {
                byVolume.computeIfAbsent(change.volume(), unused -> new ArrayList<>())
                        .add(change);
            }
        }
        if (!volumes.keySet().containsAll(byVolume.keySet())) {
            // A volume has been created: only a snapshot describes it.
            return Outcome.GAP;
        }
        Map<Long, ExtentMap> next = new HashMap<>();
        byVolume.forEach(
                (volume, itsChanges) -> next.put(volume, volumes.get(volume).with(itsChanges)));
        volumes.putAll(next);
        version = changes.version();
        return Outcome.APPLIED;
    }

    /** Maps of all volumes, ordered by volume. */
    public Iterable<ExtentMap> volumes() {
        return volumes.values();
    }

    /** Map of a volume; null if it is not known. */
    public ExtentMap volume(long volume) {
        return volumes.get(volume);
    }

    /** Epoch of the maps; 0 before the first update. */
    public long epoch() {
        return epoch;
    }

    /** Version of the maps within the epoch; 0 before the first update. */
    public long version() {
        return version;
    }

    /** All maps as a snapshot message. */
    public Snapshot toSnapshot() {
        return new Snapshot(
                epoch,
                version,
                volumes.values().stream().map(ExtentMap::toMessage).toList());
    }
}
