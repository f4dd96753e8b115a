package garnetreel.net;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Runs one {@link StateMachine} on sockets. One XNIO I/O thread reads, writes and calls it: all sockets that are ready
 * in one selection are read first, then their events are handled in one turn (call of {@code handle}). Bytes are never
 * handed from thread to thread (the alternatives, with figures, are in docs/gateway.md). What is sent to whom is
 * decided by the state machine; how listeners are bound and connections accepted and closed, here.
 */
public final class EventLoop implements AutoCloseable {
    /** Durable storage of a state machine; called on the event loop's thread, so it must not wait for a disk. */
    @FunctionalInterface
    public interface DurableStore {
        /** Persists a named state, in place of the previous one of that name. */
        void persist(String name, byte[] data);

        /**
         * Appends a record to the journal, and runs {@code durable} on any thread once it is durable. The default
         * stores nothing and runs it at once.
         */
        default void append(long sequence, byte[] data, Runnable durable) {
            durable.run();
        }

        /**
         * Persists a snapshot; of the journal records that it covers, the last {@code retainedRecords} are retained.
         * The default stores nothing.
         */
        default void snapshot(long sequence, byte[] data, int retainedRecords) {}
    }

    /** Maximum number of turns in a row of a state machine whose deadline is due; then the sockets are read again. */
    private static final int MAX_TURNS_IN_A_ROW = 16;

    private final String name;
    private final Logger log;
    private final StateMachine stateMachine;
    private final DurableStore store;
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final TurnScheduler turns;
    private final EventQueue events;
    private final ConnectionTable connections;
    private final Listeners listeners;
    private final OutgoingConnections outgoing;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final List<NetAction> actions = new ArrayList<>();
    /** The state machine has stopped; connections in a graceful close may still have bytes to send. */
    private boolean stopping;

    /** Set by the first {@link #close}, which closes the resources; no turn begins after it. */
    private final AtomicBoolean closed = new AtomicBoolean();

    private final CountDownLatch resourcesClosed = new CountDownLatch(1);

    /**
     * Creates an event loop with its own I/O thread; {@link #start} runs the first turn.
     *
     * @param name of the loop's threads and of its logger
     * @throws IOException if the selector can't be opened
     */
    public EventLoop(String name, StateMachine stateMachine, Clock clock, DurableStore store) throws IOException {
        this(name, stateMachine, clock, store, new ReceiveBudget(ReceiveBudget.defaultMaxBytes()));
    }

    EventLoop(String name, StateMachine stateMachine, Clock clock, DurableStore store, ReceiveBudget budget)
            throws IOException {
        this.name = name;
        this.log = LoggerFactory.getLogger("garnetreel." + name);
        this.stateMachine = stateMachine;
        this.store = store;
        this.worker = IoWorkers.create(name);
        this.ioThread = worker.getIoThread(0);
        this.turns = new TurnScheduler(name, log, ioThread, clock, this::runTurns);
        this.events = new EventQueue(turns::request);
        this.connections = new ConnectionTable(this, events, budget);
        this.listeners = new Listeners(this, log, worker, events, connections);
        this.outgoing = new OutgoingConnections(this, ioThread, events, connections);
    }

    /** Runs the first turn of the state machine. */
    public EventLoop start() {
        turns.request();
        return this;
    }

    /** Completes with the address of a listener once it is bound; exceptionally if it can't be. */
    public CompletableFuture<String> boundAddress(String listener) {
        return listeners.boundAddress(listener);
    }

    /**
     * Completes when the state machine has stopped and its graceful closes are complete, or when the loop is closed;
     * completes exceptionally if the state machine failed.
     */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    /** Submits a command to the state machine. */
    public void submitCommand(NetEvent.Command command) {
        events.add(new NetEvent.CommandReceived(command));
    }

    /** Runs no turn for a time, as if the process were paused. For tests. */
    public void simulatePause(long micros) {
        turns.simulatePause(micros);
    }

    /**
     * Ends immediately, as a killed process would: no turn follows, sockets are closed without a graceful close. On any
     * thread, and on several. Returns once the sockets are closed, unless a call on another thread still closes them
     * and this is the I/O thread, for whose turn that call waits.
     */
    @Override
    public void close() {
        boolean onIoThread = Thread.currentThread() == ioThread;
        if (closed.compareAndSet(false, true)) {
            closeResources(onIoThread);
        } else if (!onIoThread) {
            await(resourcesClosed);
        }
        stopped.complete(null);
    }

    /** Runs only once: XNIO's close of a listener waits for its threads, and without end if they have ended. */
    private void closeResources(boolean onIoThread) {
        try {
            events.close();
            if (!onIoThread) {
                awaitLastTurn();
            }
            listeners.closeAll();
            outgoing.cancelAll();
            connections.abortAll();
            worker.shutdownNow();
        } finally {
            resourcesClosed.countDown();
        }
    }

    private void awaitLastTurn() {
        CountDownLatch lastTurn = new CountDownLatch(1);
        try {
            ioThread.execute(lastTurn::countDown);
            await(lastTurn);
        } catch (RejectedExecutionException e) {
            log.debug("{} is already closed", name);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Number of connections whose sockets are not closed; for tests of descriptor use. */
    public int openConnections() {
        return connections.size();
    }

    /** Number of connections accepted by all listeners since the start. */
    public long acceptedCount() {
        return listeners.acceptedCount();
    }

    @Override
    public String toString() {
        return name + " " + listeners;
    }

    // ---------------------------------------------------------------- on the I/O thread

    /** Whether the loop is closed, so that no turn follows; on any thread. */
    boolean isClosed() {
        return closed.get();
    }

    /** Runs the turns that are due now. */
    void runTurns() {
        if (isClosed()) {
            return;
        }
        try {
            int count = 0;
            do {
                runTurn();
                count++;
            } while (!isClosed() && count < MAX_TURNS_IN_A_ROW && turns.isDueNow(stateMachine.nextDeadline()));
            turns.schedule(stateMachine.nextDeadline());
        } catch (RuntimeException | Error e) {
            fail(e);
        }
    }

    /**
     * Runs a channel listener. XNIO only logs what it throws, and leaves the channel as it is; after an error of the
     * JVM, such as a full heap, other channels and the loop's threads may be affected too.
     */
    void runChannelListener(Runnable channelListener) {
        try {
            channelListener.run();
        } catch (Error e) {
            fail(e);
        }
    }

    /**
     * Closes the loop after an error in its state machine or in a channel listener, as the state of either is undefined
     * then. Futures that wait for the loop complete with the cause, also if it can't be logged.
     */
    private void fail(Throwable cause) {
        try {
            log.error("{} failed, closing its event loop", name, cause);
        } finally {
            stopped.completeExceptionally(cause);
            listeners.failPendingAddresses(cause);
            close();
        }
    }

    private void runTurn() {
        while (!isClosed() && turns.isPauseSimulated()) {
            turns.parkDuringPause();
        }
        List<NetEvent> handled = events.take();
        stateMachine.handle(turns.beginTurn(), handled, actions);
        for (NetAction action : actions) {
            perform(action);
        }
        actions.clear();
        connections.flush();
        connections.completeEvents(handled);
    }

    private void perform(NetAction action) {
        if (action instanceof NetAction.Write write) {
            connections.write(write);
        } else if (action instanceof NetAction.SetReadInterest interest) {
            connections.setReadInterest(interest);
        } else if (action instanceof NetAction.Close close) {
            connections.clearReadPause(close.connectionId());
            outgoing.cancel(close.connectionId());
            connections.close(close);
        } else if (action instanceof NetAction.Connect connect) {
            outgoing.connect(connect);
        } else if (action instanceof NetAction.Listen listen) {
            listeners.listen(listen);
        } else if (action instanceof NetAction.StopListening stop) {
            listeners.stop(stop.listener());
        } else if (action instanceof NetAction.Persist persist) {
            store.persist(persist.name(), persist.data());
        } else if (action instanceof NetAction.Append append) {
            store.append(append.sequence(), append.data(), () -> events.add(new NetEvent.Appended(append.sequence())));
        } else if (action instanceof NetAction.Snapshot snapshot) {
            store.snapshot(snapshot.sequence(), snapshot.data(), snapshot.retainedRecords());
        } else if (action instanceof NetAction.Log message) {
            log(message);
        } else if (action instanceof NetAction.Stopped) {
            connections.flush();
            stopping = true;
            completeStopIfDrained();
        }
    }

    private void log(NetAction.Log message) {
        switch (message.level()) {
            case DEBUG -> log.debug(message.text());
            case INFO -> log.info(message.text());
            case WARN -> log.warn(message.text());
        }
    }

    /** Completes the stop of the state machine once its graceful closes are complete and its listeners closed. */
    void completeStopIfDrained() {
        if (stopping && connections.allClosesComplete() && listeners.allStopsComplete()) {
            stopped.complete(null);
        }
    }
}
