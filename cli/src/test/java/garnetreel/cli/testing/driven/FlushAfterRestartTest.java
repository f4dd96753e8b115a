package garnetreel.cli.testing.driven;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.node.NodeMessage.Op;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A flush covers the writes that an earlier process of the gateway has answered. */
class FlushAfterRestartTest {
    private static final long SETTLE_MICROS = 100_000;
    private static final long DOWN_MICROS = 1_300_000;
    /** Longer than flushed nodes stay in the gateway's record. */
    private static final long RECORD_MICROS = 11_000_000;

    private static final int LENGTH = 4096;
    private static final byte[] ENTRY = new byte[LENGTH];

    static {
        Arrays.fill(ENTRY, (byte) 7);
    }

    private final DrivenNode node = new DrivenNode(0, DrivenSettings.VOLUME_BYTES);
    private final DrivenNode otherNode = new DrivenNode(1, DrivenSettings.VOLUME_BYTES);
    private DrivenGateway gateway;
    private DrivenNbdClient client;

    @BeforeEach
    void writeAnEntry() throws Exception {
        gateway = new DrivenGateway(DrivenSettings.on(0, 1), List.of(node, otherNode));
        client = new DrivenNbdClient(gateway, DrivenSettings.EXPORT);
        assertTrue(finish(client.write(0, ENTRY)).served());
    }

    private DrivenNbdClient.Reply finish(long cookie) {
        gateway.advance(SETTLE_MICROS);
        return client.reply(cookie);
    }

    private void restartGateway() {
        gateway.killAndRestart(DOWN_MICROS);
        client = new DrivenNbdClient(gateway, DrivenSettings.EXPORT);
    }

    /** The flush was answered without asking a node, and the node's restart lost the answered write. */
    @Test
    void flushAfterAGatewayRestartReachesTheNodesOfEarlierWrites() {
        restartGateway();
        assertTrue(finish(client.flush()).served());
        node.restart();
        assertArrayEquals(ENTRY, finish(client.read(0, LENGTH)).data());
    }

    /** The shards of earlier writes are not known if the gateway starts from nothing: all are flushed. */
    @Test
    void firstFlushAsksAllShardsAndLaterOnesThoseWithWrites() {
        gateway.loseStoredStates();
        restartGateway();
        assertTrue(finish(client.flush()).served());
        assertEquals(List.of(Op.WRITE, Op.FLUSH), node.executed());
        assertEquals(List.of(Op.FLUSH), otherNode.executed());
        assertTrue(finish(client.flush()).served());
        assertEquals(List.of(Op.FLUSH), otherNode.executed(), "flushed without a write since the last flush");
    }

    /** A node that restarts while the gateway is down loses a write that a flush must not confirm. */
    @Test
    void flushFailsIfTheNodeLostAWriteOfTheEarlierProcess() {
        node.restart();
        restartGateway();
        assertFalse(finish(client.flush()).served(), "a flush confirmed a lost write");
        assertTrue(finish(client.flush()).served(), "the loss is reported once");
    }

    @Test
    void flushSucceedsIfTheNodeRestartsAfterEverythingWasFlushed() {
        assertTrue(finish(client.flush()).served());
        gateway.advance(RECORD_MICROS);
        node.restart();
        restartGateway();
        assertTrue(finish(client.flush()).served());
    }
}
