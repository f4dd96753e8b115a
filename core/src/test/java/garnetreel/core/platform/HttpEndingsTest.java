package garnetreel.core.platform;

import static garnetreel.core.platform.PlatformGatewayHarness.request;
import static garnetreel.core.platform.PlatformGatewayHarness.response;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.io.NetEvent;
import garnetreel.settings.JsonException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What an HTTP client has sent until its connection is closed is answered, whatever ends the connection. */
class HttpEndingsTest {
    /** The client with a request under way. */
    private static final long CLIENT = 1;
    /** Another client. */
    private static final long OTHER = 2;

    private static final long MILLI = 1_000;
    /** New connections and requests are still accepted for this time after SIGTERM. */
    private static final long ACCEPT_MICROS = 500_000;
    /** When the request under way begins after SIGTERM, less than its time limit of 0.48 s before the draining. */
    private static final long REQUEST_AT_MICROS = 400_000;
    /** SIGKILL comes no sooner after SIGTERM: 0.7 s after the longest time limit, which is 3 s here. */
    private static final long KILL_MICROS = 3_700_000;

    private static final int RESPONSE_BYTES = 1_000;

    private PlatformGatewayHarness gateway;
    private int lastId;

    @BeforeEach
    void start() throws JsonException {
        gateway = new PlatformGatewayHarness(PlatformGatewayHarness::sendToUpstream).accept(CLIENT);
    }

    private void beginRequest() {
        gateway.receive(CLIENT, nextRequest());
        gateway.deliver(new NetEvent.Connected(gateway.lastOpenedConnection));
    }

    private String nextRequest() {
        return request(String.format("%016x", ++lastId), "");
    }

    private void shutDown() {
        gateway.deliver(new NetEvent.CommandReceived(new PlatformGateway.Shutdown()))
                .advance(REQUEST_AT_MICROS);
        beginRequest();
        gateway.accept(OTHER).advance(ACCEPT_MICROS - REQUEST_AT_MICROS);
    }

    private void finishRequestUnderWay() {
        gateway.receive(gateway.lastOpenedConnection, response("result", ""));
    }

    private int responses(long connection, String status) {
        return gateway.writtenTo(connection).split(" " + status + " ", -1).length - 1;
    }

    private void assertStopsInTime() {
        gateway.advance(KILL_MICROS - ACCEPT_MICROS);
        assertTrue(gateway.stopped, "the gateway has not stopped");
        assertEquals(
                0,
                gateway.gateway.counters().violations(),
                gateway.gateway.counters().invariantsLine());
    }

    /** Requests behind the one under way, and those that come after the shutdown, are refused one by one. */
    @Test
    void requestsThatWaitOrComeAfterShutdownAreAnswered() {
        shutDown();
        gateway.receive(CLIENT, nextRequest() + nextRequest()).receive(OTHER, nextRequest());
        assertEquals(1, responses(OTHER, "503"));
        finishRequestUnderWay();
        assertEquals(1, responses(CLIENT, "200"));
        assertEquals(2, responses(CLIENT, "503"));
        assertStopsInTime();
    }

    /** Half a request is answered when it is whole, or when its time is over. */
    @Test
    void aRequestThatIsHalfReceivedAtShutdownIsAnswered() {
        String whole = nextRequest();
        gateway.accept(3).receive(3, whole.substring(0, 30)).accept(4).receive(4, whole.substring(0, 30));
        shutDown();
        gateway.receive(3, whole.substring(30));
        finishRequestUnderWay();
        assertEquals(1, responses(3, "503"));
        assertStopsInTime();
        assertEquals(1, responses(4, "408"));
    }

    /** A client that always has a further request on its way kept the process from ending. */
    @Test
    void aClientThatSendsWithoutEndIsAnsweredAndDoesNotHoldUpTheEnd() {
        gateway.stalledPeers.add(OTHER);
        shutDown();
        finishRequestUnderWay();
        gateway.receive(OTHER, nextRequest() + nextRequest());
        int sent = 2;
        for (long time = 0; time < KILL_MICROS && !gateway.closed.contains(OTHER); time += MILLI) {
            if (!gateway.readPaused.contains(OTHER)) {
                gateway.receive(OTHER, nextRequest());
                sent++;
            }
            gateway.advance(MILLI).deliver(new NetEvent.Written(OTHER, RESPONSE_BYTES));
        }
        gateway.deliver(new NetEvent.Written(OTHER, RESPONSE_BYTES));
        assertTrue(gateway.stopped, "the gateway has not stopped");
        assertTrue(sent > 1_000, "requests sent: " + sent);
        assertEquals(sent, gateway.writtenTo(OTHER).split("HTTP/1.1 ", -1).length - 1);
    }

    /** Responses that nobody reads don't keep the process from ending. */
    @Test
    void aClientThatReadsNothingDoesNotHoldUpTheEnd() {
        gateway.stalledPeers.add(CLIENT);
        shutDown();
        finishRequestUnderWay();
        gateway.advance(5_000_000);
        assertTrue(gateway.stopped);
        assertEquals(0, gateway.gateway.counters().violations());
    }

    /** Requests before input that can't be parsed are answered in order. */
    @Test
    void requestsBeforeMalformedInputAreAnswered() {
        beginRequest();
        gateway.receive(CLIENT, nextRequest() + "nonsense\r\n\r\n");
        finishRequestUnderWay();
        gateway.receive(gateway.lastOpenedConnection, response("result", ""));
        assertEquals(2, responses(CLIENT, "200"));
        assertEquals(1, responses(CLIENT, "400"));
        assertTrue(gateway.closed.contains(CLIENT));
    }

    /** An idle connection ends without a word, and nothing was owed on it. */
    @Test
    void idleConnectionsAreClosed() {
        beginRequest();
        finishRequestUnderWay();
        gateway.advance(61_000_000);
        assertTrue(gateway.closed.contains(CLIENT));
        assertEquals(0, gateway.gateway.counters().violations());
    }

    /** A client that has gone is owed nothing. */
    @Test
    void aClientThatIsGoneDoesNotHoldUpTheEnd() {
        shutDown();
        gateway.deliver(new NetEvent.Closed(CLIENT, true, "reset"));
        gateway.advance(ACCEPT_MICROS);
        assertTrue(gateway.stopped);
        assertFalse(gateway.closed.contains(CLIENT));
    }
}
