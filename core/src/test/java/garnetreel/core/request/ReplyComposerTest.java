package garnetreel.core.request;

import static garnetreel.core.request.RequestFixtures.operation;
import static garnetreel.core.request.RequestFixtures.subRequest;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.request.BlockBackend.BlockStatusRange;
import garnetreel.core.request.BlockBackend.Reply;
import garnetreel.core.request.BlockBackend.ReplyStatus;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReplyComposerTest {
    private static final ByteBuffer NO_DATA = ByteBuffer.allocate(0);

    private final BlockOperation write = operation(Op.WRITE, 100, 8);
    private final SubRequest first = subRequest(1, write, 100, 4, 0);
    private final SubRequest second = subRequest(2, write, 104, 4, 0);
    private final ReplyComposer composer = new ReplyComposer(Op.WRITE, 100, 8);

    @Test
    void readDataIsAssembledInOrderOfOffset() {
        ReplyComposer read = new ReplyComposer(Op.READ, 100, 8);
        read.served(second, ByteBuffer.wrap(new byte[] {5, 6, 7, 8}));
        read.served(first, ByteBuffer.wrap(new byte[] {1, 2, 3, 4}));
        Reply reply = read.compose();
        assertEquals(ReplyStatus.SERVED, reply.status());
        assertArrayEquals(new byte[] {1, 2, 3, 4, 5, 6, 7, 8}, reply.data().array());
    }

    @Test
    void replyIsRejectedWithTheLongestRetryAfterIfAllAreRejected() {
        composer.rejected(second, 3000);
        composer.rejected(first, 7000);
        Reply reply = composer.compose();
        assertEquals(ReplyStatus.REJECTED, reply.status());
        assertEquals(7000, reply.retryAfter());
        assertEquals(100, reply.errorOffset());
        assertEquals("refused, trying again is harmless; stay away for 7 ms", reply.message());
    }

    @Test
    void partlyRejectedWriteFails() {
        composer.served(first, NO_DATA);
        composer.rejected(second, 3000);
        Reply reply = composer.compose();
        assertEquals(ReplyStatus.FAILED, reply.status());
        assertEquals(104, reply.errorOffset());
        assertEquals("part of the write was done and part refused; its effect is not whole", reply.message());
    }

    @Test
    void partlyRejectedReadIsRejected() {
        ReplyComposer read = new ReplyComposer(Op.READ, 100, 8);
        read.served(first, ByteBuffer.wrap(new byte[4]));
        read.rejected(second, 3000);
        assertEquals(ReplyStatus.REJECTED, read.compose().status());
    }

    @Test
    void failureOutweighsRejectionAndMessageIsOfTheLowestOffset() {
        composer.rejected(second, 3000);
        composer.failed(first, "lost");
        Reply reply = composer.compose();
        assertEquals(ReplyStatus.FAILED, reply.status());
        assertEquals("lost", reply.message());
        assertEquals(100, reply.errorOffset());
    }

    @Test
    void blockStatusIsSortedAndAdjacentExtentsWithTheSameFlagsAreMerged() {
        first.extents = List.of(new BlockStatusRange(3, 0), new BlockStatusRange(1, 1));
        second.extents = List.of(new BlockStatusRange(2, 1), new BlockStatusRange(2, 0));
        ReplyComposer status = new ReplyComposer(Op.STATUS, 100, 8);
        status.served(second, NO_DATA);
        status.served(first, NO_DATA);
        assertEquals(
                List.of(new BlockStatusRange(3, 0), new BlockStatusRange(3, 1), new BlockStatusRange(2, 0)),
                status.compose().extents());
    }
}
