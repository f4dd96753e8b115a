package garnetreel.map;

import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.codec.map.MapMessage.Whole;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the map service knows: the maps, the moves under way, and the last transactions. All of it follows from the
 * transactions in order; whoever applies the same ones has the same state, which is the seam for replicas.
 *
 * <p>Bounds: {@link #HISTORY} transactions are kept for deltas and history; a head that is further back takes the whole.
 */
public final class MapState {
    /** Transactions kept. */
    public static final int HISTORY = 10_000;

    private final MapCache maps = new MapCache();
    private final TreeMap<Long, Move> moves = new TreeMap<>();
    private final ArrayDeque<Transaction> history = new ArrayDeque<>();
    private long seq;
    private long epoch;
    private long version;
    private long horizon;
    private long lastMove;

    /** Begins a service of volumes that never moved, or goes on from a snapshot. */
    public MapState(Whole begin, long seq) {
        maps.take(begin);
        this.epoch = begin.epoch();
        this.version = begin.version();
        this.horizon = version;
        this.seq = seq;
    }

    /** Applies a transaction that has become durable; one that was applied before is passed over. */
    public void apply(Transaction t) {
        if (t.seq() <= seq) {
            return;
        }
        if (t.seq() != seq + 1 || t.version() < version) {
            throw new IllegalStateException("transaction " + t.seq() + " of version " + t.version()
                    + " does not follow " + seq + " of version " + version);
        }
        if (!t.changes().isEmpty() || t.epoch() != epoch) {
            if (t.epoch() != epoch) {
                epoch = t.epoch();
                maps.take(new Whole(epoch, t.version(), maps.whole().volumes()));
                horizon = t.version();
            }
            maps.take(new Changes(epoch, version, t.version(), t.changes()));
            version = t.version();
        }
        seq = t.seq();
        if (t.move() != null) {
            lastMove = Math.max(lastMove, t.move().id());
            if (t.move().state().over()) {
                moves.remove(t.move().id());
            } else {
                moves.put(t.move().id(), t.move());
            }
        }
        history.add(t);
        if (history.size() > HISTORY) {
            horizon = Math.max(horizon, history.poll().version());
        }
    }

    /** The transaction that makes a state of a move durable, or begins one. */
    public Transaction next(Move move, String who, long when, String why) {
        boolean switches = move.state() == Move.State.SWITCHED && (moves.get(move.id()) == null
                || moves.get(move.id()).state() != Move.State.SWITCHED);
        if (!switches) {
            return new Transaction(seq + 1, epoch, version, who, when, why, List.of(), move);
        }
        // Compare and set: the extent must still be held as the move found it.
        ExtentMap map = maps.volume(move.volume());
        if (map.version(move.extent()) != move.oldVersion() || map.shard(move.extent()) != move.from()) {
            throw new IllegalStateException("extent " + move.extent() + " of volume " + move.volume()
                    + " is held under version " + map.version(move.extent()) + " and not " + move.oldVersion());
        }
        Move switched = move.switched(version + 1);
        return new Transaction(seq + 1, epoch, version + 1, who, when, why,
                List.of(new Change(move.volume(), move.extent(), move.to(), version + 1)), switched);
    }

    /** A transaction that changes nothing but is on record. */
    public Transaction note(String who, long when, String why) {
        return new Transaction(seq + 1, epoch, version, who, when, why, List.of(), null);
    }

    /** A new epoch: heads follow it though versions may have gone back. */
    public Transaction newEpoch(String who, long when, String why) {
        return new Transaction(seq + 1, epoch + 1, version, who, when, why, List.of(), null);
    }

    /**
     * A new move, to be made durable.
     *
     * @throws IllegalArgumentException saying why there can't be one
     */
    public Move newMove(long volume, long extent, int to) {
        ExtentMap map = maps.volume(volume);
        if (map == null || extent < 0 || extent >= map.extents()) {
            throw new IllegalArgumentException("there is no extent " + extent + " of volume " + volume);
        }
        if (map.shard(extent) == to) {
            throw new IllegalArgumentException("extent " + extent + " of volume " + volume + " is at shard " + to);
        }
        for (Move move : moves.values()) {
            if (move.volume() == volume && move.extent() == extent) {
                throw new IllegalArgumentException("extent " + extent + " of volume " + volume + " is in move "
                        + move.id());
            }
        }
        return new Move(lastMove + 1, volume, extent, map.shard(extent), to, map.version(extent), 0,
                Move.State.COPYING);
    }

    /** What a holder of a version must be told: changes, or everything where it is too far back. */
    public MapMessage since(long heldEpoch, long held) {
        if (heldEpoch != epoch || held > version || held < horizon) {
            return maps.whole();
        }
        List<Change> changes = new ArrayList<>();
        for (Transaction t : history) {
            if (t.version() > held) {
                changes.addAll(t.changes());
            }
        }
        return new Changes(epoch, held, version, changes);
    }

    public Whole whole() {
        return maps.whole();
    }

    /** All state as a snapshot holds it: the maps, and the moves as transactions would say them. */
    public List<Move> moves() {
        return List.copyOf(moves.values());
    }

    /** Puts back the moves of a snapshot. */
    public void restore(List<Move> underWay, long lastMoveId) {
        underWay.forEach(m -> moves.put(m.id(), m));
        lastMove = lastMoveId;
    }

    public Iterable<Transaction> history() {
        return history;
    }

    public VolumeMap volume(long volume) {
        return maps.volume(volume) == null ? null : maps.volume(volume).whole();
    }

    public ExtentMap map(long volume) {
        return maps.volume(volume);
    }

    public long seq() {
        return seq;
    }

    public long epoch() {
        return epoch;
    }

    public long version() {
        return version;
    }

    public long lastMove() {
        return lastMove;
    }
}
