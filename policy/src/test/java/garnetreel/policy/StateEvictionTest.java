package garnetreel.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * The state that a scheduler keeps about endpoints, shards, volumes and requests must not grow with its uptime. Guards
 * against tables that never evict removed endpoints, unknown shards named by clients, or the receive times of requests
 * (while no attempt failed).
 */
class StateEvictionTest {
    private static final int ROUNDS = 4_000;
    /** Upper bound for every table; the table of unserved requests is limited to 4,096 entries. */
    private static final int MAX_SIZE = 6_000;
    /** Minimum number of tables found by reflection; with fewer, the search misses some. */
    private static final int MIN_TABLES = 14;

    /** Sizes of all collections held by a scheduler and its modules, by class and field name. */
    private static Map<String, Integer> tableSizes(FairQueueScheduler scheduler) throws IllegalAccessException {
        Map<String, Integer> sizes = new TreeMap<>();
        collectTableSizes(scheduler, sizes, Collections.newSetFromMap(new IdentityHashMap<>()));
        assertTrue(sizes.size() >= MIN_TABLES, "too few tables found: " + sizes);
        return sizes;
    }

    private static void collectTableSizes(Object owner, Map<String, Integer> sizes, Set<Object> visited)
            throws IllegalAccessException {
        if (!visited.add(owner)) {
            return;
        }
        for (Field field : owner.getClass().getDeclaredFields()) {
            if (Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive()) {
                continue;
            }
            field.setAccessible(true);
            Object value = field.get(owner);
            String name = owner.getClass().getSimpleName() + "." + field.getName();
            if (value instanceof Map<?, ?> map) {
                sizes.put(name, map.size());
            } else if (value instanceof Collection<?> collection) {
                sizes.put(name, collection.size());
            } else if (value != null && value.getClass().getName().startsWith("garnetreel.policy.")) {
                collectTableSizes(value, sizes, visited);
            }
        }
    }

    /** Delivers one request and completes its attempts; returns the time afterwards. */
    private static long serveRequest(FairQueueScheduler scheduler, long start, long id, long volume, int shard) {
        long now = start;
        List<SchedulerEvent> events = List.of(
                new RequestReceived(id, "read", "free", id, now + 2_000_000, volume, 1, shard, 1, false, false));
        while (!events.isEmpty()) {
            List<SchedulerEvent> next = new ArrayList<>();
            for (SchedulerAction action : scheduler.decide(now, events)) {
                if (action instanceof SendAttempt send) {
                    next.add(new AttemptCompleted(
                            send.id(), 0, send.endpoint(), Outcome.OK, 5_000, true, 0, 0, Map.of()));
                }
            }
            now += 5_000;
            events = next;
        }
        return now;
    }

    @Test
    void removedEndpointsAreEvicted() throws IllegalAccessException {
        FairQueueScheduler scheduler = new FairQueueScheduler(TestSettings.settings(), 1);
        long now = 1_000_000;
        Map<String, Integer> sizesAtHalf = Map.of();
        for (int round = 1; round <= ROUNDS; round++) {
            scheduler.decide(
                    now,
                    List.of(new EndpointUpdate(
                            round == 1 ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA,
                            List.of(
                                    TestSettings.entry("n" + (round - 1), 0, EndpointState.REMOVED, 0),
                                    TestSettings.entry("n" + round, 0, EndpointState.UP, 0)))));
            now = serveRequest(scheduler, now, round, 1, 0) + 100_000;
            sizesAtHalf = round == ROUNDS / 2 ? tableSizes(scheduler) : sizesAtHalf;
        }
        Map<String, Integer> sizesAtEnd = tableSizes(scheduler);
        assertTrue(sizesAtEnd.get("EndpointTable.endpoints") <= 12, "removed endpoints must be evicted: " + sizesAtEnd);
        for (String table : sizesAtEnd.keySet()) {
            assertTrue(
                    sizesAtEnd.get(table) <= sizesAtHalf.get(table) + 8,
                    table + " grew; sizes at half time " + sizesAtHalf + ", at the end " + sizesAtEnd);
        }
    }

    @Test
    void unknownShardsAndUnusedVolumesAreEvicted() throws IllegalAccessException {
        FairQueueScheduler scheduler = new FairQueueScheduler(TestSettings.settings(), 1);
        long now = 1_000_000;
        scheduler.decide(
                now,
                List.of(new EndpointUpdate(
                        EndpointUpdateKind.SNAPSHOT, List.of(TestSettings.entry("n0", 0, EndpointState.UP, 0)))));
        for (int round = 1; round <= 5 * ROUNDS; round++) {
            now = serveRequest(scheduler, now, round, round, round) + 5_000;
        }
        tableSizes(scheduler).forEach((table, size) -> assertTrue(size <= MAX_SIZE, table + " holds " + size));
    }
}
