package garnetreel.core.server.rsync;

import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.io.NetAction;
import garnetreel.core.request.WriteSettlement;
import garnetreel.files.Catalogue;
import garnetreel.files.FileChange;
import garnetreel.files.FileEntry;
import garnetreel.files.FileEntry.Piece;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The file catalogue of a gateway and its journal. A change becomes visible, and is confirmed, only once it is durable.
 */
public final class FileCatalogueStore {
    /** Minimum number of changes between two snapshots. */
    private static final int SNAPSHOT_INTERVAL = 2_000;

    /**
     * Time without a new reservation after which the write intents are ended. A restart within that time withholds the
     * free space of the regions that were written to.
     */
    private static final long INTENTS_IDLE_MICROS = 10_000_000;

    /** Records before a snapshot that stay in the journal. */
    private static final int RETAINED_RECORDS = 16;

    /** The snapshot and the journal records of an earlier run. */
    public record StoredCatalogue(byte[] snapshot, List<byte[]> records) {
        /** The state of a gateway that has never stored files. */
        public static final StoredCatalogue EMPTY = new StoredCatalogue(null, List.of());
    }

    /** Something that waits until the changes up to a sequence number are visible. */
    private record DurabilityWaiter(long seq, Runnable done) {}

    private final Catalogue catalogue;
    private final Map<String, Volume> volumes = new HashMap<>();
    private final ArrayDeque<FileChange> pendingChanges = new ArrayDeque<>();
    private final ArrayDeque<DurabilityWaiter> durabilityWaiters = new ArrayDeque<>();
    private final WriteSettlement writes;
    private final long longestTimeLimit;
    /** When the writes of an earlier process are over; set in the first turn. */
    private long earlierWritesOverAt = Long.MAX_VALUE;

    private boolean earlierWritesReclaimed;
    private long lastReservationAt;
    private long settledWritesSeen;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long nextSnapshotSeq;

    /**
     * Restores the catalogue from the stored snapshot and records.
     *
     * @param writes tells which writes may still change the volumes
     */
    public FileCatalogueStore(GatewaySettings settings, WriteSettlement writes, StoredCatalogue stored) {
        this.writes = writes;
        List<Catalogue.ModuleVolume> moduleVolumes = new ArrayList<>();
        for (GatewaySettings.Module module : settings.files().modules()) {
            Volume volume = settings.volumes().stream()
                    .filter(v -> v.name().equals(module.volume()))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException(
                            "module " + module.name() + " names a volume that this gateway does not have"));
            volumes.put(module.name(), volume);
            moduleVolumes.add(new Catalogue.ModuleVolume(module.name(), volume.id(), volume.size()));
        }
        catalogue = new Catalogue(moduleVolumes, stored.snapshot(), stored.records(), this::mayStillChange);
        nextSnapshotSeq = catalogue.seq() + SNAPSHOT_INTERVAL;
        longestTimeLimit = settings.longestTimeLimit();
    }

    /** Begins a turn: its time, and where its actions go. */
    public void beginTurn(long time, List<NetAction> turnActions) {
        if (earlierWritesOverAt == Long.MAX_VALUE) {
            earlierWritesOverAt = time + longestTimeLimit + writes.maxWriteWork();
        }
        now = time;
        actions = turnActions;
    }

    /**
     * Whether a write of this process or an earlier one may still change a piece. The earlier process sent its last
     * write before this one started, with a deadline of the longest time limit at most.
     */
    private boolean mayStillChange(String module, Piece piece) {
        return writes.mayStillChange(volume(module), piece.offset(), piece.length())
                || now < earlierWritesOverAt && catalogue.mayHaveBeenWrittenBefore(module, piece);
    }

    /** The catalogue; its visible entries are without changes that are not yet durable. */
    public Catalogue catalogue() {
        return catalogue;
    }

    Volume volume(String module) {
        return volumes.get(module);
    }

    /** Makes a change durable, then visible. Changes take effect in the order of the calls. */
    void commit(List<FileChange.Name> removed, List<FileEntry> changed) {
        append(catalogue.plan(removed, changed));
    }

    /** Appends a planned change to the journal; null for none. */
    private void append(FileChange change) {
        if (change != null) {
            pendingChanges.add(change);
            actions.add(new NetAction.Append(change.seq(), change.encode()));
        }
    }

    /**
     * Runs {@code done} once all changes committed so far are durable and visible. Whoever confirms what it decided from
     * {@link Catalogue#planned planned} entries, for example that a file needs no change, has to wait for that.
     */
    void whenAllDurable(Runnable done) {
        if (pendingChanges.isEmpty()) {
            done.run();
        } else {
            durabilityWaiters.add(new DurabilityWaiter(catalogue.lastPlannedSeq(), done));
        }
    }

    /** All records up to this sequence number are durable. */
    public void appended(long seq) {
        while (!pendingChanges.isEmpty() && pendingChanges.peek().seq() <= seq) {
            catalogue.apply(pendingChanges.poll());
        }
        while (!durabilityWaiters.isEmpty() && durabilityWaiters.peek().seq() <= catalogue.seq()) {
            durabilityWaiters.poll().done().run();
        }
        if (pendingChanges.isEmpty() && catalogue.seq() >= nextSnapshotSeq) {
            nextSnapshotSeq = catalogue.seq() + Math.max(SNAPSHOT_INTERVAL, catalogue.size());
            actions.add(new NetAction.Snapshot(catalogue.seq(), catalogue.snapshot(), RETAINED_RECORDS));
        }
    }

    /** Reserves space for contents on a module's volume; null if it has not enough free space. */
    List<Piece> reserve(String module, long length) {
        lastReservationAt = now;
        List<Piece> pieces = catalogue.reserve(module, length);
        if (pieces != null) {
            append(catalogue.planIntents(module, pieces));
        }
        return pieces;
    }

    /** Tells a client that space can't be reserved. */
    String noSpaceMessage() {
        String message = "No space left on device (28)";
        return catalogue.hasWithheldSpace()
                ? message + "; some is withheld until writes sent earlier are over, try again in a minute"
                : message;
    }

    /** Runs {@code write} once it may send writes to reserved pieces. */
    void whenWritable(String module, List<Piece> pieces, Runnable write) {
        if (catalogue.mayWrite(module, pieces)) {
            write.run();
        } else {
            whenAllDurable(write);
        }
    }

    /** Gives space free again that earlier writes can't change any more, and ends the write intents of idle modules. */
    public void expire() {
        if (writes.settledWrites() != settledWritesSeen || now >= nextReclaim()) {
            settledWritesSeen = writes.settledWrites();
            earlierWritesReclaimed = now >= earlierWritesOverAt;
            catalogue.reclaim();
        }
        if (now >= nextEndOfIntents()) {
            append(catalogue.planEndOfIntents());
        }
    }

    /** When space that an earlier process wrote to can be reclaimed. */
    private long nextReclaim() {
        return catalogue.hasWithheldSpace() && !earlierWritesReclaimed ? earlierWritesOverAt : Long.MAX_VALUE;
    }

    private long nextEndOfIntents() {
        return catalogue.mayEndIntents() && !writes.hasUnsettledWrites()
                ? lastReservationAt + INTENTS_IDLE_MICROS
                : Long.MAX_VALUE;
    }

    /** When {@link #expire} is due next; {@link Long#MAX_VALUE} if nothing is delayed. */
    public long nextDeadline() {
        return Math.min(nextReclaim(), nextEndOfIntents());
    }
}
