package garnetreel.testbed.node;

import garnetreel.codec.ByteQueue;

/** A connection opened to a fake node by a gateway or the map service. */
final class ClientConnection {
    final long connectionId;
    final ByteQueue input = new ByteQueue();
    /** Number of the gateway; -1 until its {@link garnetreel.codec.node.NodeMessage.Hello} has arrived. */
    int gateway = -1;

    long incarnation;
    long bytesWritten;

    ClientConnection(long connectionId) {
        this.connectionId = connectionId;
    }
}
