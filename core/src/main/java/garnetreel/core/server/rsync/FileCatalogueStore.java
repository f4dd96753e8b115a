package garnetreel.core.server.rsync;

import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.io.NetAction;
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

    /** Records before a snapshot that stay in the journal. */
    private static final int RETAINED_RECORDS = 16;

    /** The snapshot and the journal records of an earlier run. */
    public record StoredCatalogue(byte[] snapshot, List<byte[]> records) {
        /** The state of a gateway that has never stored files. */
        public static final StoredCatalogue EMPTY = new StoredCatalogue(null, List.of());
    }

    /** Something that waits until the changes up to a sequence number are visible. */
    private record DurabilityWaiter(long seq, Runnable done) {}

    private record DelayedRelease(long until, String module, List<Piece> pieces) {}

    private final Catalogue catalogue;
    private final Map<String, Volume> volumes = new HashMap<>();
    private final ArrayDeque<FileChange> pendingChanges = new ArrayDeque<>();
    private final ArrayDeque<DurabilityWaiter> durabilityWaiters = new ArrayDeque<>();
    private final ArrayDeque<DelayedRelease> delayedReleases = new ArrayDeque<>();
    private final long longestTimeLimit;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long nextSnapshotSeq;

    /** Restores the catalogue from the stored snapshot and records. */
    public FileCatalogueStore(GatewaySettings settings, StoredCatalogue stored) {
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
        catalogue = new Catalogue(moduleVolumes, stored.snapshot(), stored.records());
        nextSnapshotSeq = catalogue.seq() + SNAPSHOT_INTERVAL;
        longestTimeLimit = settings.scheduling().classes().stream()
                .mapToLong(c -> c.timeLimit())
                .max()
                .orElse(0);
    }

    /** Begins a turn: its time, and where its actions go. */
    public void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
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
        FileChange change = catalogue.plan(removed, changed);
        pendingChanges.add(change);
        actions.add(new NetAction.Append(change.seq(), change.encode()));
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

    /**
     * Releases space to which writes of unknown outcome were sent, once these can no longer take effect. Otherwise a
     * write that a node is still executing could overwrite a file that was given the space meanwhile. The space stays
     * unusable for twice the longest time limit of a request: no node starts the write after the first, and the second
     * is a margin for work in progress.
     */
    void releaseLater(String module, List<Piece> pieces) {
        if (!pieces.isEmpty()) {
            delayedReleases.add(new DelayedRelease(now + 2 * longestTimeLimit, module, List.copyOf(pieces)));
        }
    }

    /** Releases the space whose delay is over. */
    public void expire() {
        while (!delayedReleases.isEmpty() && now >= delayedReleases.peek().until()) {
            DelayedRelease expired = delayedReleases.poll();
            catalogue.release(expired.module(), expired.pieces());
        }
    }

    /** When {@link #expire} is due next; {@link Long#MAX_VALUE} if nothing is delayed. */
    public long nextDeadline() {
        return delayedReleases.isEmpty()
                ? Long.MAX_VALUE
                : delayedReleases.peek().until();
    }
}
