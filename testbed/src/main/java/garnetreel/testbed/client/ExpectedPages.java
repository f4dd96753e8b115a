package garnetreel.testbed.client;

import garnetreel.testbed.node.MemoryDisk;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The contents that a read may return, for each page that only this client writes. A write fills its pages with one
 * number, its stamp. After an acknowledged write only its stamp is expected; a failed write may or may not have taken
 * effect, and may still do so for a short time. Its stamp is accepted until a write is acknowledged after that time.
 */
final class ExpectedPages {
    /** Microseconds for which a write of unknown outcome may still take effect: a node completes work it has begun. */
    private static final long LATE_WRITE_WINDOW = 2_000_000;

    private static final int WORDS_PER_PAGE = MemoryDisk.PAGE_BYTES / Long.BYTES;

    private static final class Page {
        /** Stamp of the last acknowledged write. */
        long acknowledged;
        /** Stamps of writes of unknown outcome, and when each write ended. */
        final Map<Long, Long> unknownOutcomes = new LinkedHashMap<>();
    }

    private final Map<Long, Page> pages = new HashMap<>();

    /** Returns the data of a write: the stamp, repeated up to the length. */
    static byte[] pageContents(long stamp, int length) {
        ByteBuffer data = ByteBuffer.allocate(length);
        while (data.hasRemaining()) {
            data.putLong(stamp);
        }
        return data.array();
    }

    /** Records that a write was acknowledged without an error. */
    void recordAcknowledged(long offset, int length, long stamp, long now) {
        for (long position = offset; position < offset + length; position += MemoryDisk.PAGE_BYTES) {
            Page page = page(position);
            page.acknowledged = stamp;
            page.unknownOutcomes.values().removeIf(since -> since < now - LATE_WRITE_WINDOW);
        }
    }

    /** Records that a write failed or was not answered. */
    void recordUnknownOutcome(long offset, int length, long stamp, long now) {
        for (long position = offset; position < offset + length; position += MemoryDisk.PAGE_BYTES) {
            page(position).unknownOutcomes.put(stamp, now);
        }
    }

    /** Describes how data that was read differs from the expected contents; null if it does not. */
    String mismatch(long offset, byte[] data) {
        ByteBuffer contents = ByteBuffer.wrap(data);
        for (int position = 0; position < data.length; position += MemoryDisk.PAGE_BYTES) {
            Page page = page(offset + position);
            long stamp = contents.getLong(position);
            for (int word = 1; word < WORDS_PER_PAGE; word++) {
                if (contents.getLong(position + word * Long.BYTES) != stamp) {
                    return "page at " + (offset + position) + " holds parts of two writes";
                }
            }
            if (stamp != page.acknowledged && !page.unknownOutcomes.containsKey(stamp)) {
                return "page at " + (offset + position) + " shows write " + stamp + ", and write " + page.acknowledged
                        + " was acknowledged";
            }
        }
        return null;
    }

    private Page page(long offset) {
        return pages.computeIfAbsent(offset / MemoryDisk.PAGE_BYTES, index -> new Page());
    }

    /** Offsets of the slots that contain a written page, in ascending order. */
    List<Long> writtenSlots(int slotBytes) {
        return pages.keySet().stream()
                .map(page -> page * MemoryDisk.PAGE_BYTES / slotBytes * slotBytes)
                .distinct()
                .sorted()
                .toList();
    }
}
