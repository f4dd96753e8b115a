package garnetreel.cli.testing.driven;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.Gateway;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An rsync client is told why its connection ends, whatever it has sent by then. */
class RsyncEndingsTest {
    private static final String SHUTTING_DOWN = "shutting down";
    private static final long SETTLE_MICROS = 20_000;
    /** Longer than the gateway may take to stop. */
    private static final long HANG_MICROS = 10 * DrivenSettings.TIME_LIMIT_MICROS;

    private static final long IDLE_TIMEOUT_MICROS = 600_000_000;
    /** Time in which a client has to take a byte of what was written to it. */
    private static final long UNREAD_MICROS = 5_000_000;

    private static final DrivenRsyncClient.PushedFile FILE =
            new DrivenRsyncClient.PushedFile("births", 0644, 1_700_000_000, new byte[40_000]);

    private final DrivenNode node = new DrivenNode(0, DrivenSettings.VOLUME_BYTES);
    private DrivenGateway gateway;

    /** A client that sends bytes as they are, and keeps all that it is sent. */
    private final class RawClient implements DrivenGateway.DrivenClient {
        private final StringBuilder text = new StringBuilder();
        private final long connectionId = gateway.connect(Gateway.RSYNC, this);
        private boolean closed;

        RawClient send(String bytes) {
            gateway.send(connectionId, ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)));
            return this;
        }

        @Override
        public void received(ByteBuffer data) {
            text.append(StandardCharsets.ISO_8859_1.decode(data));
        }

        @Override
        public void closed() {
            closed = true;
        }
    }

    @BeforeEach
    void start() throws Exception {
        gateway = new DrivenGateway(DrivenSettings.on(0), List.of(node));
    }

    private void assertStopsInTime() {
        gateway.advance(DrivenSettings.TIME_LIMIT_MICROS);
        assertTrue(gateway.isStopped(), "the gateway has not stopped");
        assertEquals(0, gateway.statistics().owedAnswers(), "answers that were owed");
    }

    /** A client in its negotiation had its connection closed without a word. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "@RSYNCD: 3",
                "@RSYNCD: 30.0\n",
                "@RSYNCD: 30.0\nregis",
                "@RSYNCD: 30.0\nregisters\n",
                "@RSYNCD: 30.0\nregisters\n--server\0-ltp"
            })
    void clientsInTheirNegotiationAreToldOfTheShutdown(String sent) {
        RawClient client = new RawClient().send(sent);
        gateway.shutDown();
        assertTrue(client.text.toString().contains(SHUTTING_DOWN), client.text.toString());
        assertStopsInTime();
        assertTrue(client.closed);
    }

    /** A push under way was cut without a word when the process ended. */
    @Test
    void aPushThatDoesNotEndInTimeIsToldOfTheShutdown() {
        node.hangInNextWrite(HANG_MICROS);
        node.hangInNextWrite(HANG_MICROS);
        DrivenRsyncClient push = DrivenRsyncClient.push(gateway, DrivenSettings.MODULE, FILE);
        gateway.advance(SETTLE_MICROS);
        gateway.shutDown();
        assertStopsInTime();
        assertTrue(push.errors().contains(SHUTTING_DOWN), push.errors());
    }

    /** A push that can end in time does. */
    @Test
    void aPushUnderWayAtTheShutdownIsFinished() {
        node.hangInNextWrite(DrivenSettings.TIME_LIMIT_MICROS / 4);
        DrivenRsyncClient push = DrivenRsyncClient.push(gateway, DrivenSettings.MODULE, FILE);
        gateway.advance(SETTLE_MICROS);
        gateway.shutDown();
        assertFalse(push.hasEnded());
        assertStopsInTime();
        assertTrue(push.isConfirmed(), push.errors());
    }

    /** A client that stops within a push, and one that reads nothing, don't keep the gateway from stopping. */
    @Test
    void silentClientsDoNotHoldUpTheShutdown() {
        RawClient silent = new RawClient().send("@RSYNCD: 30.0\nregisters\n--server\0-ltpWre.i\0.\0registers/\0\0");
        RawClient reader = new RawClient();
        gateway.stopReading(reader.connectionId);
        reader.send("@RSYNCD: 30.0\nregisters\n--server\0--sender\0-ltpre.i\0.\0registers/\0\0");
        gateway.shutDown();
        assertStopsInTime();
        assertTrue(silent.text.toString().contains(SHUTTING_DOWN));
        assertTrue(reader.closed);
    }

    /** A client that connects after the shutdown is told so. */
    @Test
    void aClientThatConnectsAfterShutdownIsToldSo() {
        gateway.shutDown();
        RawClient late = new RawClient();
        assertTrue(late.text.toString().contains(SHUTTING_DOWN));
        assertStopsInTime();
    }

    /** A client that is silent for too long was reset without a word, in its negotiation and within a push. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "@RSYNCD: 30.0\n",
                "@RSYNCD: 30.0\nregisters\n--server\0-ltpWre.i\0.\0registers/\0\0",
            })
    void silentClientsAreToldThatTheyWereTooLate(String sent) {
        RawClient client = new RawClient().send(sent);
        gateway.advance(IDLE_TIMEOUT_MICROS + 2_000_000);
        assertTrue(client.text.toString().contains("timeout"), client.text.toString());
        assertTrue(client.closed);
    }

    /** The end of a pull was cut for a client that takes longer than 5 s to read it. */
    @Test
    void aPullIsNotClosedWhileItsClientStillReads() {
        DrivenRsyncClient push = DrivenRsyncClient.push(gateway, DrivenSettings.MODULE, FILE);
        gateway.advance(SETTLE_MICROS);
        assertTrue(push.isConfirmed());
        gateway.holdWrittenOfNextClient();
        DrivenRsyncClient pull = DrivenRsyncClient.pull(gateway, DrivenSettings.MODULE);
        gateway.advance(UNREAD_MICROS - SETTLE_MICROS);
        assertTrue(pull.isConfirmed(), pull.errors());
        assertFalse(pull.isClosed(), "closed while bytes were left to be read");
        gateway.reportWritten(1);
        gateway.advance(UNREAD_MICROS - SETTLE_MICROS);
        assertFalse(pull.isClosed(), "closed while its client still reads");
        gateway.advance(2_000_000);
        assertTrue(pull.isClosed(), "still open though nothing is read");
    }
}
