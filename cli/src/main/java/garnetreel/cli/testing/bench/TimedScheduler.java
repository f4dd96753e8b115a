package garnetreel.cli.testing.bench;

import garnetreel.policy.Scheduler;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.event.SchedulerEvent;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Measures the time that a scheduler takes for its decisions. */
public final class TimedScheduler implements Scheduler {
    private final Scheduler delegate;
    private final AtomicLong nanos = new AtomicLong();

    public TimedScheduler(Scheduler delegate) {
        this.delegate = delegate;
    }

    @Override
    public List<SchedulerAction> decide(long now, List<? extends SchedulerEvent> events) {
        long start = System.nanoTime();
        List<SchedulerAction> actions = delegate.decide(now, events);
        nanos.lazySet(nanos.get() + System.nanoTime() - start);
        return actions;
    }

    /** Total time so far, in nanoseconds. */
    public long nanos() {
        return nanos.get();
    }
}
