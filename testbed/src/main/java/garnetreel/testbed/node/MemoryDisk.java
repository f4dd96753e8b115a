package garnetreel.testbed.node;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The storage of a fake node: pages with checksums. Pages written since the last flush are kept separately, so that a
 * crash loses exactly these, together with the records of the requests with idempotency keys that wrote them.
 */
public final class MemoryDisk {
    /** Size of a page in bytes. */
    public static final int PAGE_BYTES = 4096;
    /** Flags of an unallocated range, as in NBD's base:allocation context. */
    private static final int HOLE_AND_ZERO = 3;
    /** Flag of an allocated range that reads as zeroes. */
    private static final int ZERO = 2;
    /** Maximum number of pages of a volume: a page's key is the volume's number times this plus the page's index. */
    private static final long PAGES_PER_VOLUME = 1L << 40;

    private static final byte[] ZERO_BYTES = new byte[PAGE_BYTES];
    /** Stands for each page that was written with zeroes as a whole. */
    private static final Page ZEROES = new Page(ZERO_BYTES);
    /** Stands for each page that was trimmed. */
    private static final Page TRIMMED = new Page(ZERO_BYTES);

    private static final class Page {
        final byte[] bytes;
        final int checksum;

        Page(byte[] bytes) {
            this.bytes = bytes;
            checksum = computeChecksum();
        }

        int computeChecksum() {
            CRC32C crc32c = new CRC32C();
            crc32c.update(bytes, 0, PAGE_BYTES);
            return (int) crc32c.getValue();
        }
    }

    /**
     * A range of consecutive bytes with the same allocation state.
     *
     * @param flags flags of NBD's base:allocation context
     */
    public record AllocationRange(int length, int flags) {}

    /**
     * Identifies a request with an idempotency key: the id is unique within one incarnation of a gateway.
     *
     * @param gateway number of the gateway
     */
    public record RequestIdentity(int gateway, long incarnation, long id) {}

    private final ExtentTable extents = new ExtentTable();
    private final Map<Long, Page> durable = new HashMap<>();
    private final Map<Long, Page> unflushed = new HashMap<>();
    private final Map<RequestIdentity, Long> durableExecutions = new HashMap<>();
    private final Map<RequestIdentity, Long> unflushedExecutions = new HashMap<>();

    /** The extents that the node holds; changes are durable at once. */
    ExtentTable extents() {
        return extents;
    }

    /** Whether the page at an offset is allocated. */
    boolean exists(long volume, long offset) {
        Page page = page(volume, offset / PAGE_BYTES);
        return page != null && page != TRIMMED;
    }

    /** Durably discards a range whose extent another node holds. */
    void discard(long volume, long offset, long length) {
        for (long index = offset / PAGE_BYTES; index < (offset + length) / PAGE_BYTES; index++) {
            unflushed.remove(key(volume, index));
            durable.remove(key(volume, index));
        }
    }

    private static long key(long volume, long index) {
        return volume * PAGES_PER_VOLUME + index;
    }

    private Page page(long volume, long index) {
        long key = key(volume, index);
        Page page = unflushed.get(key);
        return page != null ? page : durable.get(key);
    }

    /** Reads a range into a buffer. */
    public void read(long volume, long offset, int length, ByteBuffer target) throws DamagedPageException {
        long position = offset;
        long end = offset + length;
        while (position < end) {
            int offsetInPage = (int) (position % PAGE_BYTES);
            int partLength = (int) Math.min(PAGE_BYTES - offsetInPage, end - position);
            Page page = page(volume, position / PAGE_BYTES);
            if (page != null && page.computeChecksum() != page.checksum) {
                throw new DamagedPageException(
                        "page " + position / PAGE_BYTES + " of volume " + volume + " does not match its checksum");
            }
            target.put(page == null ? ZERO_BYTES : page.bytes, offsetInPage, partLength);
            position += partLength;
        }
    }

    /** Writes bytes; the buffer's position is not changed. */
    public void write(long volume, long offset, ByteBuffer data) {
        ByteBuffer from = data.duplicate();
        long position = offset;
        while (from.hasRemaining()) {
            int offsetInPage = (int) (position % PAGE_BYTES);
            int partLength = Math.min(PAGE_BYTES - offsetInPage, from.remaining());
            Page old = partLength == PAGE_BYTES ? null : page(volume, position / PAGE_BYTES);
            byte[] bytes = old == null ? new byte[PAGE_BYTES] : old.bytes.clone();
            from.get(bytes, offsetInPage, partLength);
            unflushed.put(key(volume, position / PAGE_BYTES), new Page(bytes));
            position += partLength;
        }
    }

    /** Makes a range read as zeroes; with {@code trim} whole pages are deallocated, otherwise allocated. */
    public void zero(long volume, long offset, long length, boolean trim) {
        long position = offset;
        long end = offset + length;
        while (position < end) {
            int offsetInPage = (int) (position % PAGE_BYTES);
            int partLength = (int) Math.min(PAGE_BYTES - offsetInPage, end - position);
            if (partLength == PAGE_BYTES) {
                unflushed.put(key(volume, position / PAGE_BYTES), trim ? TRIMMED : ZEROES);
            } else if (page(volume, position / PAGE_BYTES) != null || !trim) {
                write(volume, position, ByteBuffer.allocate(partLength));
            }
            position += partLength;
        }
    }

    /** The allocation states that cover a range, in order. */
    public List<AllocationRange> status(long volume, long offset, long length) {
        List<AllocationRange> ranges = new ArrayList<>();
        long position = offset;
        long end = offset + length;
        while (position < end) {
            int partLength = (int) Math.min(PAGE_BYTES - position % PAGE_BYTES, end - position);
            Page page = page(volume, position / PAGE_BYTES);
            int flags = allocationFlags(page);
            AllocationRange last = ranges.isEmpty() ? null : ranges.get(ranges.size() - 1);
            if (last != null && last.flags() == flags) {
                ranges.set(ranges.size() - 1, new AllocationRange(last.length() + partLength, flags));
            } else {
                ranges.add(new AllocationRange(partLength, flags));
            }
            position += partLength;
        }
        return ranges;
    }

    private static int allocationFlags(Page page) {
        if (page == null || page == TRIMMED) {
            return HOLE_AND_ZERO;
        }
        return page == ZEROES ? ZERO : 0;
    }

    /** Records that a request with an idempotency key was executed. */
    public void recordExecution(RequestIdentity request, long now) {
        unflushedExecutions.put(request, now);
    }

    /** Whether a request with an idempotency key is recorded as executed at or after a time. */
    public boolean wasExecuted(RequestIdentity request, long since) {
        Long executedAt = unflushedExecutions.containsKey(request)
                ? unflushedExecutions.get(request)
                : durableExecutions.get(request);
        return executedAt != null && executedAt >= since;
    }

    /** Number of unflushed pages. */
    public int unflushedPages() {
        return unflushed.size();
    }

    /** Makes all writes durable, and drops records of requests with idempotency keys executed before a time. */
    public void flush(long executedBefore) {
        unflushed.forEach((key, page) -> {
            if (page == TRIMMED) {
                durable.remove(key);
            } else {
                durable.put(key, page);
            }
        });
        unflushed.clear();
        durableExecutions.putAll(unflushedExecutions);
        unflushedExecutions.clear();
        durableExecutions.values().removeIf(executedAt -> executedAt < executedBefore);
    }

    /** Simulates a crash: discards all unflushed pages and records. */
    public void crash() {
        unflushed.clear();
        unflushedExecutions.clear();
        extents.crash();
    }

    /** Allocated bytes. */
    public long usedBytes() {
        long pages = durable.size();
        for (Map.Entry<Long, Page> entry : unflushed.entrySet()) {
            int before = durable.containsKey(entry.getKey()) ? 1 : 0;
            int after = entry.getValue() == TRIMMED ? 0 : 1;
            pages += after - before;
        }
        return pages * PAGE_BYTES;
    }

    /** CRC32C of the data that a read of a range returns. */
    int checksum(long volume, long offset, long length) throws DamagedPageException {
        CRC32C crc = new CRC32C();
        ByteBuffer page = ByteBuffer.allocate(PAGE_BYTES);
        for (long position = offset; position < offset + length; position += PAGE_BYTES) {
            page.clear();
            read(volume, position, (int) Math.min(PAGE_BYTES, offset + length - position), page);
            crc.update(page.flip());
        }
        return (int) crc.getValue();
    }

    /** Flips a bit of a stored page, to test checksums; false if there are no stored bytes at the offset. */
    public boolean damage(long volume, long offset) {
        Page page = page(volume, offset / PAGE_BYTES);
        if (page == null || page == ZEROES || page == TRIMMED) {
            return false;
        }
        page.bytes[(int) (offset % PAGE_BYTES)] ^= 1;
        return true;
    }
}
