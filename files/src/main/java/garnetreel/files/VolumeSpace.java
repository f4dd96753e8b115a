package garnetreel.files;

import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The owners of the blocks of one volume. A block is free, reserved for contents that are being written, assigned to the
 * contents of one file, or withheld: it has no owner, but a write that was sent for the last one may still change it. It
 * is in one of these states at a time: each transition below checks the state that it starts from and fails with an
 * {@link IllegalStateException} otherwise, before anything is changed or stored. Space is allocated first fit.
 */
final class VolumeSpace {
    /** Allocations are whole blocks, so that no two files share a block. */
    static final long BLOCK_BYTES = 4096;

    private final long usableBytes;
    private final ByteRanges free = new ByteRanges();
    private final ByteRanges reserved = new ByteRanges();
    private final ByteRanges withheld = new ByteRanges();

    /** Begins with the whole volume free, rounded down to blocks. */
    VolumeSpace(long volumeBytes) {
        usableBytes = volumeBytes / BLOCK_BYTES * BLOCK_BYTES;
        free.add(0, usableBytes);
    }

    private static long roundUpToBlocks(long length) {
        return (length + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }

    /**
     * Reserves free space: the first free range that is large enough, else several ranges; null if there is not enough
     * free space.
     */
    List<Piece> reserve(long length) {
        long needed = roundUpToBlocks(length);
        if (needed > free.totalBytes()) {
            return null;
        }
        for (Map.Entry<Long, Long> range : free.lengthsByOffset().entrySet()) {
            if (range.getValue() >= needed) {
                long offset = range.getKey();
                moveToReserved(offset, needed);
                return List.of(new Piece(offset, length));
            }
        }
        return reserveFragmented(length);
    }

    private List<Piece> reserveFragmented(long length) {
        List<Piece> pieces = new ArrayList<>();
        long remaining = length;
        while (remaining > 0) {
            long offset = free.firstOffset();
            long allocated = Math.min(free.lengthsByOffset().get(offset), roundUpToBlocks(remaining));
            moveToReserved(offset, allocated);
            long used = Math.min(allocated, remaining);
            pieces.add(new Piece(offset, used));
            remaining -= used;
        }
        return pieces;
    }

    private void moveToReserved(long offset, long length) {
        free.remove(offset, length);
        reserved.add(offset, length);
    }

    /** Assigns reserved pieces to the contents of a file. */
    void assign(List<Piece> pieces) {
        pieces.forEach(piece -> check(reserved.contains(piece.offset(), roundUpToBlocks(piece.length())), piece));
        pieces.forEach(piece -> reserved.remove(piece.offset(), roundUpToBlocks(piece.length())));
    }

    /** Ends the reservation of a piece. */
    void release(Piece piece, boolean withhold) {
        long length = roundUpToBlocks(piece.length());
        check(reserved.contains(piece.offset(), length), piece);
        reserved.remove(piece.offset(), length);
        (withhold ? withheld : free).add(piece.offset(), length);
    }

    /** Takes a piece from the file that it was assigned to. */
    void unassign(Piece piece, boolean withhold) {
        long length = roundUpToBlocks(piece.length());
        check(isAssigned(piece.offset(), length), piece);
        (withhold ? withheld : free).add(piece.offset(), length);
    }

    private boolean isAssigned(long offset, long length) {
        return !free.intersects(offset, length)
                && !reserved.intersects(offset, length)
                && !withheld.intersects(offset, length)
                && offset + length <= usableBytes;
    }

    /** Frees a withheld piece. */
    void reclaim(Piece piece) {
        long length = roundUpToBlocks(piece.length());
        check(withheld.contains(piece.offset(), length), piece);
        withheld.remove(piece.offset(), length);
        free.add(piece.offset(), length);
    }

    /** Withholds the free space within a range, and returns it. */
    List<Piece> withholdFree(long offset, long length) {
        List<Piece> pieces = free.within(offset, length);
        for (Piece piece : pieces) {
            free.remove(piece.offset(), piece.length());
            withheld.add(piece.offset(), piece.length());
        }
        return pieces;
    }

    /** Whether space is reserved or withheld. */
    boolean hasUnsettledSpace() {
        return reserved.totalBytes() > 0 || withheld.totalBytes() > 0;
    }

    /** Assigns a piece of a stored entry, which must be free, when the catalogue is recovered. */
    void assignStored(Piece piece) {
        long length = roundUpToBlocks(piece.length());
        check(free.contains(piece.offset(), length), piece);
        free.remove(piece.offset(), length);
    }

    private static void check(boolean holds, Piece piece) {
        if (!holds) {
            throw new IllegalStateException("bytes " + piece.offset() + " to "
                    + (piece.offset() + roundUpToBlocks(piece.length()))
                    + " are already allocated, have another owner or are outside the volume");
        }
    }

    long freeBytes() {
        return free.totalBytes();
    }
}
