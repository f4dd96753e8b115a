package garnetreel.core.request;

import static garnetreel.core.request.RequestFixtures.operation;
import static garnetreel.core.request.RequestFixtures.subRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.request.BlockBackend.BlockStatusRange;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

class NodeAnswerReaderTest {
    private final SubRequest status = subRequest(1, operation(Op.STATUS, 0, 10), 0, 10, 0);

    private static ByteBuffer encoded(int... numbers) {
        ByteBuffer data = ByteBuffer.allocate(numbers.length * Integer.BYTES);
        for (int number : numbers) {
            data.putInt(number);
        }
        return data.flip();
    }

    @Test
    void readAnswerMustHaveTheRequestedLength() {
        SubRequest read = subRequest(1, operation(Op.READ, 0, 10), 0, 10, 0);
        assertTrue(NodeAnswerReader.read(read, ByteBuffer.allocate(10)));
        assertFalse(NodeAnswerReader.read(read, ByteBuffer.allocate(9)));
    }

    @Test
    void statusAnswerMustCoverTheRequestedRange() {
        assertTrue(NodeAnswerReader.read(status, encoded(4, 0, 6, 3)));
        assertEquals(List.of(new BlockStatusRange(4, 0), new BlockStatusRange(6, 3)), status.extents);
        assertFalse(NodeAnswerReader.read(status, encoded(4, 0, 5, 3)));
        assertFalse(NodeAnswerReader.read(status, encoded(10, 0, 0, 0)));
        assertFalse(NodeAnswerReader.read(status, encoded()));
    }

    @Test
    void malformedStatusAnswerLeavesNoResult() {
        assertFalse(NodeAnswerReader.read(status, encoded(-1, 0, 11, 0)));
        assertEquals(List.of(), status.extents);
    }
}
