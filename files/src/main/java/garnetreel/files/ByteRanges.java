package garnetreel.files;

import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A set of byte positions of a volume, kept as disjoint ranges; adjacent ranges are merged. */
final class ByteRanges {
    /** Lengths of the ranges by offset. */
    private final TreeMap<Long, Long> ranges = new TreeMap<>();

    private long totalBytes;

    /** Number of bytes in the set. */
    long totalBytes() {
        return totalBytes;
    }

    /** Lengths of the ranges by offset, in ascending order. */
    Map<Long, Long> lengthsByOffset() {
        return ranges;
    }

    /** Offset of the first range; there must be one. */
    long firstOffset() {
        return ranges.firstKey();
    }

    /** Whether the set contains every byte of a range. */
    boolean contains(long offset, long length) {
        Map.Entry<Long, Long> range = ranges.floorEntry(offset);
        return length == 0 || range != null && range.getKey() + range.getValue() >= offset + length;
    }

    /** Whether the set contains any byte of a range. */
    boolean intersects(long offset, long length) {
        Map.Entry<Long, Long> before = ranges.lowerEntry(offset + length);
        return length > 0 && before != null && before.getKey() + before.getValue() > offset;
    }

    /** The parts of the set within a range, in ascending order. */
    List<Piece> within(long offset, long length) {
        List<Piece> parts = new ArrayList<>();
        Long first = ranges.floorKey(offset);
        ranges.subMap(first == null ? offset : first, offset + length).forEach((start, size) -> {
            long from = Math.max(start, offset);
            long to = Math.min(start + size, offset + length);
            if (from < to) {
                parts.add(new Piece(from, to - from));
            }
        });
        return parts;
    }

    /** Adds a range of which the set contains no byte. */
    void add(long offset, long length) {
        if (length == 0) {
            return;
        }
        totalBytes += length;
        long mergedOffset = offset;
        long mergedLength = length;
        Map.Entry<Long, Long> before = ranges.floorEntry(offset);
        if (before != null && before.getKey() + before.getValue() == offset) {
            mergedOffset = before.getKey();
            mergedLength += before.getValue();
            ranges.remove(before.getKey());
        }
        Long after = ranges.remove(offset + length);
        ranges.put(mergedOffset, mergedLength + (after == null ? 0 : after));
    }

    /** Removes a range of which the set contains every byte. */
    void remove(long offset, long length) {
        if (length == 0) {
            return;
        }
        totalBytes -= length;
        Map.Entry<Long, Long> range = ranges.floorEntry(offset);
        ranges.remove(range.getKey());
        if (range.getKey() < offset) {
            ranges.put(range.getKey(), offset - range.getKey());
        }
        long remainder = range.getKey() + range.getValue() - offset - length;
        if (remainder > 0) {
            ranges.put(offset + length, remainder);
        }
    }
}
