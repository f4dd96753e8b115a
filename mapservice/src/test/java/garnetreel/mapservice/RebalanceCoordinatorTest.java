package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Step;
import garnetreel.map.Rebalancer;
import garnetreel.map.Rebalancer.Proposal;
import garnetreel.mapservice.ServiceFixture.Sent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RebalanceCoordinatorTest {
    private static final long SECOND = 1_000_000;
    private static final Rebalancer.Limits LIMITS = new Rebalancer.Limits(4, 1, 0.2, 60 * SECOND, 0.8, 0);

    private final ServiceFixture fixture = new ServiceFixture();
    private final List<Proposal> proposals = new ArrayList<>();
    private final RebalanceCoordinator rebalancing = coordinator(true);

    private RebalanceCoordinator coordinator(boolean rebalance) {
        MapServiceSettings settings =
                new MapServiceSettings("", null, 1, 1, SECOND, rebalance, 100, 15 * SECOND, LIMITS, 1_000);
        RebalanceCoordinator coordinator =
                new RebalanceCoordinator(fixture.turn, settings, fixture.state, fixture.nodes, proposals::add);
        coordinator.start();
        return coordinator;
    }

    /**
     * Runs a coordinator at the given time and answers its polls: node 0 is loaded by extent 4, node 1 is nearly idle.
     */
    private void poll(RebalanceCoordinator coordinator, long time) {
        fixture.beginTurnAt(time);
        coordinator.run();
        for (Sent<NodeMessage> command : ServiceFixture.toNodes(fixture.actions())) {
            assertEquals(Step.LOAD, ((ControlCommand) command.message()).step());
            boolean busy = command.connectionId() == ServiceFixture.connection(0);
            fixture.report(command, true, false, 0, busy ? load(90, 0.9, 4, 30) : load(10, 0.1, 5, 10));
        }
    }

    private static ByteBuffer load(double units, double utilization, long extent, double unitsOfExtent) {
        return ByteBuffer.allocate(56)
                .putDouble(units)
                .putDouble(utilization)
                .putLong(1_000)
                .putLong(1L << 30)
                .putLong(ServiceFixture.VOLUME)
                .putLong(extent)
                .putDouble(unitsOfExtent)
                .flip();
    }

    @Test
    void extentOfTheBusiestNodeIsProposedOnceItsLoadIsKnown() {
        fixture.connectNodes();
        assertEquals(SECOND, rebalancing.nextDeadline());
        poll(rebalancing, SECOND - 1);
        assertEquals(List.of(), proposals);
        poll(rebalancing, SECOND);
        assertEquals(2 * SECOND, rebalancing.nextDeadline());
        assertEquals(List.of(), proposals, "reports are used from the next run on");
        poll(rebalancing, 2 * SECOND);
        assertEquals(List.of(new Proposal(ServiceFixture.VOLUME, 4, 1, "shard 0 is at 90% of its power")), proposals);
    }

    @Test
    void recentlyMigratedExtentIsNotProposed() {
        fixture.connectNodes();
        poll(rebalancing, SECOND);
        rebalancing.migrated(ServiceFixture.VOLUME, 4, SECOND);
        poll(rebalancing, 2 * SECOND);
        assertEquals(List.of(), proposals);
    }

    @Test
    void onlyDrainingShardsAreProposedWhenRebalancingIsOff() {
        fixture.connectNodes();
        RebalanceCoordinator drainingOnly = coordinator(false);
        poll(drainingOnly, SECOND);
        poll(drainingOnly, 2 * SECOND);
        assertEquals(List.of(), proposals);
        fixture.state.apply(fixture.state.drain(0, true, "test", 0));
        poll(drainingOnly, 3 * SECOND);
        assertEquals(List.of(new Proposal(ServiceFixture.VOLUME, 0, 1, "shard 0 drains")), proposals);
    }
}
