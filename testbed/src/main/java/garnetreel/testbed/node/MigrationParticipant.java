package garnetreel.testbed.node;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Step;
import garnetreel.testbed.node.ExtentTable.ExtentEntry;
import garnetreel.testbed.node.ExtentTable.ExtentId;
import garnetreel.testbed.node.ExtentTable.State;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeSet;

/**
 * A node's part in migrations: executes the commands of the map service on its disk. Commands are idempotent: a
 * repeated one gets the same report, except TAKE, which reports the changed pages that remain.
 */
final class MigrationParticipant {
    /** Bit of a page's index that marks the page as a hole, which is sent without data. */
    private static final int HOLE = 1 << 31;
    /** Size in bytes of an entry in the report of LIST_EXTENTS. */
    private static final int EXTENT_ENTRY = 29;
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
    CommandReport execute(ControlCommand command, boolean executing) {
        ExtentEntry entry = disk.extents()
                .entry(command.volume(), command.extent(), command.extentBytes(), isForOldHolder(command.step()));
        // Rejects delayed commands of an earlier incarnation of the map service, which could lift a fence.
        if (command.seq() < entry.highestCommandSeq) {
            return report(command, false, entry);
        }
        entry.highestCommandSeq = command.seq();
        return switch (command.step()) {
            case TRACK -> report(command, track(command, entry), entry);
            case TAKE -> take(command, entry);
            case FENCE -> fence(command, entry, executing);
            case UNFENCE -> report(command, unfence(command, entry), entry);
            case RELEASE -> report(command, release(command, entry), entry);
            case RECEIVE -> report(command, receive(command, entry), entry);
            case PUT -> report(command, put(command, entry), entry);
            case SERVE -> report(command, serve(command, entry), entry);
            case FORGET -> report(command, forget(command, entry), entry);
            case CHECKSUM -> checksum(command, entry);
            case LOAD, LIST_EXTENTS -> report(command, false, entry); // not steps of a migration
        };
    }

    /** Whether a step is for the old holder, which serves the extent without an entry until its first migration. */
    private static boolean isForOldHolder(Step step) {
        return switch (step) {
            case TRACK, TAKE, FENCE, RELEASE, UNFENCE, CHECKSUM -> true;
            case RECEIVE, PUT, SERVE, FORGET, LOAD, LIST_EXTENTS -> false;
        };
    }

    private static long extentOffset(ControlCommand command) {
        return command.extent() * command.extentBytes();
    }

    private CommandReport report(ControlCommand command, boolean ok, ExtentEntry entry) {
        return new CommandReport(command.seq(), ok, false, nodeIncarnation, entry.version, NodeMessage.noData());
    }

    private void discard(ControlCommand command) {
        disk.discard(command.volume(), extentOffset(command), command.extentBytes());
    }

    // ---------------------------------------------------------------- old holder

    private boolean track(ControlCommand command, ExtentEntry entry) {
        boolean held = entry.state == State.SERVING || entry.state == State.FENCED;
        if (!held || entry.version != command.version()) {
            return false;
        }
        entry.state = State.SERVING;
        entry.changedPages = new TreeSet<>();
        for (int page = 0; page < command.extentBytes() / MemoryDisk.PAGE_BYTES; page++) {
            if (disk.exists(command.volume(), extentOffset(command) + (long) page * MemoryDisk.PAGE_BYTES)) {
                entry.changedPages.add(page);
            }
        }
        return true;
    }

    private CommandReport take(ControlCommand command, ExtentEntry entry) {
        if (entry.changedPages == null) {
            return report(command, false, entry);
        }
        ByteBuffer pages = ByteBuffer.allocate(Math.max(PAGE_ENTRY, command.maxBytes()));
        while (!entry.changedPages.isEmpty() && pages.remaining() >= PAGE_ENTRY) {
            int page = entry.changedPages.first();
            long offset = extentOffset(command) + (long) page * MemoryDisk.PAGE_BYTES;
            try {
                if (disk.exists(command.volume(), offset)) {
                    pages.putInt(page);
                    disk.read(command.volume(), offset, MemoryDisk.PAGE_BYTES, pages);
                } else {
                    pages.putInt(page | HOLE);
                }
            } catch (DamagedPageException e) {
                return report(command, false, entry);
            }
            entry.changedPages.remove(page);
        }
        boolean more = !entry.changedPages.isEmpty();
        return new CommandReport(command.seq(), true, more, nodeIncarnation, entry.version, pages.flip());
    }

    private CommandReport fence(ControlCommand command, ExtentEntry entry, boolean executing) {
        if (entry.changedPages == null || entry.version != command.version()) {
            return report(command, false, entry);
        }
        entry.state = State.FENCED;
        return new CommandReport(
                command.seq(), !executing, executing, nodeIncarnation, entry.version, NodeMessage.noData());
    }

    private boolean unfence(ControlCommand command, ExtentEntry entry) {
        if (entry.state == State.FENCED && entry.version == command.version()) {
            entry.state = State.SERVING;
        }
        entry.changedPages = null;
        return true;
    }

    private boolean release(ControlCommand command, ExtentEntry entry) {
        if (entry.version < command.version()) {
            entry.state = State.GONE;
            entry.version = command.version();
            entry.changedPages = null;
            discard(command);
        }
        return true;
    }

    private CommandReport checksum(ControlCommand command, ExtentEntry entry) {
        if (entry.state != State.SERVING || entry.version != command.version()) {
            return report(command, false, entry);
        }
        try {
            ByteBuffer checksum = ByteBuffer.allocate(Integer.BYTES)
                    .putInt(disk.checksum(command.volume(), extentOffset(command), command.extentBytes()))
                    .flip();
            return new CommandReport(command.seq(), true, false, nodeIncarnation, entry.version, checksum);
        } catch (DamagedPageException e) {
            return report(command, false, entry);
        }
    }

    // ---------------------------------------------------------------- new holder

    private boolean receive(ControlCommand command, ExtentEntry entry) {
        if (entry.state != State.GONE && entry.state != State.RECEIVING) {
            return false;
        }
        entry.state = State.RECEIVING;
        discard(command);
        return true;
    }

    private boolean put(ControlCommand command, ExtentEntry entry) {
        if (entry.state != State.RECEIVING) {
            return false;
        }
        ByteBuffer pages = command.data().duplicate();
        while (pages.remaining() >= Integer.BYTES) {
            int page = pages.getInt();
            long offset = extentOffset(command) + (long) (page & ~HOLE) * MemoryDisk.PAGE_BYTES;
            if ((page & HOLE) != 0) {
                disk.zero(command.volume(), offset, MemoryDisk.PAGE_BYTES, true);
            } else {
                disk.write(command.volume(), offset, pages.slice(pages.position(), MemoryDisk.PAGE_BYTES));
                pages.position(pages.position() + MemoryDisk.PAGE_BYTES);
            }
        }
        // The received pages must survive a crash that the map service does not notice.
        disk.flush(Long.MIN_VALUE);
        return true;
    }

    private boolean serve(ControlCommand command, ExtentEntry entry) {
        if (entry.state == State.RECEIVING && entry.version < command.version()) {
            entry.state = State.SERVING;
            entry.version = command.version();
        }
        return entry.state == State.SERVING && entry.version >= command.version() || entry.version > command.version();
    }

    private boolean forget(ControlCommand command, ExtentEntry entry) {
        if (entry.state == State.RECEIVING) {
            entry.state = State.GONE;
            discard(command);
        }
        return true;
    }

    // ---------------------------------------------------------------- extents of the node

    /** Reports the entries after the extent given in the command, as many as the report has room for. */
    CommandReport listExtents(ControlCommand command) {
        ExtentTable extents = disk.extents();
        ByteBuffer data = ByteBuffer.allocate(Math.max(EXTENT_ENTRY, command.maxBytes()));
        boolean more = false;
        for (Map.Entry<ExtentId, ExtentEntry> entry :
                extents.entriesAfter(command.volume(), command.extent()).entrySet()) {
            if (data.remaining() < EXTENT_ENTRY) {
                more = true;
                break;
            }
            ExtentId id = entry.getKey();
            data.putLong(id.volume())
                    .putLong(id.extent())
                    .putInt(extents.extentBytes(id.volume()))
                    .put(entry.getValue().state.code())
                    .putLong(entry.getValue().version);
        }
        return new CommandReport(command.seq(), true, more, nodeIncarnation, 0, data.flip());
    }
}
