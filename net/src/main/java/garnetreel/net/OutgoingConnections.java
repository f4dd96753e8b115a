package garnetreel.net;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Opens the connections of one event loop to its peers. Used on the I/O thread, except for {@link #cancelAll}. */
final class OutgoingConnections {
    private final EventLoop loop;
    private final XnioIoThread ioThread;
    private final EventQueue events;
    private final ConnectionTable connections;
    private final Map<Long, IoFuture<StreamConnection>> pending = new ConcurrentHashMap<>();

    OutgoingConnections(EventLoop loop, XnioIoThread ioThread, EventQueue events, ConnectionTable connections) {
        this.loop = loop;
        this.ioThread = ioThread;
        this.events = events;
        this.connections = connections;
    }

    void connect(NetAction.Connect connect) {
        long id = connect.connectionId();
        InetSocketAddress address;
        try {
            address = Addresses.parse(connect.address());
        } catch (IllegalArgumentException e) {
            events.add(new NetEvent.Closed(id, false, e.getMessage()));
            return;
        }
        IoFuture<StreamConnection> future = ioThread.openStreamConnection(address, null, IoWorkers.SOCKET_OPTIONS);
        pending.put(id, future);
        future.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection stream, Void attachment) {
                        opened(id, stream);
                    }

                    @Override
                    public void handleFailed(IOException cause, Void attachment) {
                        failed(id, cause);
                    }
                },
                null);
    }

    private void opened(long id, StreamConnection stream) {
        if (pending.remove(id) == null || loop.isClosed()) {
            IoUtils.safeClose(stream); // closed by the state machine or with the loop meanwhile
            return;
        }
        SocketConnection connection = connections.add(id, stream);
        events.add(new NetEvent.Connected(id));
        connection.start();
    }

    private void failed(long id, IOException cause) {
        if (pending.remove(id) != null) {
            events.add(
                    new NetEvent.Closed(id, false, false, isLocalFailure(cause), String.valueOf(cause.getMessage())));
        }
    }

    /** Whether the cause lies on this host: any but a failure to reach the peer or a refusal by it. */
    private static boolean isLocalFailure(IOException cause) {
        return !(cause instanceof ConnectException) && !(cause instanceof NoRouteToHostException);
    }

    /** Cancels a connection that is not open yet; no effect on an open one. */
    void cancel(long id) {
        IoFuture<StreamConnection> future = pending.remove(id);
        if (future != null) {
            future.cancel();
        }
    }

    /** Cancels all connections that are not open yet; on any thread, after the loop is closed. */
    void cancelAll() {
        pending.values().forEach(IoFuture::cancel);
    }
}
