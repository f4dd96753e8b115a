package garnetreel.testbed.node;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Step;
import garnetreel.testbed.node.OwnershipTable.ExtentId;
import garnetreel.testbed.node.OwnershipTable.Ownership;
import garnetreel.testbed.node.OwnershipTable.State;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeSet;

/**
 * A node's part in migrations: executes the orders of the map service on its disk. Orders are idempotent: a repeated
 * order gets the same answer.
 */
final class MigrationParticipant {
    /** Bit of a page's index that marks the page as a hole, which is sent without data. */
    private static final int HOLE = 1 << 31;
    /** Size in bytes of an entry in an ownership report. */
    private static final int OWNERSHIP_ENTRY = 29;
    /** Size in bytes of a page on the wire: its index and its data. */
    private static final int PAGE_ENTRY = Integer.BYTES + MemoryDisk.PAGE_BYTES;

    private final MemoryDisk disk;
    private final long nodeIncarnation;

    MigrationParticipant(MemoryDisk disk, long nodeIncarnation) {
        this.disk = disk;
        this.nodeIncarnation = nodeIncarnation;
    }

    /**
     * Executes one step of a migration.
     *
     * @param executing whether requests for the extent are being executed
     */
    CommandReport execute(ControlCommand order, boolean executing) {
        Ownership entry =
                disk.ownership().entry(order.volume(), order.extent(), order.extentBytes(), isForSource(order.step()));
        // Rejects delayed orders of an earlier incarnation of the map service, which could lift a fence.
        if (order.seq() < entry.highestOrder) {
            return report(order, false, entry);
        }
        entry.highestOrder = order.seq();
        return switch (order.step()) {
            case TRACK -> report(order, track(order, entry), entry);
            case TAKE -> take(order, entry);
            case FENCE -> fence(order, entry, executing);
            case UNFENCE -> report(order, unfence(order, entry), entry);
            case RELEASE -> report(order, release(order, entry), entry);
            case RECEIVE -> report(order, receive(order, entry), entry);
            case PUT -> report(order, put(order, entry), entry);
            case SERVE -> report(order, serve(order, entry), entry);
            case FORGET -> report(order, forget(order, entry), entry);
            case CHECKSUM -> checksum(order, entry);
            case LOAD, LIST_EXTENTS -> report(order, false, entry); // not steps of a migration
        };
    }

    /** Whether a step is for the source node, which serves the extent without an entry until its first migration. */
    private static boolean isForSource(Step step) {
        return switch (step) {
            case TRACK, TAKE, FENCE, RELEASE, UNFENCE, CHECKSUM -> true;
            case RECEIVE, PUT, SERVE, FORGET, LOAD, LIST_EXTENTS -> false;
        };
    }

    private static long extentOffset(ControlCommand order) {
        return order.extent() * order.extentBytes();
    }

    private CommandReport report(ControlCommand order, boolean ok, Ownership entry) {
        return new CommandReport(order.seq(), ok, false, nodeIncarnation, entry.version, NodeMessage.noData());
    }

    private void discard(ControlCommand order) {
        disk.discard(order.volume(), extentOffset(order), order.extentBytes());
    }

    // ---------------------------------------------------------------- source node

    private boolean track(ControlCommand order, Ownership entry) {
        boolean owned = entry.state == State.SERVING || entry.state == State.FENCED;
        if (!owned || entry.version != order.version()) {
            return false;
        }
        entry.state = State.SERVING;
        entry.changedPages = new TreeSet<>();
        for (int page = 0; page < order.extentBytes() / MemoryDisk.PAGE_BYTES; page++) {
            if (disk.exists(order.volume(), extentOffset(order) + (long) page * MemoryDisk.PAGE_BYTES)) {
                entry.changedPages.add(page);
            }
        }
        return true;
    }

    private CommandReport take(ControlCommand order, Ownership entry) {
        if (entry.changedPages == null) {
            return report(order, false, entry);
        }
        ByteBuffer pages = ByteBuffer.allocate(Math.max(PAGE_ENTRY, order.maxBytes()));
        while (!entry.changedPages.isEmpty() && pages.remaining() >= PAGE_ENTRY) {
            int page = entry.changedPages.first();
            long offset = extentOffset(order) + (long) page * MemoryDisk.PAGE_BYTES;
            try {
                if (disk.exists(order.volume(), offset)) {
                    pages.putInt(page);
                    disk.read(order.volume(), offset, MemoryDisk.PAGE_BYTES, pages);
                } else {
                    pages.putInt(page | HOLE);
                }
            } catch (DamagedPageException e) {
                return report(order, false, entry);
            }
            entry.changedPages.remove(page);
        }
        boolean more = !entry.changedPages.isEmpty();
        return new CommandReport(order.seq(), true, more, nodeIncarnation, entry.version, pages.flip());
    }

    private CommandReport fence(ControlCommand order, Ownership entry, boolean executing) {
        if (entry.changedPages == null || entry.version != order.version()) {
            return report(order, false, entry);
        }
        entry.state = State.FENCED;
        return new CommandReport(
                order.seq(), !executing, executing, nodeIncarnation, entry.version, NodeMessage.noData());
    }

    private boolean unfence(ControlCommand order, Ownership entry) {
        if (entry.state == State.FENCED && entry.version == order.version()) {
            entry.state = State.SERVING;
        }
        entry.changedPages = null;
        return true;
    }

    private boolean release(ControlCommand order, Ownership entry) {
        if (entry.version < order.version()) {
            entry.state = State.GONE;
            entry.version = order.version();
            entry.changedPages = null;
            discard(order);
        }
        return true;
    }

    private CommandReport checksum(ControlCommand order, Ownership entry) {
        if (entry.state != State.SERVING || entry.version != order.version()) {
            return report(order, false, entry);
        }
        try {
            ByteBuffer checksum = ByteBuffer.allocate(Integer.BYTES)
                    .putInt(disk.checksum(order.volume(), extentOffset(order), order.extentBytes()))
                    .flip();
            return new CommandReport(order.seq(), true, false, nodeIncarnation, entry.version, checksum);
        } catch (DamagedPageException e) {
            return report(order, false, entry);
        }
    }

    // ---------------------------------------------------------------- target node

    private boolean receive(ControlCommand order, Ownership entry) {
        if (entry.state != State.GONE && entry.state != State.RECEIVING) {
            return false;
        }
        entry.state = State.RECEIVING;
        discard(order);
        return true;
    }

    private boolean put(ControlCommand order, Ownership entry) {
        if (entry.state != State.RECEIVING) {
            return false;
        }
        ByteBuffer pages = order.data().duplicate();
        while (pages.remaining() >= Integer.BYTES) {
            int page = pages.getInt();
            long offset = extentOffset(order) + (long) (page & ~HOLE) * MemoryDisk.PAGE_BYTES;
            if ((page & HOLE) != 0) {
                disk.zero(order.volume(), offset, MemoryDisk.PAGE_BYTES, true);
            } else {
                disk.write(order.volume(), offset, pages.slice(pages.position(), MemoryDisk.PAGE_BYTES));
                pages.position(pages.position() + MemoryDisk.PAGE_BYTES);
            }
        }
        // The received pages must survive a crash that the map service does not notice.
        disk.flush(Long.MIN_VALUE);
        return true;
    }

    private boolean serve(ControlCommand order, Ownership entry) {
        if (entry.state == State.RECEIVING && entry.version < order.version()) {
            entry.state = State.SERVING;
            entry.version = order.version();
        }
        return entry.state == State.SERVING && entry.version >= order.version() || entry.version > order.version();
    }

    private boolean forget(ControlCommand order, Ownership entry) {
        if (entry.state == State.RECEIVING) {
            entry.state = State.GONE;
            discard(order);
        }
        return true;
    }

    // ---------------------------------------------------------------- ownership

    /** Reports the entries after the extent given in the order, as many as the report has room for. */
    CommandReport reportOwnership(ControlCommand order) {
        OwnershipTable ownership = disk.ownership();
        ByteBuffer data = ByteBuffer.allocate(Math.max(OWNERSHIP_ENTRY, order.maxBytes()));
        boolean more = false;
        for (Map.Entry<ExtentId, Ownership> entry :
                ownership.entriesAfter(order.volume(), order.extent()).entrySet()) {
            if (data.remaining() < OWNERSHIP_ENTRY) {
                more = true;
                break;
            }
            ExtentId id = entry.getKey();
            data.putLong(id.volume())
                    .putLong(id.extent())
                    .putInt(ownership.extentBytes(id.volume()))
                    .put(entry.getValue().state.code())
                    .putLong(entry.getValue().version);
        }
        return new CommandReport(order.seq(), true, more, nodeIncarnation, 0, data.flip());
    }
}
