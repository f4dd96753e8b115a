package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.testbed.peer.ScriptedPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A discovery and a shelf for the tests of a platform's gateway on real sockets. */
abstract class SocketGatewayFixture {
    ScriptedPeer discovery;
    ScriptedPeer shelf;

    @BeforeEach
    void listen() throws Exception {
        discovery = ScriptedPeer.listening();
        shelf = ScriptedPeer.listening();
    }

    @AfterEach
    void close() throws Exception {
        discovery.close();
        shelf.close();
    }

    final SocketGatewayHarness gateway() throws Exception {
        return new SocketGatewayHarness(discovery, shelf);
    }

    /** A head whose shelf's connections do not come up before they are brought up. */
    final SocketGatewayHarness gatewayOfABusyShelf() throws Exception {
        shelf.close();
        shelf = ScriptedPeer.listeningWithFullQueue();
        return gateway();
    }

    static void awaitKind(SocketGatewayHarness gateway, EndpointUpdateKind kind) throws InterruptedException {
        EndpointUpdate update = gateway.await(EndpointUpdate.class);
        while (update.kind() == EndpointUpdateKind.CACHED) {
            update = gateway.await(EndpointUpdate.class);
        }
        assertEquals(kind, update.kind());
        assertFalse(kind == EndpointUpdateKind.SNAPSHOT && update.entries().isEmpty());
    }
}
