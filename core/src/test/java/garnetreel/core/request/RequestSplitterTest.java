package garnetreel.core.request;

import static garnetreel.core.request.RequestFixtures.EXTENT_BYTES;
import static garnetreel.core.request.RequestFixtures.operation;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import garnetreel.codec.node.NodeMessage.Op;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestSplitterTest {
    private static final int UNIT = 4 << 10;
    private static final int BLOCK = 16 << 10;
    private static final int MAX_BYTES = 8 * UNIT;

    private final RequestSplitter splitter = new RequestSplitter(RequestFixtures.fixedRouter(), UNIT, BLOCK, MAX_BYTES);

    private List<SubRequest> split(BlockOperation operation) {
        List<SubRequest> subRequests = new ArrayList<>();
        while (operation.hasRemaining()) {
            subRequests.add(splitter.next(operation, subRequests.size() + 1));
        }
        return subRequests;
    }

    @Test
    void readIsSplitAtExtentsAndByTheMaximumSize() {
        List<SubRequest> subRequests = split(operation(Op.READ, EXTENT_BYTES - MAX_BYTES - 100, 100 + MAX_BYTES + 10));
        assertEquals(
                List.of(EXTENT_BYTES - MAX_BYTES - 100, EXTENT_BYTES - MAX_BYTES, EXTENT_BYTES),
                subRequests.stream().map(subRequest -> subRequest.offset).toList());
        assertEquals(
                List.of(100, MAX_BYTES, 10),
                subRequests.stream().map(subRequest -> subRequest.length).toList());
        assertEquals(
                List.of(0, 0, 1),
                subRequests.stream().map(subRequest -> subRequest.shard).toList());
        assertEquals(
                List.of(1, 8, 1),
                subRequests.stream().map(subRequest -> subRequest.units).toList());
    }

    @Test
    void trimIsSplitOnlyAtExtentsAndCountsAsOneUnit() {
        List<SubRequest> subRequests = split(operation(Op.TRIM, 0, 2 * EXTENT_BYTES));
        assertEquals(
                List.of((int) EXTENT_BYTES, (int) EXTENT_BYTES),
                subRequests.stream().map(subRequest -> subRequest.length).toList());
        assertEquals(
                List.of(1, 1),
                subRequests.stream().map(subRequest -> subRequest.units).toList());
    }

    @Test
    void keyConsistsOfVolumeAndBlock() {
        SubRequest subRequest = split(operation(Op.READ, 3 * BLOCK + 5, 1)).get(0);
        assertEquals(RequestFixtures.VOLUME.id() << 36 | 3, subRequest.key);
    }

    @Test
    void blockStatusCoversALimitedNumberOfExtents() {
        BlockOperation operation = operation(Op.STATUS, 0, 1000 * EXTENT_BYTES);
        assertEquals(32, split(operation).size());
        assertFalse(operation.hasRemaining());
        assertEquals(32 * EXTENT_BYTES, operation.nextOffset);
    }

    @Test
    void flushHasItsShardInPlaceOfAnOffset() {
        SubRequest flush = RequestSplitter.flush(operation(Op.FLUSH, 0, 0), 5, 42, 1);
        assertEquals(5, flush.shard);
        assertEquals(5, flush.offset);
        assertEquals(42, flush.lastWriteCovered);
        assertEquals(SubRequest.NO_KEY, flush.key);
    }
}
