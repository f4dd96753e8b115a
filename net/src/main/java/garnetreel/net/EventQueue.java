package garnetreel.net;

import garnetreel.core.io.NetEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Events that wait for the state machine's next turn. Peers can't fill it: a connection has at most
 * {@link SocketConnection#MAX_UNHANDLED_CHUNKS} received events in it, one closed event and few others,
 * {@link ReceiveBudget} bounds the bytes of all received events, and no connection is accepted while {@link #isFull()}.
 * Events of commands and durable records are not limited here. Thread-safe.
 */
final class EventQueue {
    /** Number of queued events at which connections are no longer accepted. */
    private static final int ACCEPT_LIMIT = 8_192;
    /** Initial capacity of the next list beyond the number of events of the last turn. */
    private static final int SPARE_CAPACITY = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final Runnable requestTurn;
    private List<NetEvent> events = new ArrayList<>();
    private boolean turnRequested;
    private boolean closed;

    /** @param requestTurn requests a turn; called for the first urgent event since the last {@link #take} */
    EventQueue(Runnable requestTurn) {
        this.requestTurn = requestTurn;
    }

    /** Adds an event and requests a turn. */
    void add(NetEvent event) {
        add(event, true);
    }

    /** Adds an event. If it is not urgent, no turn is requested, and it waits for the next one. */
    void add(NetEvent event, boolean urgent) {
        boolean firstUrgent = false;
        lock.lock();
        try {
            if (!closed) {
                events.add(event);
                firstUrgent = urgent && !turnRequested;
                turnRequested |= urgent;
            }
        } finally {
            lock.unlock();
        }
        if (firstUrgent) {
            requestTurn.run();
        }
    }

    /** Whether so many events are queued that no connection may be accepted. */
    boolean isFull() {
        lock.lock();
        try {
            return events.size() >= ACCEPT_LIMIT;
        } finally {
            lock.unlock();
        }
    }

    /** Removes and returns all events. */
    List<NetEvent> take() {
        lock.lock();
        try {
            List<NetEvent> taken = events;
            events = new ArrayList<>(Math.min(ACCEPT_LIMIT, taken.size() + SPARE_CAPACITY));
            turnRequested = false;
            return taken;
        } finally {
            lock.unlock();
        }
    }

    /** Discards all events, and all that are added later. */
    void close() {
        lock.lock();
        try {
            closed = true;
            events.clear();
        } finally {
            lock.unlock();
        }
    }
}
