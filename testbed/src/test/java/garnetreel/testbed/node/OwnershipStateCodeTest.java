package garnetreel.testbed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The state codes in ownership reports must match docs/node-protocol.md. */
class OwnershipStateCodeTest {
    @Test
    void codesMatchTheProtocol() {
        assertEquals(0, OwnershipTable.State.SERVING.code());
        assertEquals(1, OwnershipTable.State.FENCED.code());
        assertEquals(2, OwnershipTable.State.RECEIVING.code());
        assertEquals(3, OwnershipTable.State.GONE.code());
    }
}
