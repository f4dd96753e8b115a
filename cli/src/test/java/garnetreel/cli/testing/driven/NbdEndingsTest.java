package garnetreel.cli.testing.driven;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.nbd.Nbd;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What an NBD client has sent until its connection is closed is answered, whatever ends the connection. */
class NbdEndingsTest {
    private static final int BLOCK = 4096;
    /** A write that is under way when the connection begins to end. */
    private static final long LONG_WRITE_MICROS = 900_000;

    private static final long SETTLE_MICROS = 20_000;
    /** Requests sent in this time before the end may cross it. */
    private static final long CROSSING_MICROS = 100_000;

    /** Interval at which a client sends that never stops. */
    private static final long SENDING_INTERVAL = 1_000;

    private static final int REQUESTS_PAST_THE_LIMIT = 400;

    private final DrivenNode node = new DrivenNode(0, DrivenSettings.VOLUME_BYTES);
    private DrivenGateway gateway;
    private DrivenNbdClient client;

    @BeforeEach
    void connect() throws Exception {
        gateway = new DrivenGateway(DrivenSettings.on(0), List.of(node));
        client = new DrivenNbdClient(gateway, DrivenSettings.EXPORT);
    }

    private long beginLongWrite() {
        node.hangInNextWrite(LONG_WRITE_MICROS);
        long cookie = client.write(0, new byte[BLOCK]);
        gateway.advance(SETTLE_MICROS);
        return cookie;
    }

    private void assertError(int error, long cookie) {
        assertNotNull(client.reply(cookie), "request " + cookie + " has no reply");
        assertEquals(error, client.reply(cookie).error());
    }

    private void assertServed(long cookie) {
        assertError(0, cookie);
    }

    /** The gateway stops before the longest deadline of a request is over, and owes nothing. */
    private void assertStopsInTime() {
        gateway.advance(DrivenSettings.TIME_LIMIT_MICROS);
        assertTrue(gateway.isStopped(), "the gateway has not stopped");
        assertEquals(0, gateway.statistics().owedAnswers(), "answers that were owed");
    }

    // ---------------------------------------------------------------- SIGTERM

    /** Requests that were sent after SIGTERM on an open connection were read and dropped (review/10). */
    @Test
    void requestsSentAfterShutdownAreAnsweredWhileAnotherIsUnderWay() {
        long longWrite = beginLongWrite();
        gateway.shutDown();
        long read = client.read(BLOCK, BLOCK);
        long write = client.write(BLOCK, new byte[BLOCK]);
        gateway.advance(SETTLE_MICROS);
        assertError(Nbd.ESHUTDOWN, read);
        assertError(Nbd.ESHUTDOWN, write);
        assertFalse(node.executedAt(BLOCK), "a write was refused and ran");
        assertStopsInTime();
        assertServed(longWrite);
        assertEquals(List.of(), client.unanswered(0));
    }

    /** Requests that waited behind the limit of those under way were dropped at SIGTERM. */
    @Test
    void requestsThatWaitForCapacityAreAnsweredAtShutdown() {
        for (int i = 0; i < REQUESTS_PAST_THE_LIMIT; i++) {
            node.hangInNextWrite(LONG_WRITE_MICROS);
            client.write(i * 512L, new byte[512]);
        }
        gateway.advance(SETTLE_MICROS);
        gateway.shutDown();
        assertStopsInTime();
        assertEquals(List.of(), client.unanswered(0));
    }

    /** Half a write that was there at SIGTERM was dropped with the rest that came after it. */
    @Test
    void aWriteThatIsHalfReceivedAtShutdownIsAnsweredWhenItIsWhole() {
        long half = client.beginWrite(0, BLOCK, BLOCK / 2);
        gateway.shutDown();
        gateway.advance(SETTLE_MICROS);
        client.continueWrite(BLOCK / 2);
        gateway.advance(SETTLE_MICROS);
        assertError(Nbd.ESHUTDOWN, half);
        assertStopsInTime();
    }

    /** A client that never sends the rest is told so too, and keeps the gateway no longer than others. */
    @Test
    void aWriteThatStaysHalfReceivedAtShutdownIsAnswered() {
        long half = client.beginWrite(0, BLOCK, BLOCK / 2);
        gateway.shutDown();
        assertStopsInTime();
        assertError(Nbd.ESHUTDOWN, half);
        assertTrue(client.isClosed());
    }

    /** The first bytes of a request's header name no request that could be answered: the connection just ends. */
    @Test
    void halfAHeaderAtShutdownEndsWithTheConnection() {
        client.sendBytes(new byte[] {0x25, 0x60});
        gateway.shutDown();
        assertStopsInTime();
        assertTrue(client.isClosed());
    }

    /** A client that sends with each answer was not answered at all; it can't hold up the end either. */
    @Test
    void aClientThatSendsWithoutEndIsAnsweredUntilTheEnd() {
        beginLongWrite();
        gateway.shutDown();
        for (long time = 0; time < DrivenSettings.TIME_LIMIT_MICROS && !client.isClosed(); time += SENDING_INTERVAL) {
            client.read(BLOCK, BLOCK);
            gateway.advance(SENDING_INTERVAL);
        }
        assertTrue(gateway.isStopped());
        assertEquals(List.of(), client.unanswered(CROSSING_MICROS));
        assertTrue(client.replies() > 1);
    }

    /** A new client in its negotiation was closed without a word. */
    @Test
    void optionsSentAfterShutdownAreAnswered() {
        DrivenNbdClient negotiating = new DrivenNbdClient(gateway);
        gateway.shutDown();
        negotiating.sendGo(DrivenSettings.EXPORT);
        assertEquals(List.of(Nbd.REP_ERR_SHUTDOWN), negotiating.optionReplies());
        assertStopsInTime();
        assertTrue(negotiating.isClosed());
    }

    /** An option of which half was received is answered when it is whole. */
    @Test
    void anOptionThatIsHalfReceivedAtShutdownIsAnswered() {
        DrivenNbdClient negotiating = new DrivenNbdClient(gateway);
        byte[] option = DrivenNbdClient.goOption(DrivenSettings.EXPORT);
        negotiating.sendBytes(Arrays.copyOf(option, 10));
        gateway.shutDown();
        gateway.advance(SETTLE_MICROS);
        negotiating.sendBytes(Arrays.copyOfRange(option, 10, option.length));
        assertEquals(List.of(Nbd.REP_ERR_SHUTDOWN), negotiating.optionReplies());
        assertStopsInTime();
    }

    /** A client that was accepted in the turn of the shutdown or after it is told so. */
    @Test
    void aClientThatConnectsAfterShutdownIsToldSo() {
        beginLongWrite();
        gateway.shutDown();
        DrivenNbdClient late = new DrivenNbdClient(gateway, DrivenSettings.EXPORT);
        assertEquals(List.of(Nbd.REP_ERR_SHUTDOWN), late.optionReplies());
        assertStopsInTime();
    }

    /** An answer that was written in the turn in which the shutdown's time was over was thrown away with a reset. */
    @Test
    void anAnswerOfTheLastTurnIsSent() {
        node.hangInNextWrite(2 * DrivenSettings.TIME_LIMIT_MICROS);
        long write = client.write(0, new byte[BLOCK]);
        gateway.shutDown();
        gateway.advance(DrivenSettings.TIME_LIMIT_MICROS - 10 * SETTLE_MICROS);
        gateway.holdUp(20 * SETTLE_MICROS);
        assertError(Nbd.EIO, write);
        assertTrue(gateway.isStopped());
    }

    /** Replies that nobody reads don't keep the gateway from stopping. */
    @Test
    void aClientThatReadsNothingDoesNotHoldUpTheShutdown() {
        client.stopReading();
        client.read(0, BLOCK);
        gateway.shutDown();
        assertStopsInTime();
        assertTrue(client.isClosed());
    }

    /** An idle connection ends soon. */
    @Test
    void idleConnectionsEndSoonAfterShutdown() {
        gateway.shutDown();
        gateway.advance(DrivenSettings.TIME_LIMIT_MICROS / 4);
        assertTrue(gateway.isStopped());
    }

    // ---------------------------------------------------------------- other endings

    /** Bytes that are no request ended the connection at once, with what was under way on it. */
    @Test
    void requestsBeforeMalformedInputAreAnswered() {
        long longWrite = beginLongWrite();
        client.sendBytes(new byte[28]);
        gateway.advance(LONG_WRITE_MICROS);
        assertServed(longWrite);
        assertTrue(client.isClosed());
    }

    /** A payload too long to be skipped ended the connection with what was under way, and without an error. */
    @Test
    void aWriteOfTooManyBytesIsAnsweredBeforeTheEnd() {
        long longWrite = beginLongWrite();
        long tooLong = client.beginWrite(0, Integer.MAX_VALUE, 0);
        gateway.advance(LONG_WRITE_MICROS);
        assertServed(longWrite);
        assertError(Nbd.ENOSPC, tooLong);
        assertTrue(client.isClosed());
    }

    /** A client that stopped within a write was reset without an error. */
    @Test
    void aWriteThatIsNeverSentWholeIsAnsweredBeforeTheEnd() {
        long half = client.beginWrite(BLOCK, BLOCK, BLOCK / 2);
        gateway.advance(2_400_000);
        assertFalse(client.isClosed());
        gateway.advance(600_000);
        assertError(Nbd.ENOMEM, half);
        assertTrue(client.isClosed());
    }

    /** What was sent before the client's own end is answered. */
    @Test
    void requestsBeforeADisconnectAreAnswered() {
        long longWrite = beginLongWrite();
        client.sendDisconnect();
        gateway.advance(LONG_WRITE_MICROS);
        assertServed(longWrite);
        assertTrue(client.isClosed());
    }

    /** The gateway shuts down while a connection ends for another reason. */
    @Test
    void shutdownDuringAnotherEndingAnswersWhatIsUnderWay() {
        long longWrite = beginLongWrite();
        client.sendDisconnect();
        gateway.shutDown();
        assertStopsInTime();
        assertServed(longWrite);
    }

    /** A client that has gone is owed nothing, and what it sent does not hold up the end. */
    @Test
    void aClientThatIsGoneDoesNotHoldUpTheShutdown() {
        beginLongWrite();
        gateway.shutDown();
        client.disconnect();
        gateway.advance(DrivenSettings.TIME_LIMIT_MICROS / 4);
        assertTrue(gateway.isStopped());
    }
}
