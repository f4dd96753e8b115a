package garnetreel.cli;

import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.cli.lifecycle.ProcessSignals;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.net.Clock;
import garnetreel.net.EventLoop;
import garnetreel.policy.FairQueueScheduler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The state machines of this process, each on its own event loop, all with the same clock. */
public final class ServiceProcess implements AutoCloseable {
    private static final int BIND_SECONDS = 10;
    /** Time for the last answers of a shutdown to be read, in microseconds. */
    private static final long CLOSING_MICROS = 500_000;

    /** The clock of all state machines in this process. */
    public final Clock clock = Clock.system();

    /** Event loops and journal writers, closed in reverse order: an event loop before the writer that it uses. */
    private final Deque<Resource> resources = new ArrayDeque<>();

    private record Resource(Object owner, Runnable close) {}

    /** Starts a state machine that has no durable state. */
    public EventLoop run(String name, StateMachine machine) throws IOException {
        return run(name, machine, (state, data) -> {});
    }

    /** Starts a state machine; state that must survive a crash goes to {@code store}. */
    public EventLoop run(String name, StateMachine machine, EventLoop.DurableStore store) throws IOException {
        EventLoop eventLoop = new EventLoop(name, machine, clock, store).start();
        resources.push(new Resource(eventLoop, eventLoop::close));
        return eventLoop;
    }

    /**
     * Starts a gateway instance.
     *
     * @param directory its state directory, which holds the node list, the maps and the file catalogue; null for none
     */
    public EventLoop startGateway(GatewaySettings settings, Path directory) throws IOException {
        GatewayState state = directory == null
                ? GatewayState.NONE
                : GatewayState.open(directory, !settings.files().modules().isEmpty());
        if (state.writer() != null) {
            closeWithProcess(state.writer(), state.writer()::close);
        }
        Gateway gateway = new Gateway(
                settings, new FairQueueScheduler(settings.scheduling(), settings.incarnation()), state.stored());
        return run(
                "head-" + settings.gatewayNumber(),
                gateway,
                state.writer() == null ? (name, data) -> {} : state.writer());
    }

    /** Registers a resource that {@link #close} closes after all event loops that are started later. */
    void closeWithProcess(Object owner, Runnable close) {
        resources.push(new Resource(owner, close));
    }

    /** Closes one event loop at once, without a drain. */
    public void stop(EventLoop eventLoop) {
        resources.removeIf(resource -> resource.owner() == eventLoop);
        eventLoop.close();
    }

    /**
     * Waits until a listener is bound.
     *
     * @return its address
     * @throws IOException when it can't be bound, or is not bound within 10 s
     */
    public static String bound(EventLoop eventLoop, String listener) throws IOException {
        try {
            return eventLoop.boundAddress(listener).get(BIND_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("listener not bound within " + BIND_SECONDS + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Makes SIGTERM drain the gateway: it refuses new requests and answers all that it has accepted, for the longest deadline of
     * a request at most.
     */
    public void drainOnShutdown(EventLoop gateway, long longestDeadlineMicros) {
        shutDownBeforeExit(gateway, new Gateway.Shutdown(), longestDeadlineMicros);
    }

    /**
     * Makes SIGTERM shut a state machine down by a command. The process then exits with 0, or with 1 if the state machine has not
     * stopped within its limit, or clients have not closed their side of a connection {@link #CLOSING_MICROS} after that.
     *
     * @param limitMicros time in which the state machine stops by itself
     */
    void shutDownBeforeExit(EventLoop eventLoop, NetEvent.Command shutdown, long limitMicros) {
        ProcessSignals.beforeExit("drain", () -> {
            eventLoop.submitCommand(shutdown);
            int code = ExitCode.OK;
            try {
                eventLoop.stopped().get(limitMicros + CLOSING_MICROS, TimeUnit.MICROSECONDS);
            } catch (InterruptedException | ExecutionException | TimeoutException e) {
                // The interrupt flag is not restored: close() must complete pending writes before the JVM halts.
                code = ExitCode.FAILED;
            }
            close();
            return code;
        });
    }

    /** Waits until a state machine has stopped by itself; returns the exit code. */
    public static int awaitStopped(EventLoop eventLoop) {
        try {
            eventLoop.stopped().get();
            return ExitCode.OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        } catch (ExecutionException e) {
            return ExitCode.FAILED;
        }
    }

    @Override
    public void close() {
        while (!resources.isEmpty()) {
            resources.pop().close().run();
        }
    }
}
