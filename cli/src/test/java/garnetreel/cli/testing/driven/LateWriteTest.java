package garnetreel.cli.testing.driven;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.testing.driven.DrivenRsyncClient.PushedFile;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A write that hangs in a node and lands late must not change a file that was given its blocks meanwhile. */
class LateWriteTest {
    private static final int LENGTH = 60_000;
    private static final long SECOND = 1_000_000;
    /** Enough for a push whose first write is repeated after its time. */
    private static final long PUSH_MICROS = 4 * SECOND;

    private static final long HANG_MICROS = 12 * SECOND;
    /** Longer than a node may work on a write after its deadline. */
    private static final long ALL_WRITES_OVER_MICROS = 70 * SECOND;

    private final DrivenNode node = new DrivenNode(0, DrivenSettings.VOLUME_BYTES);
    private DrivenGateway gateway;

    private static byte[] contents(int value) {
        byte[] bytes = new byte[LENGTH];
        Arrays.fill(bytes, (byte) value);
        return bytes;
    }

    @BeforeEach
    void startGateway() throws Exception {
        gateway = new DrivenGateway(DrivenSettings.on(0), List.of(node));
    }

    private DrivenRsyncClient begin(String name, long modified, byte[] contents) {
        return DrivenRsyncClient.push(gateway, DrivenSettings.MODULE, new PushedFile(name, 0644, modified, contents));
    }

    private void push(String name, long modified, byte[] contents) {
        DrivenRsyncClient client = begin(name, modified, contents);
        gateway.advance(PUSH_MICROS);
        assertTrue(client.isConfirmed(), name + ": " + client.errors());
    }

    private byte[] pulled(String name) {
        DrivenRsyncClient client = DrivenRsyncClient.pull(gateway, DrivenSettings.MODULE);
        gateway.advance(SECOND);
        assertTrue(client.hasEnded());
        return client.pulled(name);
    }

    /** The write was repeated with success, its file replaced, and its blocks given away while it was still at work. */
    @Test
    void blocksOfAReplacedFileAreKeptWhileAWriteOfItHangsInANode() {
        node.hangInNextWrite(HANG_MICROS);
        push("births", 1000, contents(1));
        push("births", 2000, contents(2));
        push("deaths", 3000, contents(3));
        gateway.advance(HANG_MICROS);
        assertArrayEquals(contents(2), pulled("births"));
        assertArrayEquals(contents(3), pulled("deaths"));
    }

    /** The blocks of a push that was broken off are kept as well, and no longer than the write is at work. */
    @Test
    void blocksOfABrokenPushAreKeptUntilItsWriteIsAnswered() {
        node.hangInNextWrite(HANG_MICROS);
        DrivenRsyncClient broken = begin("births", 1000, contents(1));
        gateway.advance(SECOND / 2);
        broken.disconnect();
        push("deaths", 3000, contents(3));
        gateway.advance(HANG_MICROS);
        assertArrayEquals(contents(3), pulled("deaths"));
        assertTrue(node.executedAt(0), "the write did not hang in the first block");
        push("marriages", 4000, contents(4));
        assertTrue(node.holds(0, contents(4)), "the blocks were not given away after the late answer");
    }

    /** A restarted gateway took all space as free that no file had, also where an earlier process was writing. */
    @Test
    void blocksThatAnEarlierProcessWroteToAreKeptAfterARestart() {
        node.hangInNextWrite(HANG_MICROS);
        begin("births", 1000, contents(1));
        gateway.advance(SECOND / 2);
        gateway.killAndRestart(SECOND);
        DrivenRsyncClient early = begin("deaths", 3000, contents(3));
        gateway.advance(PUSH_MICROS);
        assertFalse(early.isConfirmed(), "the only region of the volume is withheld");
        gateway.advance(HANG_MICROS);
        gateway.advance(ALL_WRITES_OVER_MICROS);
        push("deaths", 3000, contents(3));
        assertArrayEquals(contents(3), pulled("deaths"));
    }

    /** The regions that were written to are forgotten once nothing is at work, so that a later restart keeps none. */
    @Test
    void idleGatewayWithholdsNothingAfterARestart() {
        push("births", 1000, contents(1));
        gateway.advance(ALL_WRITES_OVER_MICROS);
        gateway.killAndRestart(SECOND);
        push("deaths", 3000, contents(3));
        assertArrayEquals(contents(1), pulled("births"));
        assertArrayEquals(contents(3), pulled("deaths"));
    }
}
