package garnetreel.testbed.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An in-memory trace, for runs that are checked at their end. */
public final class InMemoryTrace implements Trace {
    private final List<TraceEvent> events = new ArrayList<>();

    @Override
    public synchronized void add(TraceEvent event) {
        events.add(event);
    }

    /** All events in order of time. */
    public synchronized List<TraceEvent> events() {
        List<TraceEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(TraceEvent::time));
        return sorted;
    }
}
