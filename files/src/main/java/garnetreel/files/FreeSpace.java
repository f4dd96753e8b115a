package garnetreel.files;

import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** First-fit allocator of the space of one volume. */
final class FreeSpace {
    /** Allocations are whole blocks, so that no two files share a block. */
    static final long BLOCK_BYTES = 4096;

    /** Lengths of free ranges by offset; adjacent ranges are merged. */
    private final TreeMap<Long, Long> freeRanges = new TreeMap<>();

    private long freeBytes;

    /** Begins with the whole volume free, rounded down to blocks. */
    FreeSpace(long volumeBytes) {
        long usable = volumeBytes / BLOCK_BYTES * BLOCK_BYTES;
        freeRanges.put(0L, usable);
        freeBytes = usable;
    }

    private static long roundUpToBlocks(long length) {
        return (length + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }

    /**
     * Allocates space: the first free range that is large enough, else several ranges; null if there is not enough free
     * space.
     */
    List<Piece> allocate(long length) {
        long needed = roundUpToBlocks(length);
        if (needed > freeBytes) {
            return null;
        }
        for (Map.Entry<Long, Long> range : freeRanges.entrySet()) {
            if (range.getValue() >= needed) {
                long offset = range.getKey();
                takeRange(offset, needed);
                return List.of(new Piece(offset, length));
            }
        }
        return allocateFragmented(length);
    }

    private List<Piece> allocateFragmented(long length) {
        List<Piece> pieces = new ArrayList<>();
        long remaining = length;
        while (remaining > 0) {
            long offset = freeRanges.firstKey();
            long allocated = Math.min(freeRanges.get(offset), roundUpToBlocks(remaining));
            takeRange(offset, allocated);
            long used = Math.min(allocated, remaining);
            pieces.add(new Piece(offset, used));
            remaining -= used;
        }
        return pieces;
    }

    /**
     * Marks a piece of a stored entry as allocated.
     *
     * @throws IllegalStateException if a part of it is allocated already or outside the volume
     */
    void markAllocated(Piece piece) {
        if (piece.length() > 0) {
            takeRange(piece.offset(), roundUpToBlocks(piece.length()));
        }
    }

    private void takeRange(long offset, long length) {
        Map.Entry<Long, Long> range = freeRanges.floorEntry(offset);
        if (range == null || range.getKey() + range.getValue() < offset + length) {
            throw new IllegalStateException(
                    "bytes " + offset + " to " + (offset + length) + " are already allocated or outside the volume");
        }
        freeRanges.remove(range.getKey());
        if (range.getKey() < offset) {
            freeRanges.put(range.getKey(), offset - range.getKey());
        }
        long remainder = range.getKey() + range.getValue() - offset - length;
        if (remainder > 0) {
            freeRanges.put(offset + length, remainder);
        }
        freeBytes -= length;
    }

    /** Frees an allocated piece and merges it with adjacent free ranges. */
    void free(Piece piece) {
        long offset = piece.offset();
        long length = roundUpToBlocks(piece.length());
        if (length == 0) {
            return;
        }
        freeBytes += length;
        Map.Entry<Long, Long> before = freeRanges.floorEntry(offset);
        if (before != null && before.getKey() + before.getValue() == offset) {
            offset = before.getKey();
            length += before.getValue();
            freeRanges.remove(before.getKey());
        }
        Long after = freeRanges.remove(offset + length);
        freeRanges.put(offset, length + (after == null ? 0 : after));
    }

    long freeBytes() {
        return freeBytes;
    }
}
