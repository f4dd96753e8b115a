package garnetreel.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.testbed.scenario.ScenarioEnvironment;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The simulated network: order of bytes, backpressure, and the end of connections. */
class SimulationTest {
    /** Performs given actions in its first and later turns, and records all events. */
    private static final class ScriptedStateMachine implements StateMachine {
        final List<NetAction> initialActions;
        final List<NetEvent> handledEvents = new ArrayList<>();
        final List<NetAction> nextActions = new ArrayList<>();
        boolean started;

        ScriptedStateMachine(NetAction... initialActions) {
            this.initialActions = List.of(initialActions);
        }

        @Override
        public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
            handledEvents.addAll(events);
            if (!started) {
                started = true;
                actions.addAll(initialActions);
            }
            actions.addAll(nextActions);
            nextActions.clear();
        }

        @Override
        public long nextDeadline() {
            return Long.MAX_VALUE;
        }

        long receivedBytes() {
            return handledEvents.stream()
                    .filter(event -> event instanceof NetEvent.Received)
                    .mapToLong(event -> ((NetEvent.Received) event).data().remaining())
                    .sum();
        }
    }

    private record RunTurn() implements NetEvent.Command {}

    private final Simulation simulation = new Simulation(0, 5, new Simulation.Delays(50, 200));
    private final ScriptedStateMachine server = new ScriptedStateMachine(new NetAction.Listen("s", "127.0.0.1:0"));
    private final ScenarioEnvironment.RunningProcess serverProcess =
            simulation.launch("server", server, ScenarioEnvironment.StateStore.NONE);

    private ScriptedStateMachine connectClient() {
        ScriptedStateMachine client = new ScriptedStateMachine(new NetAction.Connect(-1, serverProcess.address("s")));
        simulation.launch("client", client, ScenarioEnvironment.StateStore.NONE);
        simulation.advance(simulation.now() + 10_000);
        assertTrue(client.handledEvents.contains(new NetEvent.Connected(-1)));
        return client;
    }

    private void perform(
            ScenarioEnvironment.RunningProcess process, ScriptedStateMachine stateMachine, NetAction... actions) {
        stateMachine.nextActions.addAll(List.of(actions));
        process.send(new RunTurn());
        simulation.advance(simulation.now() + 10_000);
    }

    @Test
    void bytesArriveInOrderBeforeTheClose() {
        ScriptedStateMachine client = connectClient();
        List<NetAction> actions = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            actions.add(new NetAction.Write(1, ByteBuffer.wrap(new byte[] {(byte) i})));
        }
        actions.add(new NetAction.Close(1, false));
        perform(serverProcess, server, actions.toArray(new NetAction[0]));
        int expected = 0;
        for (NetEvent event : client.handledEvents) {
            if (event instanceof NetEvent.Received received) {
                assertEquals(expected++, received.data().get(received.data().position()));
            }
        }
        assertEquals(100, expected);
        assertTrue(client.handledEvents.get(client.handledEvents.size() - 1) instanceof NetEvent.Closed);
    }

    @Test
    void pausedReadingDelaysTheWrittenEvent() {
        ScriptedStateMachine client = new ScriptedStateMachine(new NetAction.Connect(-1, serverProcess.address("s")));
        ScenarioEnvironment.RunningProcess process =
                simulation.launch("client", client, ScenarioEnvironment.StateStore.NONE);
        simulation.advance(simulation.now() + 10_000);
        perform(process, client, new NetAction.SetReadInterest(-1, false));
        perform(serverProcess, server, new NetAction.Write(1, ByteBuffer.allocate(500)));
        assertEquals(0, client.receivedBytes());
        assertTrue(server.handledEvents.stream().noneMatch(event -> event instanceof NetEvent.Written));
        perform(process, client, new NetAction.SetReadInterest(-1, true));
        assertEquals(500, client.receivedBytes());
        assertTrue(server.handledEvents.contains(new NetEvent.Written(1, 500)));
    }

    @Test
    void killingAProcessClosesItsConnectionsAndRefusesNewOnes() {
        ScriptedStateMachine client = connectClient();
        String address = serverProcess.address("s");
        serverProcess.kill();
        simulation.advance(simulation.now() + 10_000);
        assertTrue(client.handledEvents.stream()
                .anyMatch(event -> event instanceof NetEvent.Closed closed && closed.opened()));
        ScriptedStateMachine lateClient = new ScriptedStateMachine(new NetAction.Connect(-1, address));
        simulation.launch("late", lateClient, ScenarioEnvironment.StateStore.NONE);
        simulation.advance(simulation.now() + 10_000);
        assertEquals(List.of(new NetEvent.Closed(-1, false, "connection refused")), lateClient.handledEvents);
    }
}
