package garnetreel.map;

import garnetreel.codec.map.MapMessage.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Rebuilds maps from the extents that nodes report, for a service that lost the newest part of its journal. Without
 * I/O.
 *
 * <p>The nodes' entries determine the holder of each extent: an extent is served by one node at a time, under a version
 * that only grows; a migration durably fences the old holder before the switch, and the old holder drops its data only
 * when the new one serves. So the holder is the node that serves the extent, or has fenced it, under the highest
 * version. If that node has fenced it, a migration that is missing from the journal (a lost migration) did so. The node
 * still has all acknowledged writes, since no node has served the extent after it, and is made to serve again.
 */
public final class Adoption {
    /** State of an extent at a node. The codes are those of the node protocol (docs/node-protocol.md). */
    public enum State {
        /** The node serves the extent. */
        SERVING(0),
        /** The node has all pages of the extent but does not serve it. */
        FENCED(1),
        /** The node is receiving pages of the extent. */
        RECEIVING(2),
        /** The node has dropped the extent and retains the version under which it was released. */
        GONE(3);

        private final int code;

        State(int code) {
            this.code = code;
        }

        /** The state's byte in a node's report. */
        public int code() {
            return code;
        }

        /**
         * The state with a reported code. An unknown code is taken as GONE, so that its node does not become the
         * holder.
         */
        public static State ofCode(int code) {
            for (State state : values()) {
                if (state.code == code) {
                    return state;
                }
            }
            return GONE;
        }
    }

    /** A node's entry for an extent. */
    public record ReportedExtent(long volume, long extent, int shard, State state, long version) {}

    /**
     * Result of comparing the nodes' entries with the maps.
     *
     * @param changes extents whose shard or version differs from the map
     * @param highestVersion highest version that any node reported
     * @param lostMigrations migrations to roll back: their old holder is fenced, or their new holder is still receiving
     *     pages
     * @param missing extents whose holder is not among the nodes that answered; the map keeps its entry for them
     * @param conflicts entries of nodes that serve or have fenced an extent beside a node with a newer version, which
     *     becomes the holder; in a correct system only those of old holders that a switched migration has not released
     *     yet
     */
    public record Reconciliation(
            List<Change> changes,
            long highestVersion,
            List<Migration> lostMigrations,
            List<ReportedExtent> missing,
            List<ReportedExtent> conflicts) {

        private Reconciliation(long highestVersion) {
            this(new ArrayList<>(), highestVersion, new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    private Adoption() {}

    /**
     * Compares the entries of nodes with the maps.
     *
     * @param state the maps to correct; entries of volumes or extents that it does not have are ignored
     */
    public static Reconciliation of(MapState state, List<ReportedExtent> entries) {
        Map<ExtentId, List<ReportedExtent>> byExtent = new TreeMap<>();
        long highestVersion = 0;
        for (ReportedExtent held : entries) {
            ExtentMap map = state.map(held.volume());
            if (map != null && map.contains(held.extent())) {
                byExtent.computeIfAbsent(new ExtentId(held.volume(), held.extent()), unused -> new ArrayList<>())
                        .add(held);
                highestVersion = Math.max(highestVersion, held.version());
            }
        }
        Reconciliation found = new Reconciliation(highestVersion);
        byExtent.forEach((id, held) -> examineExtent(state.map(id.volume()), id, held, found));
        return found;
    }

    private static void examineExtent(ExtentMap map, ExtentId id, List<ReportedExtent> entries, Reconciliation found) {
        ReportedExtent holder = null;
        ReportedExtent newHolder = null;
        ReportedExtent newestGone = null;
        for (ReportedExtent held : entries) {
            switch (held.state()) {
                case SERVING, FENCED -> {
                    if (holder != null) {
                        found.conflicts().add(holder.version() < held.version() ? holder : held);
                    }
                    holder = newer(holder, held);
                }
                case RECEIVING -> newHolder = held;
                case GONE -> newestGone = newer(newestGone, held);
            }
        }
        if (holder == null || newestGone != null && newestGone.version() > holder.version()) {
            // The extent was dropped only once its new holder served it; that node has not answered.
            ReportedExtent newest = newestGone == null ? newHolder : newestGone;
            boolean neverMigrated = newest.version() == 0 && map.version(id.extent()) == ExtentMap.INITIAL_VERSION;
            if (!neverMigrated) {
                found.missing().add(newest);
            }
            return;
        }
        if (map.shard(id.extent()) != holder.shard() || map.version(id.extent()) != holder.version()) {
            found.changes().add(new Change(id.volume(), id.extent(), holder.shard(), holder.version()));
        }
        if (holder.state() == State.FENCED || newHolder != null) {
            found.lostMigrations().add(rollback(id, holder, newHolder));
        }
    }

    private static ReportedExtent newer(ReportedExtent current, ReportedExtent other) {
        return current == null || other.version() > current.version() ? other : current;
    }

    /** The lost migration in state ABORTING: its holder serves again, and its new holder, if any, drops the pages. */
    private static Migration rollback(ExtentId id, ReportedExtent holder, ReportedExtent newHolder) {
        int to = newHolder == null ? holder.shard() : newHolder.shard();
        return new Migration(
                0, id.volume(), id.extent(), holder.shard(), to, holder.version(), 0, Migration.State.ABORTING);
    }
}
