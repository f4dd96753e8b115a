package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;

import garnetreel.policy.event.SchedulerEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Discrete-event simulation for the golden streams: scheduled tasks, the events that they produce, and the random
 * generator shared by all parts. The recorded streams depend on the order in which random numbers are drawn.
 */
final class GoldenSimulation {
    static final long START = 100 * SECOND;
    /**
     * Events within this time of each other are delivered in one call, with the probability {@link #BATCH_PROBABILITY}.
     */
    private static final long BATCH_WINDOW = 3 * MILLISECOND;

    private static final double BATCH_PROBABILITY = 0.4;

    private record Task(long dueAt, long sequence, Runnable action) {}

    private final SplittableRandom random;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>((first, second) -> first.dueAt != second.dueAt
            ? Long.compare(first.dueAt, second.dueAt)
            : Long.compare(first.sequence, second.sequence));
    private final List<SchedulerEvent> batch = new ArrayList<>();
    private long now = START;
    private long nextSequence;

    GoldenSimulation(long seed) {
        random = new SplittableRandom(seed);
    }

    long now() {
        return now;
    }

    SplittableRandom random() {
        return random;
    }

    /** A random number from 1 to the given limit. */
    long randomUpTo(long limit) {
        return 1 + random.nextLong(limit);
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    void schedule(long delay, Runnable action) {
        tasks.add(new Task(now + delay, nextSequence++, action));
    }

    /** Adds an event to those of the next scheduler call. */
    void deliver(SchedulerEvent event) {
        batch.add(event);
    }

    /** Advances to the next task and runs all tasks then due; returns false if none is due by the given time. */
    boolean runNextTasks(long end) {
        if (tasks.isEmpty() || tasks.peek().dueAt > end) {
            return false;
        }
        now = tasks.peek().dueAt + (random.nextDouble() < BATCH_PROBABILITY ? BATCH_WINDOW : 0);
        while (!tasks.isEmpty() && tasks.peek().dueAt <= now) {
            tasks.poll().action.run();
        }
        return true;
    }

    /** Removes and returns the events for one scheduler call, in half of the calls shuffled. */
    List<SchedulerEvent> takeBatch() {
        if (batch.isEmpty()) {
            return List.of();
        }
        if (random.nextBoolean()) {
            shuffle();
        }
        List<SchedulerEvent> events = List.copyOf(batch);
        batch.clear();
        return events;
    }

    private void shuffle() {
        for (int i = batch.size() - 1; i > 0; i--) {
            batch.set(i, batch.set(random.nextInt(i + 1), batch.get(i)));
        }
    }
}
