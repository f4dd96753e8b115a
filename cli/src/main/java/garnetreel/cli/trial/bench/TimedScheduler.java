package garnetreel.cli.trial.bench;

import garnetreel.policy.Scheduler;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the time that the module takes. */
public final class TimedScheduler implements Scheduler {
    private final Scheduler inner;
    private final AtomicLong nanos = new AtomicLong();

    public TimedScheduler(Scheduler inner) {
        this.inner = inner;
    }

    @Override
    public List<Action> turn(long now, List<? extends Event> events) {
        long began = System.nanoTime();
        List<Action> actions = inner.turn(now, events);
        nanos.lazySet(nanos.get() + System.nanoTime() - began);
        return actions;
    }

    /** Nanoseconds so far. */
    public long nanos() {
        return nanos.get();
    }
}
