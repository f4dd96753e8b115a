package garnetreel.net;

import garnetreel.core.io.NetEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Events on their way from I/O threads to a machine's thread. Its bound follows from who may add: a connection has at
 * most {@link Wire#CREDITS} reads, one drained and one closed in it, and accepts stop while {@link #full()}.
 */
final class Inbox {
    /** Events past which no connection is accepted. */
    private static final int FULL = 8_192;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition filled = lock.newCondition();
    private List<NetEvent> events = new ArrayList<>();
    private boolean urgent;
    private boolean closed;

    void add(NetEvent event) {
        add(event, true);
    }

    /** Adds an event; one that is not urgent waits for the next turn that comes anyway. */
    void add(NetEvent event, boolean now) {
        lock.lock();
        try {
            if (!closed) {
                events.add(event);
                if (now && !urgent) {
                    urgent = true;
                    filled.signal();
                }
            }
        } finally {
            lock.unlock();
        }
    }

    boolean full() {
        lock.lock();
        try {
            return events.size() >= FULL;
        } finally {
            lock.unlock();
        }
    }

    /** Waits for an urgent event or so many nanoseconds; gives all events, or null once closed. */
    List<NetEvent> take(long nanos) throws InterruptedException {
        lock.lock();
        try {
            long left = nanos;
            while (!urgent && !closed && left > 0) {
                left = filled.awaitNanos(left);
            }
            if (closed) {
                return null;
            }
            List<NetEvent> taken = events;
            events = new ArrayList<>(Math.min(FULL, taken.size() + 8));
            urgent = false;
            return taken;
        } finally {
            lock.unlock();
        }
    }

    /** No more events are taken or given. */
    void close() {
        lock.lock();
        try {
            closed = true;
            events.clear();
            filled.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
