package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Busy;
import garnetreel.codec.map.MapMessage.Command;
import garnetreel.codec.map.MapMessage.Result;
import garnetreel.codec.map.MapMessage.Subscribe;
import garnetreel.core.io.NetAction;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** What a client of the map service has sent until its connection is closed is answered, whatever ends it. */
class MapClientEndingsTest {
    private static final long SECOND = 1_000_000;
    /** Silence after which a connection counts as having nothing on its way. */
    private static final long SILENCE = 200_000;

    private static final Result DONE = new Result(true, "{}");

    private final ServiceFixture fixture = new ServiceFixture();
    private final List<Consumer<Result>> answers = new ArrayList<>();
    private final MapClientConnections clients = new MapClientConnections(
            fixture.turn, fixture.state, fixture.rollbacks, 2, (command, answer) -> answers.add(answer));

    MapClientEndingsTest() {
        clients.start();
        clients.accepted(1);
    }

    private void receive(MapMessage message) {
        clients.received(1, MapCodec.frame(message));
    }

    private static Command move() {
        return new Command("somebody", "move 7 1 1");
    }

    private List<MapMessage> sent(List<NetAction> actions) {
        return ServiceFixture.toClients(actions).stream()
                .map(ServiceFixture.Sent::message)
                .toList();
    }

    private void advanceTo(long time) {
        fixture.beginTurnAt(time);
        clients.expire();
    }

    private static boolean isRefused(MapMessage message) {
        return message instanceof Result result && !result.ok() && result.json().contains("shutting down");
    }

    /** SIGTERM dropped commands whose changes were made, and those that came after it. */
    @Test
    void commandsAreAnsweredAtShutdownAndFurtherOnesRefused() {
        receive(move());
        clients.shutDown();
        receive(move());
        List<MapMessage> refused = sent(fixture.actions());
        assertEquals(1, refused.size());
        assertTrue(isRefused(refused.get(0)));
        assertEquals(1, answers.size(), "a command that is refused is not executed");
        advanceTo(SECOND);
        answers.get(0).accept(DONE);
        List<NetAction> actions = fixture.actions();
        assertEquals(List.of(DONE), sent(actions));
        assertTrue(actions.contains(new NetAction.Close(1, false)));
        assertEquals(0, clients.closedConnections().owedAnswers());
    }

    /** A command of which a part was received at SIGTERM is answered when it is whole. */
    @Test
    void aCommandThatIsHalfReceivedAtShutdownIsAnswered() {
        ByteBuffer frame = MapCodec.frame(move());
        clients.received(1, frame.slice(0, 5));
        clients.shutDown();
        advanceTo(SILENCE + 1);
        assertTrue(clients.owns(1));
        clients.received(1, frame.slice(5, frame.remaining() - 5));
        assertTrue(isRefused(sent(fixture.actions()).get(0)));
        advanceTo(2 * SILENCE + 1);
        assertFalse(clients.owns(1));
    }

    /** A client that sends without end is answered, and no longer read after a second. */
    @Test
    void aClientThatSendsWithoutEndDoesNotHoldUpTheShutdown() {
        clients.shutDown();
        for (long time = 0; time < SECOND; time += 1_000) {
            advanceTo(time);
            receive(move());
            assertTrue(isRefused(sent(fixture.actions()).get(0)));
        }
        advanceTo(SECOND);
        assertFalse(clients.owns(1));
    }

    /** A gateway that subscribes after SIGTERM is told to come back later. */
    @Test
    void subscriptionsAreRefusedAtShutdown() {
        clients.shutDown();
        receive(new Subscribe(0, 1, 1));
        assertTrue(sent(fixture.actions()).get(0) instanceof Busy);
    }

    /** When the time for the shutdown is over, commands in progress get an error. */
    @Test
    void commandsThatTakeTooLongAreAnsweredAtTheEndOfTheShutdown() {
        receive(move());
        clients.shutDown();
        clients.finishShutdown();
        assertTrue(isRefused(sent(fixture.actions()).get(0)));
        assertTrue(clients.isEmpty());
        assertEquals(0, clients.closedConnections().owedAnswers());
    }

    /** A protocol error reset the connection, and with it the answers to the commands before. */
    @Test
    void commandsBeforeAProtocolErrorAreAnswered() {
        receive(move());
        receive(new Busy(5));
        answers.get(0).accept(DONE);
        List<NetAction> actions = fixture.actions();
        assertEquals(List.of(DONE), sent(actions));
        assertTrue(actions.contains(new NetAction.Close(1, false)));
    }

    /** A client that connects in the turn of the shutdown or after it is refused, and its connection ends. */
    @Test
    void clientsThatConnectAfterShutdownAreRefused() {
        clients.shutDown();
        clients.accepted(2);
        clients.received(2, MapCodec.frame(move()));
        assertTrue(isRefused(sent(fixture.actions()).get(0)));
        advanceTo(SILENCE);
        assertTrue(clients.isEmpty());
    }
}
