package garnetreel.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The virtual clock and the events scheduled on it. */
final class SimulationEventQueue {
    /** Deliveries precede turns of the same time, so that a turn handles all events of its time. */
    enum Phase {
        DELIVERY,
        TURN
    }

    private record ScheduledEvent(long time, Phase phase, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledEvent> events =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledEvent::time)
                    .thenComparing(ScheduledEvent::phase)
                    .thenComparingLong(ScheduledEvent::sequence));
    private long now;
    private long lastSequence;

    SimulationEventQueue(long startTime) {
        this.now = startTime;
    }

    long now() {
        return now;
    }

    /** Schedules an event. Events of the same time and phase run in the order in which they were scheduled. */
    void schedule(long time, Phase phase, Runnable action) {
        events.add(new ScheduledEvent(Math.max(now, time), phase, ++lastSequence, action));
    }

    /** Runs all events up to and including a time, and advances the clock to it. */
    void advance(long until) {
        while (!events.isEmpty() && events.peek().time() <= until) {
            ScheduledEvent event = events.poll();
            now = Math.max(now, event.time());
            event.action().run();
        }
        now = Math.max(now, until);
    }
}
