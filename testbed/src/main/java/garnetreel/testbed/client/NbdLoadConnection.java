package garnetreel.testbed.client;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.nbd.NbdClientCodec;
import java.util.Map;
import java.util.TreeMap;

/** A connection of the NBD load generator to a gateway, which is reopened after it ends. */
final class NbdLoadConnection {
    final int gateway;
    final String address;
    /** Id of the open connection; 0 while there is none. */
    long connectionId;
    /** Whether the NBD handshake is complete, so that requests may be sent. */
    boolean ready;

    long reconnectAt;
    ByteQueue input = new ByteQueue();
    NbdClientCodec replies = new NbdClientCodec();
    final Map<Long, LoadAttempt> inFlight = new TreeMap<>();

    NbdLoadConnection(int gateway, String address) {
        this.gateway = gateway;
        this.address = address;
    }

    void beginConnect(long newConnectionId) {
        connectionId = newConnectionId;
        ready = false;
        input = new ByteQueue();
        replies = new NbdClientCodec();
    }

    void markClosed(long nextAttemptAt) {
        connectionId = 0;
        ready = false;
        reconnectAt = nextAttemptAt;
    }
}
