package garnetreel.files;

import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Free stretches of one volume. What is taken is never given out again until it is given back whole. */
final class Space {
    /** Files begin where blocks do, so that two files never share one. */
    static final long BLOCK = 4096;

    private final TreeMap<Long, Long> free = new TreeMap<>();
    private long left;

    Space(long size) {
        long whole = size / BLOCK * BLOCK;
        free.put(0L, whole);
        left = whole;
    }

    private static long blocks(long length) {
        return (length + BLOCK - 1) / BLOCK * BLOCK;
    }

    /** Takes room for some bytes: one stretch where there is one, else several; null where there is not enough. */
    List<Piece> take(long length) {
        long wanted = blocks(length);
        if (wanted > left) {
            return null;
        }
        for (Map.Entry<Long, Long> hole : free.entrySet()) {
            if (hole.getValue() >= wanted) {
                long offset = hole.getKey();
                cut(offset, wanted);
                return List.of(new Piece(offset, length));
            }
        }
        List<Piece> pieces = new ArrayList<>();
        long still = length;
        while (still > 0) {
            long offset = free.firstKey();
            long taken = Math.min(free.get(offset), blocks(still));
            cut(offset, taken);
            pieces.add(new Piece(offset, Math.min(taken, still)));
            still -= Math.min(taken, still);
        }
        return pieces;
    }

    /** Takes a stretch that must be free. */
    void take(Piece piece) {
        if (piece.length() > 0) {
            cut(piece.offset(), blocks(piece.length()));
        }
    }

    private void cut(long offset, long length) {
        Map.Entry<Long, Long> hole = free.floorEntry(offset);
        if (hole == null || hole.getKey() + hole.getValue() < offset + length) {
            throw new IllegalStateException("bytes " + offset + " to " + (offset + length) + " are in use twice");
        }
        free.remove(hole.getKey());
        if (hole.getKey() < offset) {
            free.put(hole.getKey(), offset - hole.getKey());
        }
        long rest = hole.getKey() + hole.getValue() - offset - length;
        if (rest > 0) {
            free.put(offset + length, rest);
        }
        left -= length;
    }

    void give(Piece piece) {
        long offset = piece.offset();
        long length = blocks(piece.length());
        if (length == 0) {
            return;
        }
        left += length;
        Map.Entry<Long, Long> before = free.floorEntry(offset);
        if (before != null && before.getKey() + before.getValue() == offset) {
            offset = before.getKey();
            length += before.getValue();
            free.remove(before.getKey());
        }
        Long after = free.remove(offset + length);
        free.put(offset, length + (after == null ? 0 : after));
    }

    long left() {
        return left;
    }
}
