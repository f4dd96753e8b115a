package garnetreel.core.server;

import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdRequestParser.Header;
import garnetreel.codec.nbd.NbdWriter;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.request.BlockBackend;
import garnetreel.core.request.BlockBackend.ReplyStatus;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/** A request in progress; writes its reply in the form negotiated on its connection. */
final class NbdRequest implements BlockBackend.Callback {
    /** Minimum run of zeroes that is sent as a hole; a separate chunk does not pay off for less. */
    private static final int MIN_HOLE_BYTES = 32 << 10;

    private static final byte[] ZEROES = new byte[MIN_HOLE_BYTES];

    final Header header;
    /** Bytes reserved for the request in the byte budget. */
    final long reservedBytes;
    /** Set when the call that submits the request to the backend returns, which may be after the reply. */
    BlockBackend.OperationHandle operation;

    private final NbdSession session;
    private final boolean structuredReplies;

    NbdRequest(NbdSession session, Header header, long reservedBytes, boolean structuredReplies) {
        this.session = session;
        this.header = header;
        this.reservedBytes = reservedBytes;
        this.structuredReplies = structuredReplies;
    }

    Op op() {
        return switch (header.type()) {
            case Nbd.CMD_READ -> Op.READ;
            case Nbd.CMD_WRITE -> Op.WRITE;
            case Nbd.CMD_FLUSH -> Op.FLUSH;
            case Nbd.CMD_TRIM -> Op.TRIM;
            case Nbd.CMD_CACHE -> Op.CACHE;
            case Nbd.CMD_WRITE_ZEROES -> Op.ZERO;
            default -> Op.STATUS;
        };
    }

    @Override
    public void completed(BlockBackend.Reply reply) {
        if (reply.status() != ReplyStatus.SERVED) {
            writeError(reply);
        } else if (op() == Op.READ) {
            writeData(reply.data());
        } else if (op() == Op.STATUS) {
            session.write(
                    NbdWriter.blockStatus(header.cookie(), OptionHandler.ALLOCATION_ID, extents(reply.extents())));
        } else {
            writeSimple();
        }
        session.replied(this);
    }

    private void writeError(BlockBackend.Reply reply) {
        // ENOMEM: temporary lack of resources, worth a retry; EIO: outcome unknown. docs/gateway.md compares the
        // alternatives.
        int code = reply.status() == ReplyStatus.REJECTED ? Nbd.ENOMEM : Nbd.EIO;
        long offset = op() == Op.FLUSH ? NbdSession.NO_OFFSET : reply.errorOffset();
        session.error(header.cookie(), code, reply.message(), offset);
    }

    private void writeSimple() {
        session.write(NbdWriter.simpleReply(0, header.cookie(), 0).flip());
    }

    private List<NbdWriter.Extent> extents(List<BlockBackend.BlockStatusRange> statuses) {
        List<NbdWriter.Extent> extents = statuses.stream()
                .map(s -> new NbdWriter.Extent(s.length(), s.flags()))
                .toList();
        return (header.flags() & Nbd.FLAG_REQ_ONE) != 0 ? extents.subList(0, 1) : extents;
    }

    private void writeData(ByteBuffer data) {
        if (!structuredReplies) {
            writeSimple();
            session.write(data);
        } else if ((header.flags() & Nbd.FLAG_DF) != 0) {
            writeDataChunk(data, 0, data.remaining(), true);
        } else {
            writeChunks(data);
        }
    }

    /** Writes one chunk for each run of data and for each run of complete blocks of zeroes. */
    private void writeChunks(ByteBuffer data) {
        int end = data.remaining();
        int runStart = 0;
        boolean runIsZero = isZeroBlock(data, 0, end);
        int position = 0;
        while (position < end) {
            int next = Math.min(end, position + MIN_HOLE_BYTES);
            boolean last = next == end;
            boolean nextIsZero = last ? runIsZero : isZeroBlock(data, next, end);
            if (last || nextIsZero != runIsZero) {
                if (runIsZero) {
                    writeHole(runStart, next, last);
                } else {
                    writeDataChunk(data, runStart, next, last);
                }
                runStart = next;
                runIsZero = nextIsZero;
            }
            position = next;
        }
    }

    /** Whether the block at an offset is complete and all zeroes. */
    private static boolean isZeroBlock(ByteBuffer data, int offset, int end) {
        if (offset + MIN_HOLE_BYTES > end || data.get(data.position() + offset) != 0) {
            return false; // the first byte alone rules out most blocks of data without a full comparison
        }
        int from = data.arrayOffset() + data.position() + offset;
        return Arrays.equals(data.array(), from, from + MIN_HOLE_BYTES, ZEROES, 0, MIN_HOLE_BYTES);
    }

    private void writeHole(int from, int to, boolean last) {
        session.write(NbdWriter.holeChunk(last, header.cookie(), header.offset() + from, to - from));
    }

    private void writeDataChunk(ByteBuffer data, int from, int to, boolean last) {
        session.write(NbdWriter.dataChunkHeader(last, header.cookie(), header.offset() + from, to - from));
        session.write(data.slice(data.position() + from, to - from));
    }
}
