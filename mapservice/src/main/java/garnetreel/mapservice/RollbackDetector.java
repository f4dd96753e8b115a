package garnetreel.mapservice;

import garnetreel.map.MapState;

/**
 * Detects that the service was restored from an old backup, where its decisions would rely on outdated extent
 * locations. Once a gateway or node reports a newer version, no migration starts or advances until the maps are adopted
 * from the nodes. A version that this service never had, reported in error, has the same effect; adoption resolves that
 * too, since the nodes are authoritative.
 */
final class RollbackDetector {
    private final TurnContext turn;
    private final MapState state;
    /** Newest epoch that any gateway or node has reported, and the newest version reported in it. */
    private long newestEpoch;

    private long newestVersion;

    RollbackDetector(TurnContext turn, MapState state) {
        this.turn = turn;
        this.state = state;
    }

    /** Records the map version that a gateway or node has reported. */
    void observe(long reportedEpoch, long reportedVersion, String reporter) {
        if (reportedEpoch < newestEpoch || reportedEpoch == newestEpoch && reportedVersion <= newestVersion) {
            return;
        }
        newestEpoch = reportedEpoch;
        newestVersion = reportedVersion;
        if (rolledBack()) {
            turn.warn(reporter + " has map version " + newestVersion + " of epoch " + newestEpoch
                    + ", but this service has version "
                    + state.version() + " of epoch " + state.epoch()
                    + ": its state was rolled back; migrations are blocked until \"map adopt\" is run");
        }
    }

    /** Whether any gateway or node has reported a newer map than this service has. */
    boolean rolledBack() {
        return newestEpoch > state.epoch() || newestEpoch == state.epoch() && newestVersion > state.version();
    }

    /** Newest epoch that any gateway or node has reported. */
    long newestEpoch() {
        return newestEpoch;
    }

    /** Newest version that has been reported in {@link #newestEpoch}. */
    long newestVersion() {
        return newestVersion;
    }
}
