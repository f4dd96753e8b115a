package garnetreel.emulator;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.emulator.SimulationEventQueue.Phase;
import garnetreel.testbed.scenario.ScenarioEnvironment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A state machine in the simulation, with its turns (calls of {@code handle}), durable storage and connection ends. */
final class SimulatedProcess implements ScenarioEnvironment.RunningProcess {
    /** Time until a journal record or snapshot becomes durable. */
    private static final long DISK_LATENCY_MICROS = 1_000;

    final String name;
    final Map<Long, ConnectionEnd> connections = new TreeMap<>();
    /** Addresses by name of the listener. */
    final Map<String, String> listeners = new HashMap<>();

    long acceptedConnections;
    private final StateMachine stateMachine;
    private final ScenarioEnvironment.StateStore store;
    private final SimulationEventQueue eventQueue;
    private final VirtualNetwork network;
    private List<NetEvent> pendingEvents = new ArrayList<>();
    private boolean turnScheduled;
    private boolean killed;
    private long nextDeadline = Long.MAX_VALUE;
    private long stalledUntil;

    SimulatedProcess(
            String name,
            StateMachine stateMachine,
            ScenarioEnvironment.StateStore store,
            SimulationEventQueue eventQueue,
            VirtualNetwork network) {
        this.name = name;
        this.stateMachine = stateMachine;
        this.store = store;
        this.eventQueue = eventQueue;
        this.network = network;
    }

    boolean isKilled() {
        return killed;
    }

    // ---------------------------------------------------------------- control

    @Override
    public String address(String listener) {
        String address = listeners.get(listener);
        if (address == null) {
            throw new IllegalStateException(name + " has no listener " + listener);
        }
        return address;
    }

    @Override
    public void send(NetEvent.Command command) {
        deliver(new NetEvent.CommandReceived(command));
    }

    @Override
    public void stall(long micros) {
        stalledUntil = Math.max(stalledUntil, eventQueue.now() + micros);
    }

    @Override
    public void kill() {
        killed = true;
        network.disconnect(this);
    }

    // ---------------------------------------------------------------- turns

    /** Queues an event for the next turn, and schedules that. */
    void deliver(NetEvent event) {
        if (!killed) {
            pendingEvents.add(event);
            scheduleTurn(eventQueue.now());
        }
    }

    private void scheduleTurn(long time) {
        if (turnScheduled) {
            return;
        }
        turnScheduled = true;
        eventQueue.schedule(Math.max(time, stalledUntil), Phase.TURN, () -> {
            turnScheduled = false;
            if (eventQueue.now() < stalledUntil) {
                scheduleTurn(stalledUntil);
            } else {
                runTurn();
            }
        });
    }

    void runTurn() {
        if (killed) {
            return;
        }
        List<NetEvent> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        List<NetAction> actions = new ArrayList<>();
        stateMachine.handle(eventQueue.now(), events, actions);
        actions.forEach(this::perform);
        long deadline = stateMachine.nextDeadline();
        nextDeadline = deadline;
        if (deadline != Long.MAX_VALUE) {
            // At least one microsecond later, as time would not advance with a deadline that is always due.
            eventQueue.schedule(Math.max(deadline, eventQueue.now() + 1), Phase.TURN, () -> {
                if (nextDeadline == deadline && !killed && !turnScheduled) {
                    scheduleTurn(eventQueue.now());
                }
            });
        }
    }

    private void perform(NetAction action) {
        if (action instanceof NetAction.Write write) {
            network.write(connections.get(write.connectionId()), write.data());
        } else if (action instanceof NetAction.SetReadInterest interest) {
            network.setReadInterest(connections.get(interest.connectionId()), interest.enabled());
        } else if (action instanceof NetAction.Close close) {
            network.close(connections.get(close.connectionId()), VirtualNetwork.CLOSED_BY_PEER);
        } else if (action instanceof NetAction.Connect connect) {
            network.connect(this, connect);
        } else if (action instanceof NetAction.Listen listen) {
            network.listen(this, listen);
        } else if (action instanceof NetAction.StopListening stop) {
            network.stopListening(this, stop);
        } else if (action instanceof NetAction.Append append) {
            append(append);
        } else if (action instanceof NetAction.Snapshot snapshot) {
            whenDurable(() -> store.snapshot(snapshot.sequence(), snapshot.data(), snapshot.retainedRecords()));
        } else if (action instanceof NetAction.Persist persist) {
            store.put(persist.name(), persist.data()); // without latency: no event reports that it is durable
        }
    }

    private void append(NetAction.Append append) {
        whenDurable(() -> {
            store.append(append.sequence(), append.data());
            deliver(new NetEvent.Appended(append.sequence()));
        });
    }

    /** Runs an action after the disk latency, unless the process is killed before: what is not durable then is lost. */
    private void whenDurable(Runnable action) {
        eventQueue.schedule(eventQueue.now() + DISK_LATENCY_MICROS, Phase.DELIVERY, () -> {
            if (!killed) {
                action.run();
            }
        });
    }
}
