package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.net.EventLoop;
import garnetreel.testbed.scenario.ScenarioEnvironment;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.locks.LockSupport;

/** Runs a scenario in this process, on loopback sockets and the system clock. */
final class SocketEnvironment implements ScenarioEnvironment, AutoCloseable {
    private final ServiceProcess process = new ServiceProcess();

    @Override
    public long now() {
        return process.clock.currentMicros();
    }

    @Override
    public ScenarioEnvironment.RunningProcess launch(
            String name, StateMachine machine, ScenarioEnvironment.StateStore store) {
        EventLoop eventLoop;
        try {
            eventLoop = process.run(name, machine, new EventLoop.DurableStore() {
                @Override
                public void persist(String state, byte[] data) {
                    store.put(state, data);
                }

                @Override
                public void append(long seq, byte[] data, Runnable durable) {
                    store.append(seq, data);
                    durable.run();
                }

                @Override
                public void snapshot(long seq, byte[] data, int retainedRecords) {
                    store.snapshot(seq, data, retainedRecords);
                }
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new ScenarioEnvironment.RunningProcess() {
            @Override
            public String address(String listener) {
                try {
                    return ServiceProcess.bound(eventLoop, listener);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }

            @Override
            public void send(NetEvent.Command command) {
                eventLoop.submitCommand(command);
            }

            @Override
            public void stall(long micros) {
                eventLoop.simulatePause(micros);
            }

            @Override
            public void kill() {
                process.stop(eventLoop);
            }
        };
    }

    @Override
    public void advance(long until) {
        long remaining;
        while ((remaining = until - now()) > 0) {
            LockSupport.parkNanos(remaining * 1000);
        }
    }

    @Override
    public void close() {
        process.close();
    }
}
