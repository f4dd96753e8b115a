package garnetreel.emulator;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.emulator.SimulationEventQueue.Phase;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The simulated network: listeners, and connections with random delays. */
final class VirtualNetwork {
    static final String CLOSED_BY_PEER = "closed by the peer";

    private static final int PORT_BASE = 20_000;
    /** Suffix of an address for which the network chooses the port. */
    private static final String ANY_PORT = ":0";

    private record Listener(SimulatedProcess process, String name) {}

    private final SimulationEventQueue eventQueue;
    private final SplittableRandom random;
    private final Simulation.Delays delays;
    private final Map<String, Listener> listeners = new HashMap<>();
    private int lastPort = PORT_BASE;

    VirtualNetwork(SimulationEventQueue eventQueue, SplittableRandom random, Simulation.Delays delays) {
        this.eventQueue = eventQueue;
        this.random = random;
        this.delays = delays;
    }

    private long nextDelay() {
        double exponential = -Math.log(1 - random.nextDouble());
        return delays.minimum() + (long) (exponential * (delays.mean() - delays.minimum()));
    }

    private void schedule(long time, Runnable action) {
        eventQueue.schedule(time, Phase.DELIVERY, action);
    }

    // ---------------------------------------------------------------- listeners

    void listen(SimulatedProcess process, NetAction.Listen listen) {
        String address = listen.address();
        if (address.endsWith(ANY_PORT)) {
            address = address.substring(0, address.length() - 1) + ++lastPort;
        }
        if (listeners.putIfAbsent(address, new Listener(process, listen.listener())) != null) {
            process.deliver(new NetEvent.ListenFailed(listen.listener(), address + " is already in use"));
        } else {
            process.listeners.put(listen.listener(), address);
            process.deliver(new NetEvent.Listening(listen.listener(), address));
        }
    }

    void stopListening(SimulatedProcess process, NetAction.StopListening stop) {
        listeners.remove(process.listeners.get(stop.listener()));
    }

    /** Removes the listeners and closes the connections of a killed process. */
    void disconnect(SimulatedProcess process) {
        process.listeners.values().forEach(listeners::remove);
        List.copyOf(process.connections.values()).forEach(end -> close(end, "killed"));
    }

    // ---------------------------------------------------------------- connections

    void connect(SimulatedProcess process, NetAction.Connect connect) {
        ConnectionEnd client = new ConnectionEnd(process, connect.connectionId());
        process.connections.put(client.connectionId, client);
        schedule(eventQueue.now() + nextDelay(), () -> {
            Listener listener = listeners.get(connect.address());
            if (listener == null || listener.process().isKilled()) {
                refuse(client);
            } else {
                accept(client, listener);
            }
        });
    }

    private void refuse(ConnectionEnd client) {
        schedule(eventQueue.now() + nextDelay(), () -> {
            if (client.process.connections.remove(client.connectionId, client)) {
                client.process.deliver(new NetEvent.Closed(client.connectionId, false, "connection refused"));
            }
        });
    }

    private void accept(ConnectionEnd client, Listener listener) {
        SimulatedProcess process = listener.process();
        ConnectionEnd server = new ConnectionEnd(process, ++process.acceptedConnections);
        server.peer = client;
        process.connections.put(server.connectionId, server);
        process.deliver(new NetEvent.Accepted(server.connectionId, listener.name(), client.process.name));
        // Set before the server can write: its bytes must not arrive before the Connected event.
        client.lastArrival = eventQueue.now() + nextDelay();
        schedule(client.lastArrival, () -> {
            client.peer = server;
            if (client.closed) {
                sendClose(server, CLOSED_BY_PEER); // closed by the client before it was open
            } else {
                client.process.deliver(new NetEvent.Connected(client.connectionId));
            }
        });
    }

    /** Draws the arrival time of a write or close that is sent now; not before that of an earlier one. */
    private long nextArrival(ConnectionEnd to) {
        to.lastArrival = Math.max(eventQueue.now() + nextDelay(), to.lastArrival);
        return to.lastArrival;
    }

    void write(ConnectionEnd from, ByteBuffer data) {
        if (from == null || from.peer == null || from.closed) {
            return;
        }
        ConnectionEnd to = from.peer;
        schedule(nextArrival(to), () -> {
            if (!to.closed) {
                to.unread.add(data);
                deliver(to);
            }
        });
    }

    void setReadInterest(ConnectionEnd end, boolean enabled) {
        if (end != null) {
            end.reading = enabled;
            deliver(end);
        }
    }

    /**
     * Delivers the arrived bytes if the process reads, with Drained for their sender, then the close if it has arrived.
     */
    private void deliver(ConnectionEnd to) {
        while (to.reading && !to.closed && !to.unread.isEmpty()) {
            ByteBuffer data = to.unread.poll();
            int bytes = data.remaining();
            to.process.deliver(new NetEvent.Received(to.connectionId, data));
            if (to.peer != null && !to.peer.closed) {
                to.peer.process.deliver(new NetEvent.Written(to.peer.connectionId, bytes));
            }
        }
        if (to.closeArrived && to.unread.isEmpty() && !to.closed) {
            to.closed = true;
            to.process.connections.remove(to.connectionId, to);
            to.process.deliver(new NetEvent.Closed(to.connectionId, true, to.closeReason));
        }
    }

    void close(ConnectionEnd end, String reason) {
        if (end == null || end.closed) {
            return;
        }
        end.closed = true;
        end.unread.clear();
        end.process.connections.remove(end.connectionId, end);
        if (end.peer != null) {
            sendClose(end.peer, reason);
        }
    }

    /** Sends the close of a connection to one of its ends. */
    private void sendClose(ConnectionEnd to, String reason) {
        schedule(nextArrival(to), () -> {
            to.closeArrived = true;
            to.closeReason = reason;
            // A process that has paused reading receives its unread bytes and the close too.
            to.reading = true;
            deliver(to);
        });
    }
}
