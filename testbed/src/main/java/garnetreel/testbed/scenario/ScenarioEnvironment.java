package garnetreel.testbed.scenario;

import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;

/** Environment in which a scenario runs: sockets and the system clock, or a simulated network and a virtual clock. */
public interface ScenarioEnvironment {
    /** Current time in microseconds since the epoch. */
    long now();

    /** Starts a process that runs a state machine, and runs its first turn. */
    RunningProcess launch(String name, StateMachine stateMachine, StateStore store);

    /** Runs until a time; all events due before it have been processed on return. */
    void advance(long until);

    /** Durable storage for the state of a state machine. */
    @FunctionalInterface
    interface StateStore {
        /** Discards all data. */
        StateStore NONE = (name, data) -> {};

        /** Stores a value under a name, replacing the previous one. */
        void put(String name, byte[] data);

        /** Durably appends a record to the journal. */
        default void append(long seq, byte[] data) {}

        /**
         * Stores a snapshot of the journal; of the records that it covers the last {@code retainedRecords} are
         * retained.
         */
        default void snapshot(long seq, byte[] data, int retainedRecords) {}
    }

    /** A process that runs a state machine. */
    interface RunningProcess {
        /** Address of a listener. */
        String address(String listener);

        /** Delivers a command to the state machine. */
        void send(NetEvent.Command command);

        /** Runs no turn for a time, as if the process were stopped. */
        void stall(long micros);

        /** Ends the process as if it were killed. */
        void kill();
    }
}
