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

/** The catalogue of a head's files with its journal: a change is made visible, and told, only once it is durable. */
public final class FileCatalogueStore {
    /** Changes between two snapshots, and records kept from before one. */
    private static final int SNAPSHOT_EVERY = 2_000;

    private static final int KEPT = 16;

    /** What an earlier life kept. */
    public record StoredCatalogue(byte[] snapshot, List<byte[]> records) {
        /** A head that never had files. */
        public static final StoredCatalogue NOTHING = new StoredCatalogue(null, List.of());
    }

    private record Commit(FileChange change, Runnable done) {}

    private record Resting(long until, String module, List<Piece> pieces) {}

    private final Catalogue catalogue;
    private final Map<String, Volume> volumes = new HashMap<>();
    private final ArrayDeque<Commit> out = new ArrayDeque<>();
    private final ArrayDeque<Resting> resting = new ArrayDeque<>();
    private final long longest;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long lastSeq;
    private long snapshotAt;

    public FileCatalogueStore(GatewaySettings settings, StoredCatalogue kept) {
        List<Catalogue.ModuleVolume> places = new ArrayList<>();
        for (GatewaySettings.Module module : settings.files().modules()) {
            Volume volume = settings.volumes().stream()
                    .filter(v -> v.name().equals(module.volume()))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException(
                            "module " + module.name() + " names a volume that this head does not have"));
            volumes.put(module.name(), volume);
            places.add(new Catalogue.ModuleVolume(module.name(), volume.id(), volume.size()));
        }
        catalogue = new Catalogue(places, kept.snapshot(), kept.records());
        lastSeq = catalogue.seq();
        snapshotAt = lastSeq + SNAPSHOT_EVERY;
        longest = settings.scheduling().classes().stream()
                .mapToLong(c -> c.deadline())
                .max()
                .orElse(0);
    }

    public void beginTurn(long time, List<NetAction> to) {
        now = time;
        actions = to;
    }

    public Catalogue catalogue() {
        return catalogue;
    }

    Volume volume(String module) {
        return volumes.get(module);
    }

    /** Makes a change durable, then visible; {@code done} runs then. Changes come about in the order they are asked for. */
    void commit(List<FileChange.Name> gone, List<FileEntry> put, Runnable done) {
        FileChange change = catalogue.change(lastSeq, gone, put);
        lastSeq = change.seq();
        out.add(new Commit(change, done));
        actions.add(new NetAction.Append(change.seq(), change.bytes()));
    }

    /** A record is durable. */
    public void appended(long seq) {
        while (!out.isEmpty() && out.peek().change().seq() <= seq) {
            Commit commit = out.poll();
            catalogue.apply(commit.change());
            commit.done().run();
        }
        if (out.isEmpty() && catalogue.seq() >= snapshotAt) {
            snapshotAt = catalogue.seq() + Math.max(SNAPSHOT_EVERY, catalogue.size());
            actions.add(new NetAction.Snapshot(catalogue.seq(), catalogue.snapshot(), KEPT));
        }
    }

    /**
     * Gives back room that writes of unknown fate were sent to, after they can have no effect any more. Guards against a
     * write that is still in work at a node and lands on what another file has been given meanwhile. It costs the room for
     * twice the longest deadline.
     */
    void releaseLater(String module, List<Piece> pieces) {
        if (!pieces.isEmpty()) {
            resting.add(new Resting(now + 2 * longest, module, List.copyOf(pieces)));
        }
    }

    public void expire() {
        while (!resting.isEmpty() && now >= resting.peek().until()) {
            Resting rested = resting.poll();
            catalogue.release(rested.module(), rested.pieces());
        }
    }

    public long nextDeadline() {
        return resting.isEmpty() ? Long.MAX_VALUE : resting.peek().until();
    }
}
