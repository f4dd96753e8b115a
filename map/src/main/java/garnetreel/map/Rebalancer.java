package garnetreel.map;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Proposes migrations from the load that nodes report. Without I/O and randomness: the same reports give the same
 * proposals.
 *
 * <p>Draining shards are emptied first, those extents last that are passed with the highest load: when their shard has
 * little other load left, they are fenced for a shorter time. Then extents are moved from the busiest shard to the
 * least busy one, if their utilization differs enough.
 */
public final class Rebalancer {
    /** Lower bound of a capacity, which avoids a division by zero. */
    private static final double MIN_CAPACITY = 1e-9;

    /**
     * Limits on proposals.
     *
     * @param maxMigrations maximum number of migrations in progress
     * @param maxMigrationsPerNode maximum number of migrations in progress from or to one shard, which has one node
     * @param minImbalance difference between the utilization of the busiest and of the least busy shard below which
     *     nothing migrates
     * @param restPeriod microseconds after a migration during which its extent does not migrate again
     * @param maxUtilization utilization above which balancing gives a node no extents
     * @param reservedBytes bytes that migrations leave free at a node
     */
    public record Limits(
            int maxMigrations,
            int maxMigrationsPerNode,
            double minImbalance,
            long restPeriod,
            double maxUtilization,
            long minFreeBytes) {}

    /**
     * A shard and the state of its node.
     *
     * @param load units per second that it serves
     * @param capacity nominal units per second that it can serve
     * @param utilization share of its capacity in use, as it reports it: higher for a slowing node at the same load
     * @param freeBytes free bytes
     * @param draining its extents are to be moved to other shards
     * @param warmingUp it started recently: it is given no extents, since copies load it like other work
     * @param reachable commands can be sent to it
     */
    public record Shard(
            int shard,
            double load,
            double capacity,
            double utilization,
            long freeBytes,
            boolean draining,
            boolean warmingUp,
            boolean reachable) {

        /**
         * Share of the node's capacity that one unit per second takes. It follows from the reported utilization, so
         * that a node that has become slow is not given work because it looks idle by its nominal capacity. The cost by
         * nominal capacity is the lower bound. A few units may also take long for other reasons, such as pauses and
         * copies; below a load of 1 unit per second only the nominal cost counts.
         */
        double cost() {
            double nominalCost = 1 / Math.max(MIN_CAPACITY, capacity);
            return load >= 1 ? Math.max(nominalCost, utilization / load) : nominalCost;
        }
    }

    /** An extent, its size in bytes, and its load in units per second. */
    public record Extent(long volume, long extent, int shard, double load, long bytes) {
        private ExtentId id() {
            return new ExtentId(volume, extent);
        }
    }

    /** A proposed migration. */
    public record Proposal(long volume, long extent, int to, String why) {}

    private final Limits limits;
    private final Map<ExtentId, Long> migratedAt = new HashMap<>();

    /** Creates a rebalancer with no record of earlier migrations. */
    public Rebalancer(Limits limits) {
        this.limits = limits;
    }

    /** Records that an extent has migrated, which starts its rest period. */
    public void migrated(long volume, long extent, long now) {
        migratedAt.merge(new ExtentId(volume, extent), now, Math::max);
        migratedAt.values().removeIf(time -> now - time > limits.restPeriod());
    }

    /**
     * Proposes migrations to begin now.
     *
     * @param extents extents with load, and some or all of those of draining shards
     * @param inProgress migrations in progress
     */
    public List<Proposal> propose(long now, List<Shard> shards, List<Extent> extents, List<Migration> inProgress) {
        Planner planner = new Planner(now, shards, inProgress);
        List<Extent> candidates = candidates(extents, inProgress);
        planner.drain(candidates);
        planner.balance(candidates);
        return planner.proposals;
    }

    /** Extents that are not migrating, least load first. */
    private static List<Extent> candidates(List<Extent> extents, List<Migration> inProgress) {
        Set<ExtentId> migrating = new HashSet<>();
        inProgress.forEach(m -> migrating.add(new ExtentId(m.volume(), m.extent())));
        List<Extent> candidates = new ArrayList<>();
        for (Extent extent : extents) {
            if (!migrating.contains(extent.id())) {
                candidates.add(extent);
            }
        }
        candidates.sort(Comparator.comparingDouble(Extent::load).thenComparing(Extent::id));
        return candidates;
    }

    /**
     * The state of one call of {@link #propose}: load and space as they will be once all proposals so far are carried
     * out.
     */
    private final class Planner {
        private final long now;
        private final int maxProposals;
        private final Map<Integer, Shard> shards = new TreeMap<>();
        private final Map<Integer, Double> load = new TreeMap<>();
        private final Map<Integer, Integer> migrations = new HashMap<>();
        /** Bytes of the extents proposed for a shard. */
        private final Map<Integer, Long> plannedBytes = new HashMap<>();

        private final Set<ExtentId> proposed = new HashSet<>();
        private final List<Proposal> proposals = new ArrayList<>();

        Planner(long now, List<Shard> reported, List<Migration> inProgress) {
            this.now = now;
            this.maxProposals = limits.maxMigrations() - inProgress.size();
            for (Shard shard : reported) {
                shards.put(shard.shard(), shard);
                load.put(shard.shard(), shard.load());
            }
            for (Migration migration : inProgress) {
                migrations.merge(migration.from(), 1, Integer::sum);
                migrations.merge(migration.to(), 1, Integer::sum);
            }
        }

        /** Proposes migrations that empty draining shards; their targets may be busy. */
        void drain(List<Extent> candidates) {
            for (Extent extent : candidates) {
                Shard from = shards.get(extent.shard());
                if (proposals.size() < maxProposals && from != null && from.draining() && from.reachable()) {
                    propose(extent, Double.MAX_VALUE, "shard " + from.shard() + " drains");
                }
            }
        }

        /** Proposes migrations from the busiest shard until none helps or the limit is reached. */
        void balance(List<Extent> candidates) {
            while (proposals.size() < maxProposals) {
                Shard busiest = busiest();
                if (busiest == null || !relieve(busiest, candidates)) {
                    return;
                }
            }
        }

        private Shard busiest() {
            Shard busiest = null;
            for (Shard shard : shards.values()) {
                if (isEligible(shard) && (busiest == null || utilization(shard) > utilization(busiest))) {
                    busiest = shard;
                }
            }
            return busiest;
        }

        /**
         * Proposes the most loaded extent whose target then stays below the busiest shard by the minimum imbalance at
         * least.
         */
        private boolean relieve(Shard busiest, List<Extent> candidates) {
            double maxAfter = utilization(busiest) - limits.minImbalance();
            String why =
                    "shard " + busiest.shard() + " is at " + Math.round(100 * utilization(busiest)) + "% of its power";
            for (int i = candidates.size() - 1; i >= 0; i--) {
                Extent extent = candidates.get(i);
                if (extent.shard() == busiest.shard()
                        && extent.load() > 0
                        && !proposed.contains(extent.id())
                        && restPeriodOver(extent)
                        && propose(extent, maxAfter, why)) {
                    return true;
                }
            }
            return false;
        }

        private boolean restPeriodOver(Extent extent) {
            Long time = migratedAt.get(extent.id());
            return time == null || now - time >= limits.restPeriod();
        }

        /** Proposes an extent's migration if a shard can take it and its utilization then stays within the limits. */
        private boolean propose(Extent extent, double maxAfter, String why) {
            Shard target = target(extent);
            if (target == null) {
                return false;
            }
            // A draining shard may be emptied to busy shards; balancing must not overload its target.
            if (!shards.get(extent.shard()).draining()) {
                double after = (load.get(target.shard()) + extent.load()) * target.cost();
                if (after > maxAfter || after > limits.maxUtilization()) {
                    return false;
                }
            }
            load.merge(target.shard(), extent.load(), Double::sum);
            load.merge(extent.shard(), -extent.load(), Double::sum);
            migrations.merge(target.shard(), 1, Integer::sum);
            migrations.merge(extent.shard(), 1, Integer::sum);
            plannedBytes.merge(target.shard(), extent.bytes(), Long::sum);
            proposed.add(extent.id());
            proposals.add(new Proposal(extent.volume(), extent.extent(), target.shard(), why));
            return true;
        }

        /**
         * The least busy shard that can take an extent; null if there is none or its own shard is at the migration
         * limit.
         */
        private Shard target(Extent extent) {
            if (!belowMigrationLimit(extent.shard())) {
                return null;
            }
            Shard target = null;
            for (Shard shard : shards.values()) {
                if (shard.shard() != extent.shard()
                        && isEligible(shard)
                        && hasFreeSpace(shard, extent)
                        && (target == null || utilization(shard) < utilization(target))) {
                    target = shard;
                }
            }
            return target;
        }

        /** Whether a shard can be given extents, by draining or balancing, and can give extents by balancing. */
        private boolean isEligible(Shard shard) {
            return shard.reachable() && !shard.draining() && !shard.warmingUp() && belowMigrationLimit(shard.shard());
        }

        private boolean belowMigrationLimit(int shard) {
            return migrations.getOrDefault(shard, 0) < limits.maxMigrationsPerNode();
        }

        private double utilization(Shard shard) {
            return load.get(shard.shard()) * shard.cost();
        }

        private boolean hasFreeSpace(Shard shard, Extent extent) {
            long free = shard.freeBytes() - plannedBytes.getOrDefault(shard.shard(), 0L);
            return free - extent.bytes() >= limits.minFreeBytes();
        }
    }
}
