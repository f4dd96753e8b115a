package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.core.io.NetAction;
import garnetreel.mapservice.ServiceFixture.Sent;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class NodeCommandClientTest {
    private static final long RECONNECT_DELAY = 200_000;

    private final ServiceFixture fixture = new ServiceFixture();
    private final NodeCommandClient nodes = fixture.nodes;
    private final List<String> completions = new ArrayList<>();

    private long send(int shard) {
        nodes.send(
                nodes.reachable(shard),
                StepCommand.load(),
                report -> completions.add(report == null ? "no report" : "report " + report.seq()));
        Sent<NodeMessage> sent = ServiceFixture.toNodes(fixture.actions()).get(0);
        assertEquals(ServiceFixture.connection(shard), sent.connectionId());
        return ((ControlCommand) sent.message()).seq();
    }

    @Test
    void nodeIsReachableAfterItsWelcome() {
        nodes.update(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, List.of(ServiceFixture.entry(0))));
        nodes.expire();
        assertEquals(List.of(new NetAction.Connect(-1, "node-0")), fixture.actions());
        nodes.connected(-1);
        assertEquals(
                List.of(new Sent<NodeMessage>(-1, new NodeMessage.Hello(-1, 1))),
                ServiceFixture.toNodes(fixture.actions()));
        assertNull(nodes.reachable(0));
        fixture.connectNodes();
        assertNotNull(nodes.reachable(0));
    }

    @Test
    void commandNumbersIncreaseOverEpochsTransactionsAndCommands() {
        fixture.connectNodes();
        nodes.startNumbering(1, 5);
        long first = send(0);
        assertEquals((1L << 52) + (5L << 24) + 1, first);
        assertEquals(first + 1, send(0));
        nodes.startNumbering(1, 6);
        assertTrue(send(0) > first + 1);
        nodes.startNumbering(2, 1);
        assertEquals((2L << 52) + (1L << 24) + 1, send(0));
        assertFalse(nodes.numbersRunLow());
    }

    @Test
    void commandCompletesOnceByReportOrTimeoutOrClose() {
        fixture.connectNodes();
        long reported = send(0);
        fixture.beginTurnAt(10);
        send(0);
        fixture.beginTurnAt(20);
        send(0);
        assertEquals(ServiceFixture.COMMAND_TIMEOUT, nodes.nextDeadline());
        Sent<NodeMessage> first = new Sent<>(
                -1, new ControlCommand(reported, NodeMessage.Step.LOAD, 0, 0, 0, 0, 0, ByteBuffer.allocate(0)));
        fixture.report(first, true, false, 0, NodeMessage.noData());
        fixture.report(first, true, false, 0, NodeMessage.noData());
        assertEquals(List.of("report " + reported), completions);
        fixture.beginTurnAt(ServiceFixture.COMMAND_TIMEOUT + 10);
        nodes.expire();
        assertEquals(List.of("report " + reported, "no report"), completions);
        nodes.closed(-1);
        assertEquals(List.of("report " + reported, "no report", "no report"), completions);
        nodes.expire();
        assertEquals(List.of(), fixture.actions(NetAction.Connect.class), "not before the reconnect delay");
        assertEquals(ServiceFixture.COMMAND_TIMEOUT + 10 + RECONNECT_DELAY, nodes.nextDeadline());
        fixture.beginTurnAt(nodes.nextDeadline());
        nodes.expire();
        assertEquals(List.of(new NetAction.Connect(-3, "node-0")), fixture.actions(NetAction.Connect.class));
    }

    @Test
    void nodeRemovedFromTheListIsDisconnectedAndItsCommandsFail() {
        fixture.connectNodes();
        send(0);
        nodes.update(new EndpointUpdate(EndpointUpdateKind.UNAVAILABLE, List.of()));
        assertNotNull(nodes.reachable(0), "an unavailable node list leaves the nodes as they are");
        nodes.update(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, List.of(ServiceFixture.entry(1))));
        assertNull(nodes.reachable(0));
        assertNotNull(nodes.reachable(1), "an entry that is replaced keeps its connection");
        assertEquals(List.of(new NetAction.Close(-1, true)), fixture.actions());
        assertEquals(List.of("no report"), completions);
        assertFalse(nodes.owns(-1));
    }

    @Test
    void nodeThatViolatesTheProtocolIsDisconnected() {
        fixture.connectNodes();
        nodes.received(-1, MapCodec.frame(new MapMessage.Busy(5)));
        assertNull(nodes.reachable(0));
        List<NetAction> taken = fixture.actions();
        assertTrue(((NetAction.Log) taken.get(0)).text().startsWith("node node-0: "));
        assertEquals(new NetAction.Close(-1, true), taken.get(1));
    }
}
