package garnetreel.testbed.node;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.codec.node.NodeMessage.Request;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.nio.ByteBuffer;
import java.util.List;

/** Executes requests on the disk of a fake node. */
final class RequestExecutor {
    /** Size in bytes of an entry in the answer to STATUS. */
    private static final int STATUS_ENTRY = 8;

    private final NodeSettings settings;
    private final Turn turn;
    private final MemoryDisk disk;
    private final LoadMeter meter;
    private final NodeTrace trace;

    RequestExecutor(NodeSettings settings, Turn turn, MemoryDisk disk, LoadMeter meter, NodeTrace trace) {
        this.settings = settings;
        this.turn = turn;
        this.disk = disk;
        this.meter = meter;
        this.trace = trace;
    }

    /**
     * Executes a request, unless it is a duplicate of one that is recorded as executed.
     *
     * @return the data of the answer
     * @throws DamagedPageException if a requested page does not match its checksum
     */
    ByteBuffer execute(ClientConnection connection, Request request) throws DamagedPageException {
        MemoryDisk.RequestIdentity identity =
                new MemoryDisk.RequestIdentity(connection.gateway, connection.incarnation, request.id());
        long windowStart = turn.now() - settings.deduplicationWindow();
        if (request.deduplicated() && request.op().changesData() && disk.wasExecuted(identity, windowStart)) {
            trace.request(Kind.REPEAT, connection, request, "");
            return NodeMessage.noData();
        }
        ByteBuffer data = access(request);
        if (request.op().changesData()) {
            disk.extents().markChanged(request.volume(), request.offset(), request.length());
        }
        long extent = disk.extents().extentOrMegabyte(request.volume(), request.offset());
        meter.countRequest(request.volume(), extent, request.units(), turn.now());
        if (request.deduplicated()) {
            disk.recordExecution(identity, turn.now());
        }
        if (request.sync() || request.op() == Op.FLUSH || settings.journal()) {
            disk.flush(windowStart);
        }
        trace.request(Kind.EXECUTE, connection, request, "");
        return data;
    }

    private ByteBuffer access(Request request) throws DamagedPageException {
        long volume = request.volume();
        switch (request.op()) {
            case READ -> {
                ByteBuffer data = ByteBuffer.allocate(request.length());
                disk.read(volume, request.offset(), request.length(), data);
                return data.flip();
            }
            case WRITE -> disk.write(volume, request.offset(), request.data());
            case ZERO -> disk.zero(volume, request.offset(), request.length(), false);
            case TRIM -> disk.zero(volume, request.offset(), request.length(), true);
            case STATUS -> {
                List<MemoryDisk.AllocationRange> ranges = disk.status(volume, request.offset(), request.length());
                ByteBuffer data = ByteBuffer.allocate(STATUS_ENTRY * ranges.size());
                ranges.forEach(range -> data.putInt(range.length()).putInt(range.flags()));
                return data.flip();
            }
            case FLUSH, CACHE -> {
                // The caller flushes; there is no cache to populate.
            }
        }
        return NodeMessage.noData();
    }
}
