package garnetreel.core.connection;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The health checks in flight. */
final class HealthCheckTracker {
    /** Maximum number of checks in flight over all nodes; further ones are reported as not started. */
    private static final int MAX_IN_FLIGHT = 64;

    private final Map<Long, HealthCheck> inFlight = new TreeMap<>();
    private long lastId;

    /** A health check in flight on a connection. */
    record HealthCheck(String node, long connectionId, long sentAt) {}

    boolean isFull() {
        return inFlight.size() >= MAX_IN_FLIGHT;
    }

    /** Records a check that is about to be sent, and returns its id. */
    long begin(String node, long connectionId, long now) {
        inFlight.put(++lastId, new HealthCheck(node, connectionId, now));
        return lastId;
    }

    /** Removes and returns a check; null if no check with this id is in flight. */
    HealthCheck complete(long id) {
        return inFlight.remove(id);
    }

    /** Removes and returns all checks on a connection, oldest first. */
    List<HealthCheck> removeAllOn(long connectionId) {
        List<HealthCheck> removed = new ArrayList<>();
        for (Iterator<HealthCheck> checks = inFlight.values().iterator(); checks.hasNext(); ) {
            HealthCheck check = checks.next();
            if (check.connectionId() == connectionId) {
                checks.remove();
                removed.add(check);
            }
        }
        return removed;
    }
}
