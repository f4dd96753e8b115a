package garnetreel.testbed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The state codes in reports of LIST_EXTENTS must match docs/node-protocol.md. */
class ExtentStateCodeTest {
    @Test
    void codesMatchTheProtocol() {
        assertEquals(0, ExtentTable.State.SERVING.code());
        assertEquals(1, ExtentTable.State.FENCED.code());
        assertEquals(2, ExtentTable.State.RECEIVING.code());
        assertEquals(3, ExtentTable.State.GONE.code());
    }
}
