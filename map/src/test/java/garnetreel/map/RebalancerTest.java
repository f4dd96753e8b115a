package garnetreel.map;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.map.Rebalancer.Extent;
import garnetreel.map.Rebalancer.Proposal;
import garnetreel.map.Rebalancer.Shard;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RebalancerTest {
    private static final long FREE = 1L << 30;
    private static final Rebalancer.Limits LIMITS = new Rebalancer.Limits(4, 1, 0.2, 60_000_000, 0.8, 0);

    private static Shard shard(int number, double load) {
        return new Shard(number, load, 100, load / 100, FREE, false, false, true);
    }

    @Test
    void extentMovesFromBusiestToLeastBusyShardWithoutOverloadingIt() {
        List<Proposal> proposals = new Rebalancer(LIMITS)
                .propose(
                        0,
                        List.of(shard(0, 90), shard(1, 10), shard(2, 50)),
                        List.of(
                                new Extent(1, 1, 0, 85, 4096),
                                new Extent(1, 2, 0, 30, 4096),
                                new Extent(1, 3, 0, 5, 4096)),
                        List.of());
        assertEquals(1, proposals.size());
        assertEquals(new Proposal(1, 2, 1, proposals.get(0).why()), proposals.get(0));
    }

    @Test
    void nothingMigratesBelowTheMinimumImbalanceOrWithinTheRestPeriod() {
        assertEquals(
                List.of(),
                new Rebalancer(LIMITS)
                        .propose(
                                0,
                                List.of(shard(0, 55), shard(1, 45)),
                                List.of(new Extent(1, 1, 0, 5, 4096)),
                                List.of()));
        Rebalancer rebalancer = new Rebalancer(LIMITS);
        List<Shard> shards = List.of(shard(0, 90), shard(1, 10));
        List<Extent> extents = List.of(new Extent(1, 1, 0, 20, 4096));
        rebalancer.migrated(1, 1, 0);
        assertEquals(List.of(), rebalancer.propose(30_000_000, shards, extents, List.of()));
        assertEquals(
                1, rebalancer.propose(61_000_000, shards, extents, List.of()).size());
    }

    @Test
    void warmingUpDrainingAndUnreachableShardsAreNoTargets() {
        List<Shard> shards = List.of(
                shard(0, 90),
                new Shard(1, 0, 100, 0, FREE, false, true, true),
                new Shard(2, 0, 100, 0, FREE, true, false, true),
                new Shard(3, 0, 100, 0, FREE, false, false, false));
        assertEquals(
                List.of(),
                new Rebalancer(LIMITS).propose(0, shards, List.of(new Extent(1, 1, 0, 20, 4096)), List.of()));
    }

    @Test
    void drainingShardIsEmptiedWithinTheMigrationLimits() {
        List<Shard> shards =
                List.of(new Shard(0, 10, 100, 0.1, FREE, true, false, true), shard(1, 10), shard(2, 20), shard(3, 5));
        List<Extent> extents = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            extents.add(new Extent(1, i, 0, i, 4096));
        }
        List<Proposal> proposals = new Rebalancer(LIMITS).propose(0, shards, extents, List.of());
        assertEquals(1, proposals.size(), "one migration per node at a time");
        assertEquals(0, proposals.get(0).extent(), "the least loaded extent first");
        assertTrue(new Rebalancer(LIMITS)
                .propose(0, shards, extents, List.of(new Migration(1, 1, 0, 0, 3, 1, 0, Migration.State.COPYING)))
                .isEmpty());
    }

    @Test
    void slowNodeIsRatedByItsReportedUtilization() {
        // Shard 0 serves 30 of nominally 100 units per second, but reports a utilization of 0.9.
        List<Shard> shards = List.of(new Shard(0, 30, 100, 0.9, FREE, false, false, true), shard(1, 30), shard(2, 30));
        List<Extent> extents = List.of(new Extent(1, 1, 0, 8, 4096), new Extent(1, 2, 1, 8, 4096));
        List<Proposal> proposals = new Rebalancer(LIMITS).propose(0, shards, extents, List.of());
        assertEquals(1, proposals.size());
        assertEquals(1, proposals.get(0).extent());
        // Shard 0 is given no extents, not even those of a draining shard, while another shard has capacity.
        List<Shard> draining =
                List.of(shards.get(0), shard(1, 30), new Shard(2, 5, 100, 0.05, FREE, true, false, true));
        assertEquals(
                1,
                new Rebalancer(LIMITS)
                        .propose(0, draining, List.of(new Extent(1, 3, 2, 1, 4096)), List.of())
                        .get(0)
                        .to());
    }

    @Test
    void nodesWithoutFreeSpaceAreNoTargetsEvenOfADrain() {
        Rebalancer.Limits limits = new Rebalancer.Limits(4, 4, 0.2, 0, 0.8, 10_000);
        List<Shard> shards = List.of(
                new Shard(0, 10, 100, 0.1, FREE, true, false, true),
                new Shard(1, 0, 100, 0, 14_000, false, false, true),
                new Shard(2, 50, 100, 0.5, 19_000, false, false, true));
        List<Extent> extents =
                List.of(new Extent(1, 1, 0, 1, 4096), new Extent(1, 2, 0, 1, 4096), new Extent(1, 3, 0, 1, 4096));
        List<Proposal> proposals = new Rebalancer(limits).propose(0, shards, extents, List.of());
        assertEquals(
                2, proposals.size(), "14,000 free bytes less 10,000 reserved hold no extent of 4,096; 19,000 hold two");
        assertTrue(proposals.stream().allMatch(proposal -> proposal.to() == 2));
    }
}
