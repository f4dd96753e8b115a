package garnetreel.emulator;

import garnetreel.core.io.StateMachine;
import garnetreel.testbed.scenario.ScenarioEnvironment;
import java.util.SplittableRandom;

/**
 * Runs state machines on a virtual clock and network. The simulation is single-threaded and deterministic: runs with
 * the same seed are identical to the byte.
 *
 * <p>A connection carries bytes in order. Each write has a random delay, but never overtakes an earlier one. While a
 * receiver does not read, the sender gets no {@code Drained} event for the bytes. When a process is killed, bytes in
 * transit to it are lost; those that it wrote before arrive, followed by the end of the connection.
 *
 * <p>An event costs O(log n) in the number of scheduled events; no operation iterates over all processes.
 */
public final class Simulation implements ScenarioEnvironment {
    /**
     * Network delays in microseconds: a minimum, and an exponentially distributed part above it.
     *
     * @param minimum shortest delay
     * @param mean mean of the whole delay
     */
    public record Delays(long minimum, long mean) {}

    private final SimulationEventQueue eventQueue;
    private final VirtualNetwork network;

    /**
     * Creates a simulation without processes.
     *
     * @param startTime initial virtual time, in microseconds since the epoch
     * @param seed of the random delays
     */
    public Simulation(long startTime, long seed, Delays delays) {
        this.eventQueue = new SimulationEventQueue(startTime);
        this.network = new VirtualNetwork(eventQueue, new SplittableRandom(seed), delays);
    }

    @Override
    public long now() {
        return eventQueue.now();
    }

    @Override
    public ScenarioEnvironment.RunningProcess launch(
            String name, StateMachine stateMachine, ScenarioEnvironment.StateStore store) {
        SimulatedProcess process = new SimulatedProcess(name, stateMachine, store, eventQueue, network);
        process.runTurn();
        return process;
    }

    @Override
    public void advance(long until) {
        eventQueue.advance(until);
    }
}
