package garnetreel.cli.testing.driven;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.testing.driven.DrivenRsyncClient.PushedFile;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Pushes that begin while the change of another one is not durable yet: none may undo it or take its blocks. */
class ConcurrentPushTest {
    private static final int LENGTH = 20_000;
    private static final long OLD_TIME = 1_000;
    private static final long NEW_TIME = 2_000;
    private static final long SETTLE_MICROS = 100_000;

    private final byte[] oldContents = contents(1);
    private final byte[] newContents = contents(2);
    private final byte[] otherContents = contents(3);
    private DrivenGateway gateway;

    private static byte[] contents(int value) {
        byte[] bytes = new byte[LENGTH];
        Arrays.fill(bytes, (byte) value);
        return bytes;
    }

    @BeforeEach
    void storeTheOldVersion() throws Exception {
        gateway = new DrivenGateway(DrivenSettings.on(0), List.of(new DrivenNode(0, DrivenSettings.VOLUME_BYTES)));
        assertTrue(finish(push("register", 0644, OLD_TIME, oldContents)).isConfirmed());
    }

    private DrivenRsyncClient push(String name, int permissions, long modified, byte[] contents) {
        DrivenRsyncClient client = DrivenRsyncClient.push(
                gateway, DrivenSettings.MODULE, new PushedFile(name, permissions, modified, contents));
        gateway.advance(SETTLE_MICROS);
        return client;
    }

    private DrivenRsyncClient finish(DrivenRsyncClient client) {
        gateway.advance(SETTLE_MICROS);
        return client;
    }

    private DrivenRsyncClient pull() {
        return finish(DrivenRsyncClient.pull(gateway, DrivenSettings.MODULE));
    }

    /** A change of attributes was built on the version that a queued change replaced: its blocks had two owners. */
    @Test
    void changedAttributesDoNotUndoAReplacementThatIsNotDurableYet() throws Exception {
        gateway.holdAppends(true);
        DrivenRsyncClient replacement = push("register", 0644, NEW_TIME, newContents);
        DrivenRsyncClient attributes = push("register", 0600, OLD_TIME, oldContents);
        gateway.holdAppends(false);
        assertTrue(finish(replacement).isConfirmed());
        assertTrue(finish(attributes).isConfirmed());
        assertTrue(push("other", 0644, NEW_TIME, otherContents).isConfirmed());

        assertArrayEquals(oldContents, pull().pulled("register"), "the last push that was stored is lost");
        gateway.killAndRestart(SETTLE_MICROS);
        DrivenRsyncClient afterRestart = pull();
        assertArrayEquals(oldContents, afterRestart.pulled("register"));
        assertArrayEquals(otherContents, afterRestart.pulled("other"));
    }

    /** The same with a removal in the queue: the entry came back with blocks that were free. */
    @Test
    void changedAttributesDoNotBringBackAnEntryWhoseRemovalIsNotDurableYet() throws Exception {
        gateway.holdAppends(true);
        DrivenRsyncClient removal = DrivenRsyncClient.pushDeleting(
                gateway, DrivenSettings.MODULE, new PushedFile("other", 0644, NEW_TIME, otherContents));
        gateway.advance(SETTLE_MICROS);
        DrivenRsyncClient attributes = push("register", 0600, OLD_TIME, oldContents);
        gateway.holdAppends(false);
        assertTrue(finish(removal).isConfirmed());
        assertTrue(finish(attributes).isConfirmed());
        assertTrue(push("third", 0644, NEW_TIME, newContents).isConfirmed());
        assertArrayEquals(oldContents, pull().pulled("register"));
        assertArrayEquals(otherContents, pull().pulled("other"));
    }

    /** A push that finds its file stored by a queued change may only be confirmed once that change is durable. */
    @Test
    void unchangedFileIsConfirmedOnlyOnceTheChangeThatStoredItIsDurable() {
        gateway.holdAppends(true);
        push("register", 0644, NEW_TIME, newContents);
        DrivenRsyncClient same = push("register", 0644, NEW_TIME, newContents);
        assertFalse(same.hasEnded(), "confirmed before it is durable");
        gateway.holdAppends(false);
        assertTrue(finish(same).isConfirmed());
    }
}
