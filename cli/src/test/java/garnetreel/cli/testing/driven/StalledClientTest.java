package garnetreel.cli.testing.driven;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** NBD clients that stop within large writes, or send them slowly, hold the gateway's byte budget. */
class StalledClientTest {
    private static final int CLIENTS = 60;
    private static final int LARGE_WRITE = 256 << 10;
    private static final int BLOCK = 4096;
    private static final long SETTLE_MICROS = 50_000;
    /** Time within which a client that stops in the middle of a request gets its error or close. */
    private static final long STALL_LIMIT_MICROS = 3_000_000;

    private final List<DrivenNbdClient> stalled = new ArrayList<>();
    private DrivenGateway gateway;
    private DrivenNbdClient usual;

    @BeforeEach
    void connect() throws Exception {
        gateway = new DrivenGateway(DrivenSettings.on(0), List.of(new DrivenNode(0, DrivenSettings.VOLUME_BYTES)));
        usual = new DrivenNbdClient(gateway, DrivenSettings.EXPORT);
        for (int i = 0; i < CLIENTS; i++) {
            stalled.add(new DrivenNbdClient(gateway, DrivenSettings.EXPORT));
        }
    }

    private void assertUsualServed() {
        long read = usual.read(0, BLOCK);
        gateway.advance(SETTLE_MICROS);
        assertTrue(usual.reply(read) != null && usual.reply(read).served(), "the usual client has no answer");
    }

    /** A client that was connected before got no answer as long as the others stayed. */
    @Test
    void clientsThatStopWithinLargeWritesAreEndedAndKeepNobodyWaiting() {
        stalled.forEach(client -> client.beginWrite(0, LARGE_WRITE, BLOCK));
        assertUsualServed();
        gateway.advance(STALL_LIMIT_MICROS);
        assertTrue(stalled.get(0).isClosed(), "a client stopped within a request and stays");
        gateway.advance(CLIENTS * STALL_LIMIT_MICROS);
        assertEquals(CLIENTS, stalled.stream().filter(DrivenNbdClient::isClosed).count());
        assertUsualServed();
    }

    /** Single bytes are no progress while others wait for the budget. */
    @Test
    void clientsThatSendPayloadsByteByByteAreEndedWhileOthersWait() {
        stalled.forEach(client -> client.beginWrite(0, LARGE_WRITE, 1));
        for (int second = 0; second < 10; second++) {
            stalled.stream().filter(client -> !client.isClosed()).forEach(client -> client.continueWrite(1));
            gateway.advance(1_000_000);
        }
        assertTrue(stalled.get(0).isClosed());
        assertUsualServed();
    }

    /** Nobody waits, so a client may take its time. */
    @Test
    void aSlowPayloadIsAcceptedWhileNobodyWaits() {
        DrivenNbdClient slow = stalled.get(0);
        slow.beginWrite(0, LARGE_WRITE, 0);
        for (int part = 0; part < 8; part++) {
            gateway.advance(2_000_000);
            slow.continueWrite(LARGE_WRITE / 8);
        }
        gateway.advance(SETTLE_MICROS);
        assertFalse(slow.isClosed());
        assertTrue(slow.reply(1).served());
    }
}
