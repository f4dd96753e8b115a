package garnetreel.map;

import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.map.Transaction.Drain;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The state of the map service as a deterministic state machine: the maps, the migrations in progress, the draining
 * shards and the most recent transactions. Applying the same transactions in order always gives the same state, so
 * replicas could be built by replaying them.
 *
 * <p>Methods that return a {@link Transaction} only build it; it takes effect through {@link #apply}, once it is
 * durable.
 *
 * <p>The last {@link #HISTORY_LIMIT} transactions are retained for the changes sent to gateways and for the history
 * shown to operators; a gateway whose version precedes the oldest of them is sent a snapshot.
 */
public final class MapState {
    /** Number of transactions retained. */
    public static final int HISTORY_LIMIT = 10_000;

    private final MapCache maps = new MapCache();
    private final TreeMap<Long, Migration> migrations = new TreeMap<>();
    private final TreeSet<Integer> draining = new TreeSet<>();
    private final ArrayDeque<Transaction> history = new ArrayDeque<>();
    private long seq;
    private long epoch;
    private long version;
    private long horizon;
    private long lastMigration;

    /**
     * Initial state of a service without a journal: every extent is at the shard that the initial placement gives it.
     */
    public MapState(Snapshot initial) {
        maps.apply(initial);
        this.epoch = initial.epoch();
        this.version = initial.version();
        this.horizon = version;
    }

    private MapState(MapSnapshot snapshot) {
        this(snapshot.maps());
        seq = snapshot.seq();
        lastMigration = snapshot.lastMigration();
        snapshot.migrations().forEach(m -> migrations.put(m.id(), m));
        draining.addAll(snapshot.draining());
    }

    /**
     * Recovers the state from a journal.
     *
     * @param initial the maps of a service that has never run
     * @param snapshot the latest snapshot; null for none
     * @param records transactions in order, without gaps; those that the snapshot covers are kept only for the history
     *     and the changes sent to gateways
     * @throws CorruptJournalException if a record is missing or damaged; the message says which
     */
    public static MapState recover(Snapshot initial, byte[] snapshot, List<byte[]> records) {
        MapState state = snapshot == null ? new MapState(initial) : new MapState(MapSnapshot.of(snapshot));
        for (byte[] record : records) {
            Transaction t = Transaction.of(record);
            if (t.seq() > state.seq) {
                state.apply(t);
            } else {
                state.retain(t);
            }
        }
        return state;
    }

    /**
     * Adds a transaction that the snapshot covers to the history; the first one of an epoch sets the horizon, the
     * lowest version since which changes can be sent.
     */
    private void retain(Transaction t) {
        if (history.isEmpty() || t.epoch() != history.peekLast().epoch()) {
            horizon = t.version();
        }
        history.add(t);
        trimHistory();
    }

    /** Encodes the state without its history, as input for {@link #recover}. */
    public byte[] snapshot() {
        return new MapSnapshot(seq, lastMigration, maps.toSnapshot(), migrations(), draining()).bytes();
    }

    /**
     * Applies a durable transaction. One that has been applied before is ignored.
     *
     * @throws CorruptJournalException if it does not directly follow the last one
     */
    public void apply(Transaction t) {
        if (t.seq() <= seq) {
            return;
        }
        if (t.seq() != seq + 1 || t.version() < version) {
            throw new CorruptJournalException("transaction " + t.seq() + " of version " + t.version()
                    + " does not follow " + seq + " of version " + version);
        }
        if (t.epoch() != epoch) {
            epoch = t.epoch();
            version = t.version();
            horizon = version;
            maps.apply(new Snapshot(epoch, version, withChanges(t.changes())));
        } else if (!t.changes().isEmpty()) {
            maps.apply(new Changes(epoch, version, t.version(), t.changes()));
            version = t.version();
        }
        seq = t.seq();
        if (t.migration() != null) {
            applyMigration(t.migration());
        }
        if (t.drain() != null) {
            applyDrain(t.drain());
        }
        history.add(t);
        trimHistory();
    }

    private void applyMigration(Migration migration) {
        lastMigration = Math.max(lastMigration, migration.id());
        if (migration.state().isFinal()) {
            migrations.remove(migration.id());
        } else {
            migrations.put(migration.id(), migration);
        }
    }

    private void applyDrain(Drain drain) {
        if (drain.on()) {
            draining.add(drain.shard());
        } else {
            draining.remove(drain.shard());
        }
    }

    /**
     * The maps after changes of any version: those of an epoch adopted from nodes may be older than the current
     * version.
     */
    private List<VolumeMap> withChanges(List<Change> changes) {
        List<VolumeMap> volumes = new ArrayList<>();
        maps.volumes().forEach(map -> volumes.add(map.with(changes).toMessage()));
        return volumes;
    }

    private void trimHistory() {
        if (history.size() > HISTORY_LIMIT) {
            horizon = Math.max(horizon, history.poll().version());
        }
    }

    /**
     * Builds the transaction that records a new migration or a new state of one. The change to SWITCHED also assigns
     * the extent to its new shard, under a new version.
     *
     * @throws ExtentChangedException if it is a switch and the extent's shard or version has changed since the
     *     migration began
     */
    public Transaction migrationTransaction(Migration migration, String who, long when, String why) {
        Migration current = migrations.get(migration.id());
        boolean switches = migration.state() == Migration.State.SWITCHED
                && (current == null || current.state() != Migration.State.SWITCHED);
        if (!switches) {
            return new Transaction(seq + 1, epoch, version, who, when, why, List.of(), migration, null);
        }
        long extent = migration.extent();
        ExtentMap map = maps.volume(migration.volume());
        if (map.version(extent) != migration.oldVersion() || map.shard(extent) != migration.from()) {
            throw new ExtentChangedException("extent " + extent + " of volume " + migration.volume()
                    + " has changed since its migration began: its version is " + map.version(extent) + ", expected "
                    + migration.oldVersion());
        }
        long next = version + 1;
        Change change = new Change(migration.volume(), extent, migration.to(), next);
        return new Transaction(seq + 1, epoch, next, who, when, why, List.of(change), migration.switched(next), null);
    }

    /** Builds a transaction that changes no map and no migration, but is recorded in the history. */
    public Transaction emptyTransaction(String who, long when, String why) {
        return new Transaction(seq + 1, epoch, version, who, when, why, List.of(), null, null);
    }

    /** Builds the transaction that starts or ends draining a shard. */
    public Transaction drain(int shard, boolean on, String who, long when) {
        String why = (on ? "drain shard " : "undrain shard ") + shard;
        return new Transaction(seq + 1, epoch, version, who, when, why, List.of(), null, new Drain(shard, on));
    }

    /** Builds the transaction that begins a new epoch; gateways accept a newer epoch even if its versions are lower. */
    public Transaction newEpoch(String who, long when, String why) {
        return new Transaction(seq + 1, epoch + 1, version, who, when, why, List.of(), null, null);
    }

    /**
     * Builds the transaction that begins a new epoch with the maps that nodes reported.
     *
     * @param found extents whose shard or version differs from the map
     * @param observedEpoch highest epoch that any gateway or node has reported
     * @param observedVersion highest version that any gateway or node has reported
     */
    public Transaction adopt(
            List<Change> found, long observedEpoch, long observedVersion, String who, long when, String why) {
        long nextEpoch = Math.max(epoch, observedEpoch) + 1;
        long nextVersion = Math.max(version, observedVersion) + 1;
        return new Transaction(seq + 1, nextEpoch, nextVersion, who, when, why, found, null, null);
    }

    /**
     * A new migration that begins as ABORTING: it rolls back what a lost migration, one missing from the journal, left
     * on nodes.
     */
    public Migration newRollbackMigration(Migration lost) {
        return new Migration(
                lastMigration + 1,
                lost.volume(),
                lost.extent(),
                lost.from(),
                lost.to(),
                lost.oldVersion(),
                0,
                Migration.State.ABORTING);
    }

    /**
     * A new migration, which is not yet durable: see {@link #migrationTransaction}.
     *
     * @throws MigrationRejectedException if the extent does not exist, is at the target or is migrating already
     */
    public Migration newMigration(long volume, long extent, int to) {
        ExtentMap map = maps.volume(volume);
        if (map == null || !map.contains(extent)) {
            throw new MigrationRejectedException("volume " + volume + " has no extent " + extent);
        }
        if (map.shard(extent) == to) {
            throw new MigrationRejectedException(
                    "extent " + extent + " of volume " + volume + " is already at shard " + to);
        }
        for (Migration other : migrations.values()) {
            if (other.volume() == volume && other.extent() == extent) {
                throw new MigrationRejectedException(
                        "extent " + extent + " of volume " + volume + " is already in migration " + other.id());
            }
        }
        return new Migration(
                lastMigration + 1,
                volume,
                extent,
                map.shard(extent),
                to,
                map.version(extent),
                0,
                Migration.State.COPYING);
    }

    /**
     * The update for a holder of a version: the changes since, or a snapshot if these are not retained or it is of
     * another epoch.
     */
    public MapMessage updateSince(long heldEpoch, long heldVersion) {
        return heldEpoch != epoch || heldVersion > version || heldVersion < horizon
                ? maps.toSnapshot()
                : new Changes(epoch, heldVersion, version, changesSince(heldVersion));
    }

    /** Changes after a version of the current epoch, in order; the version must not be below {@link #horizon}. */
    public List<Change> changesSince(long heldVersion) {
        List<Change> changes = new ArrayList<>();
        // Newest first, so that an update for a gateway that is one change behind does not scan the whole history.
        for (Iterator<Transaction> newest = history.descendingIterator(); newest.hasNext(); ) {
            Transaction t = newest.next();
            if (t.version() <= heldVersion || t.epoch() != epoch) {
                break;
            }
            List<Change> own = new ArrayList<>(t.changes());
            Collections.reverse(own);
            changes.addAll(own);
        }
        Collections.reverse(changes);
        return changes;
    }

    /** All maps as a snapshot message. */
    public Snapshot mapSnapshot() {
        return maps.toSnapshot();
    }

    /** Maps of all volumes, ordered by volume. */
    public Iterable<ExtentMap> maps() {
        return maps.volumes();
    }

    /** Migrations that are in progress, ordered by number. */
    public List<Migration> migrations() {
        return List.copyOf(migrations.values());
    }

    /** Shards that are being drained. */
    public List<Integer> draining() {
        return List.copyOf(draining);
    }

    /** The retained transactions, oldest first. */
    public Iterable<Transaction> history() {
        return history;
    }

    /** Map of a volume; null if it does not exist. */
    public ExtentMap map(long volume) {
        return maps.volume(volume);
    }

    /** Oldest version since which all changes are retained. */
    public long horizon() {
        return horizon;
    }

    /** Sequence number of the last transaction. */
    public long seq() {
        return seq;
    }

    /** Epoch of the maps; a higher epoch takes precedence over any version. */
    public long epoch() {
        return epoch;
    }

    /** Version of the maps within the epoch. */
    public long version() {
        return version;
    }
}
