package garnetreel.policy.admission;

import garnetreel.policy.fairqueue.VolumeFlow;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers requests that were given up, to recognize client retries that are not marked as such: a retry has the same
 * volume, class, size and, within a tolerance, deadline as the first request.
 */
public final class RejectedRequests {
    /**
     * Deadlines of a request and its retry may differ by less than this, in microseconds, as clients recompute them.
     */
    private static final long DEADLINE_TOLERANCE = 5_000;
    /** Maximum number of table entries; each remembered request takes three. */
    private static final int MAX_ENTRIES = 4_096;

    /** Properties that a request and its retries share. */
    private record Fingerprint(VolumeFlow flow, String className, double units, long roundedDeadline) {}

    private final Map<Fingerprint, Long> receivedAt = new LinkedHashMap<>();

    /**
     * Time at which the first of several identical requests was received; {@code now} if this request is not a retry.
     */
    public long firstReceivedAt(VolumeFlow flow, String className, double units, long deadline, long now) {
        return receivedAt.getOrDefault(new Fingerprint(flow, className, units, deadline / DEADLINE_TOLERANCE), now);
    }

    /** Remembers a request that is given up, under its rounded deadline and the two adjacent ones. */
    public void add(VolumeFlow flow, String className, double units, long deadline, long firstReceivedAt) {
        long rounded = deadline / DEADLINE_TOLERANCE;
        for (long candidate = rounded - 1; candidate <= rounded + 1; candidate++) {
            receivedAt.put(new Fingerprint(flow, className, units, candidate), firstReceivedAt);
        }
        while (receivedAt.size() > MAX_ENTRIES) {
            receivedAt.remove(receivedAt.keySet().iterator().next());
        }
    }

    /** Number of table entries. */
    public int size() {
        return receivedAt.size();
    }

    /** Invariant: the table does not exceed its maximum size. */
    public boolean isConsistent() {
        return receivedAt.size() <= MAX_ENTRIES;
    }
}
