package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.testbed.peer.ScriptedPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A discovery service and an upstream endpoint for tests of the platform's gateway on real sockets. */
abstract class SocketGatewayFixture {
    ScriptedPeer discovery;
    ScriptedPeer endpoint;

    @BeforeEach
    void listen() throws Exception {
        discovery = ScriptedPeer.listening();
        endpoint = ScriptedPeer.listening();
    }

    @AfterEach
    void close() throws Exception {
        discovery.close();
        endpoint.close();
    }

    final SocketGatewayHarness gateway() throws Exception {
        return new SocketGatewayHarness(discovery, endpoint);
    }

    /** A gateway whose endpoint completes no connection until {@link ScriptedPeer#emptyAcceptQueue}. */
    final SocketGatewayHarness gatewayWithBusyEndpoint() throws Exception {
        endpoint.close();
        endpoint = ScriptedPeer.listeningWithFullQueue();
        return gateway();
    }

    /** Waits for the next update other than a cached list; it has to be of this kind. */
    static void awaitNextUpdate(SocketGatewayHarness gateway, EndpointUpdateKind kind) throws InterruptedException {
        EndpointUpdate update = gateway.await(EndpointUpdate.class);
        while (update.kind() == EndpointUpdateKind.CACHED) {
            update = gateway.await(EndpointUpdate.class);
        }
        assertEquals(kind, update.kind());
        assertFalse(kind == EndpointUpdateKind.SNAPSHOT && update.entries().isEmpty());
    }
}
