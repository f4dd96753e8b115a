package garnetreel.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Answer;
import garnetreel.core.GatewaySettings;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NodeConnectionPoolTest {
    private static final String NODE = "n:1";
    private static final long FIRST = -1;
    private static final long IDLE = 10_000;
    private static final long CONNECT_TIMEOUT = 1000;

    private final List<String> ended = new ArrayList<>();
    private final List<NetAction> actions = new ArrayList<>();
    private final NodeConnectionPool pool = new NodeConnectionPool(settings(), new ConnectionIdAllocator());

    /** At most one connection per node and two attempts per connection. */
    private static GatewaySettings settings() {
        GatewaySettings.ConnectionSettings connections =
                new GatewaySettings.ConnectionSettings(1, 2, IDLE, CONNECT_TIMEOUT, 0, 0, true);
        return new GatewaySettings(
                3, 77, "", "", "", null, List.of(), 0, null, connections, GatewaySettings.Files.NONE);
    }

    @BeforeEach
    void beginFirstTurn() {
        pool.listener(new NodeConnectionPool.Listener() {
            @Override
            public void attemptEnded(NodeAttempt attempt, Outcome outcome, Answer answer) {
                ended.add(attempt.subRequestId() + "/" + attempt.index() + " " + outcome);
            }

            @Override
            public void answeredLate(long subRequestId, int attemptIndex) {
                ended.add(subRequestId + "/" + attemptIndex + " late");
            }

            @Override
            public void healthCheckEnded(HealthCheckCompleted result) {
                ended.add("check " + result.outcome());
            }
        });
        pool.beginTurn(0, actions);
    }

    private void send(long id, long until) {
        pool.send(
                new NodeAttempt(id, 0, NODE, 0, until),
                new NodeMessage.Request(
                        id,
                        0,
                        0,
                        NodeMessage.Op.READ,
                        false,
                        false,
                        until,
                        1,
                        0,
                        1,
                        0,
                        0,
                        0,
                        10,
                        NodeMessage.noData()));
    }

    private void completeHandshake() {
        pool.connected(FIRST);
        pool.received(FIRST, NodeCodec.frame(new NodeMessage.Welcome(5, 0)));
    }

    private void answer(long id) {
        pool.received(
                FIRST,
                NodeCodec.frame(new Answer(id, 0, NodeMessage.Result.OK, 0, 0, 5, Map.of(), NodeMessage.noData())));
    }

    private List<String> drainActionTypes() {
        List<String> types = actions.stream()
                .map(action -> action.getClass().getSimpleName())
                .toList();
        actions.clear();
        return types;
    }

    @Test
    void attemptWaitsForTheHandshakeAndEndsOnceByItsAnswer() {
        send(1, 500);
        assertEquals(List.of("Connect"), drainActionTypes());
        pool.connected(FIRST);
        assertEquals(List.of("Write"), drainActionTypes());
        pool.received(FIRST, NodeCodec.frame(new NodeMessage.Welcome(5, 0)));
        assertEquals(List.of("Write"), drainActionTypes());
        answer(1);
        answer(1);
        assertEquals(List.of("1/0 OK"), ended);
        assertEquals(1, pool.lateAnswers());
    }

    @Test
    void unsentAttemptsEndAsConnectFailed() {
        send(1, 500);
        pool.beginTurn(500, actions);
        pool.expire();
        send(2, 900);
        pool.closed(new NetEvent.Closed(FIRST, true, "closed by the test"));
        assertEquals(List.of("1/0 CONNECT_FAILED", "2/0 CONNECT_FAILED"), ended);
        assertFalse(pool.owns(FIRST));
    }

    @Test
    void sentAttemptsEndAsTimeoutOrReset() {
        send(1, 500);
        send(2, 900);
        completeHandshake();
        pool.beginTurn(500, actions);
        pool.expire();
        pool.closed(new NetEvent.Closed(FIRST, true, "closed by the test"));
        assertEquals(List.of("1/0 TIMEOUT", "2/0 RESET"), ended);
    }

    /** The late answer to a write tells that the node does not work on it any more; it is passed on once. */
    @Test
    void lateAnswerToAnAttemptWithoutOneIsReportedOnce() {
        send(1, 500);
        completeHandshake();
        pool.beginTurn(500, actions);
        pool.expire();
        answer(2);
        answer(1);
        answer(1);
        assertEquals(List.of("1/0 TIMEOUT", "1/0 late"), ended);
    }

    @Test
    void attemptWithoutCapacityIsReportedInTheNextTurn() {
        send(1, 500);
        send(2, 500);
        send(3, 500);
        assertEquals(List.of(), ended);
        assertEquals(0, pool.nextDeadline());
        pool.beginTurn(1, actions);
        pool.expire();
        assertEquals(List.of("3/0 CONNECT_FAILED"), ended);
    }

    @Test
    void cancelledAttemptEndsOnceWhetherSentOrNot() {
        send(1, 500);
        pool.cancel(1, 0);
        pool.cancel(1, 0);
        send(2, 500);
        completeHandshake();
        pool.cancel(2, 0);
        assertEquals(List.of("1/0 CANCELLED", "2/0 CANCELLED"), ended);
    }

    @Test
    void healthCheckNeedsAReadyConnectionAndEndsWithIt() {
        pool.checkHealth(NODE);
        completeHandshake();
        pool.checkHealth(NODE);
        pool.closed(new NetEvent.Closed(FIRST, true, "closed by the test"));
        assertEquals(List.of("check CONNECT_FAILED", "check RESET"), ended);
    }

    @Test
    void idleConnectionIsClosedGracefullyAndOneNotReadyInTimeIsAborted() {
        pool.checkHealth(NODE);
        completeHandshake();
        assertEquals(IDLE, pool.nextDeadline());
        pool.beginTurn(IDLE, actions);
        actions.clear();
        pool.expire();
        assertEquals(List.of(new NetAction.Close(FIRST, false)), actions);
        pool.checkHealth(NODE);
        assertEquals(IDLE + CONNECT_TIMEOUT, pool.nextDeadline());
        pool.beginTurn(IDLE + CONNECT_TIMEOUT, actions);
        actions.clear();
        pool.expire();
        assertEquals(List.of(new NetAction.Close(FIRST - 1, true)), actions);
    }

    @Test
    void unexpectedMessageClosesTheConnection() {
        send(1, 500);
        completeHandshake();
        drainActionTypes();
        pool.received(FIRST, NodeCodec.frame(new NodeMessage.Hello(1, 1)));
        assertEquals(List.of("Log", "Close"), drainActionTypes());
        assertEquals(List.of("1/0 RESET"), ended);
    }
}
