package garnetreel.testbed.node;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Answer;
import garnetreel.codec.node.NodeMessage.Cancel;
import garnetreel.codec.node.NodeMessage.Hello;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.codec.node.NodeMessage.Probe;
import garnetreel.codec.node.NodeMessage.ProbeReply;
import garnetreel.codec.node.NodeMessage.Request;
import garnetreel.codec.node.NodeMessage.Result;
import garnetreel.codec.node.NodeMessage.Welcome;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.testbed.node.ExecutionQueue.Job;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent.Kind;
import garnetreel.testbed.trace.TraceLabels;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A fake storage node: keeps data in memory, simulates the duration of work, starts cold, collapses under overload
 * while cold, and injects faults on command. It traces the messages on its sockets.
 *
 * <p>This class implements the sessions and the protocol. The order of random draws is part of its behaviour, since a
 * run must be reproducible from its seed: do not add, remove or reorder draws.
 */
public final class FakeNode implements StateMachine {
    private static final String LISTENER = "node";
    /** Name of the only value in the node's load report, as gateways expect it. */
    private static final String IN_FLIGHT = "outstanding";

    /**
     * Sets the address of the node list on a running node.
     *
     * @param address host and port of the node list
     */
    public record SetNodeList(String address) implements NetEvent.Command {}

    private final NodeSettings settings;
    private final MemoryDisk disk;
    private final long nodeIncarnation;
    private final Turn turn = new Turn();
    private final NodeTrace trace;
    private final ActiveFaults faults;
    private final WarmUp warmUp;
    private final NodeListRegistration registration;
    private final ClientConnections connections;
    private final ExecutionQueue queue;
    private final RequestExecutor executor;
    private final ControlCommandHandler commandHandler;
    private final ServedUnits servedUnits = new ServedUnits();
    private boolean started;
    private long drainAt = Long.MAX_VALUE;

    /**
     * Creates a node that starts with its first turn.
     *
     * @param disk the data left by earlier incarnations; the caller has applied {@link MemoryDisk#crash} where needed
     * @param nodeIncarnation number of the incarnation; two incarnations differ in it if answered but unflushed writes
     *     are lost in between
     */
    public FakeNode(NodeSettings settings, MemoryDisk disk, Trace trace, long seed, long nodeIncarnation) {
        this.settings = settings;
        this.disk = disk;
        this.nodeIncarnation = nodeIncarnation;
        SplittableRandom random = new SplittableRandom(seed);
        LoadMeter meter = new LoadMeter();
        this.trace = new NodeTrace(settings, trace, turn);
        this.faults = new ActiveFaults(random);
        this.warmUp = new WarmUp(settings);
        this.registration = new NodeListRegistration(settings, turn, warmUp);
        this.queue = new ExecutionQueue(settings, turn, disk, faults, random, warmUp, meter);
        this.connections = new ClientConnections(settings, turn, faults, random, queue::abandon);
        this.executor = new RequestExecutor(settings, turn, disk, meter, this.trace);
        this.commandHandler =
                new ControlCommandHandler(settings, turn, disk, meter, queue, this.trace, nodeIncarnation);
    }

    @Override
    public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
        turn.begin(now, actions);
        if (!started) {
            start();
        }
        for (NetEvent event : events) {
            handle(event);
        }
        queue.run(job -> rejectIfStale(job.connection, job.request), this::finish);
        registration.connectIfDue();
    }

    private void start() {
        started = true;
        warmUp.start(turn.now());
        queue.start();
        turn.add(new NetAction.Listen(LISTENER, settings.listen()));
    }

    private void handle(NetEvent event) {
        if (event instanceof NetEvent.Received received) {
            ClientConnection connection = connections.find(received.connectionId());
            if (connection != null) {
                received(connection, received.data());
            }
        } else if (event instanceof NetEvent.Accepted accepted) {
            connections.accepted(accepted.connectionId(), warmUp.isCollapsed());
        } else if (event instanceof NetEvent.Closed closed) {
            if (registration.isConnection(closed.connectionId())) {
                registration.closed();
            } else {
                connections.closedByClient(closed.connectionId());
            }
        } else if (event instanceof NetEvent.Connected connected
                && registration.isConnection(connected.connectionId())) {
            registration.connected();
        } else if (event instanceof NetEvent.Listening listening) {
            listening(listening.address());
        } else if (event instanceof NetEvent.CommandReceived received) {
            command(received.command());
        }
    }

    private void listening(String address) {
        // Clearing REFUSE makes it listen at the same address again; only the first time is a start.
        if (registration.ownAddress().isEmpty()) {
            trace.started(address);
        }
        registration.setOwnAddress(address);
    }

    private void command(NetEvent.Command command) {
        if (command instanceof SetNodeList list) {
            registration.setListAddress(list.address());
        } else if (command instanceof NodeFault fault) {
            apply(fault);
        }
    }

    private void apply(NodeFault fault) {
        boolean cleared = fault.clears();
        faults.apply(fault);
        trace.fault(fault);
        switch (fault.kind()) {
            case HALF_OPEN -> connections.setReadInterest(cleared);
            case REFUSE -> {
                if (cleared) {
                    turn.add(new NetAction.Listen(LISTENER, registration.ownAddress()));
                } else {
                    turn.add(new NetAction.StopListening(LISTENER));
                    connections.abortAll();
                }
            }
            case DRAIN -> {
                drainAt = cleared ? Long.MAX_VALUE : turn.now() + (long) fault.amount();
                registration.setDraining(!cleared);
            }
            default -> {
                // The other faults are looked up where they take effect.
            }
        }
    }

    // ---------------------------------------------------------------- protocol

    private void received(ClientConnection connection, ByteBuffer data) {
        connection.input.add(data);
        try {
            while (connections.isOpen(connection)) {
                NodeMessage message = NodeCodec.next(connection.input);
                if (message == null) {
                    return;
                }
                handle(connection, message);
            }
        } catch (ProtocolException e) {
            turn.add(new NetAction.Log(Level.WARN, settings.name() + ": " + e.getMessage()));
            connections.close(connection, true);
        }
    }

    private void handle(ClientConnection connection, NodeMessage message) throws ProtocolException {
        if (message instanceof Hello hello) {
            connection.gateway = hello.gatewayId();
            connection.incarnation = hello.incarnation();
            if (!faults.suppressesAnswers()) {
                connections.write(connection, new Welcome(nodeIncarnation, turn.now()));
            }
        } else if (message instanceof Request request) {
            requestArrived(connection, request);
        } else if (message instanceof Cancel cancel) {
            queue.cancel(connection, cancel.id(), cancel.attempt());
        } else if (message instanceof NodeMessage.ControlCommand command) {
            commandArrived(connection, command);
        } else if (message instanceof Probe probe) {
            connections.write(connection, new ProbeReply(probe.id(), nodeIncarnation, load()));
        } else {
            throw new ProtocolException(
                    "unexpected message from a client: " + message.getClass().getSimpleName());
        }
    }

    private void requestArrived(ClientConnection connection, Request request) {
        trace.request(Kind.ARRIVE, connection, request, turn.now() >= request.deadline() ? "expired" : "");
        collapseIfOverloaded(request.units());
        if (warmUp.isCollapsed()) {
            return;
        }
        if (faults.affects(NodeFault.Kind.ERRORS)) {
            answer(connection, request, Result.ERROR, NodeMessage.noData());
        } else if (request.shard() != settings.shard()) {
            answer(connection, request, Result.UNKNOWN_SHARD, NodeMessage.noData());
        } else if (rejectIfStale(connection, request)) {
            return;
        } else if (queue.isFull() || turn.now() >= drainAt) {
            answer(connection, request, Result.FULL, NodeMessage.noData());
        } else {
            queue.add(connection, request);
        }
    }

    private void collapseIfOverloaded(int units) {
        String reason = warmUp.recordArrival(units, turn.now());
        if (reason != null) {
            trace.collapsed(reason);
            turn.add(new NetAction.StopListening(LISTENER));
            connections.abortAll();
            registration.abort();
        }
    }

    /** Commands of the map service bypass the queue; the pages that they read and write take no simulated time. */
    private void commandArrived(ClientConnection connection, NodeMessage.ControlCommand command) {
        if (!faults.suppressesAnswers() && !faults.isActive(NodeFault.Kind.CUT_OFF)) {
            connections.write(connection, commandHandler.execute(command));
        }
    }

    /**
     * Checked on arrival and again at the start of execution, since the extent may be fenced while the request is
     * queued.
     */
    private boolean rejectIfStale(ClientConnection connection, Request request) {
        ExtentTable extents = disk.extents();
        if (request.op() == Op.FLUSH || extents.serves(request.volume(), request.offset(), request.version())) {
            return false;
        }
        ByteBuffer knownVersion = ByteBuffer.allocate(Long.BYTES)
                .putLong(extents.knownVersion(request.volume(), request.offset()))
                .flip();
        answer(connection, request, Result.STALE, knownVersion);
        return true;
    }

    private void finish(Job job) {
        ByteBuffer data = NodeMessage.noData();
        Result result = Result.OK;
        try {
            data = executor.execute(job.connection, job.request);
        } catch (DamagedPageException e) {
            turn.add(new NetAction.Log(Level.WARN, settings.name() + ": " + e.getMessage()));
            result = Result.ERROR;
        }
        if (!job.abandoned) {
            answer(job.connection, job.request, result, data);
        }
    }

    private void answer(ClientConnection connection, Request request, Result result, ByteBuffer data) {
        if (faults.suppressesAnswers() || faults.affects(NodeFault.Kind.LOSE_ANSWERS)) {
            return;
        }
        trace.request(Kind.ANSWER, connection, request, TraceLabels.of(result));
        int unitsThroughOthers = result == Result.OK
                ? servedUnits.countAndTakeUnreported(request.volume(), connection.gateway, request.units())
                : 0;
        connections.write(
                connection,
                new Answer(
                        request.id(), request.attempt(), result, 0, unitsThroughOthers, nodeIncarnation, load(), data));
    }

    private Map<String, Double> load() {
        return Map.of(IN_FLIGHT, (double) queue.inFlight());
    }

    @Override
    public long nextDeadline() {
        return started ? Math.min(queue.nextDeadline(), registration.nextDeadline()) : turn.now();
    }
}
