package garnetreel.testbed.trace;

/** Receives the events observed by the components of the testbed. Implementations are thread-safe. */
@FunctionalInterface
public interface Trace {
    /** Discards all events. */
    Trace NONE = event -> {};

    /** Records one event. */
    void add(TraceEvent event);
}
