package garnetreel.core.request;

import garnetreel.core.ExtentLayout;
import garnetreel.policy.event.RequestCancelled;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The sub-requests of a gateway. A sub-request is either known to the scheduler or waits for a newer extent map; once
 * it is completed and no attempt is in flight it is removed.
 */
final class SubRequestTable {
    private final PendingEvents events;
    private final Map<Long, SubRequest> byId = new HashMap<>();
    private final ReroutingQueue rerouting = new ReroutingQueue();
    private final TreeSet<SubRequest> byDeadline =
            new TreeSet<>(Comparator.<SubRequest>comparingLong(s -> s.deadline).thenComparingLong(s -> s.id));
    private long lastId;
    private long reroutes;

    SubRequestTable(PendingEvents events) {
        this.events = events;
    }

    long nextId() {
        return ++lastId;
    }

    /** The sub-request with this id at the scheduler; null if there is none. */
    SubRequest find(long id) {
        return byId.get(id);
    }

    /** Adds a new sub-request. If it must follow an earlier one that waits for a newer map, it waits as well. */
    void add(SubRequest subRequest, long now) {
        subRequest.operation.openSubRequests.add(subRequest);
        byDeadline.add(subRequest);
        if (rerouting.blocks(subRequest)) {
            withdraw(subRequest, now);
        } else {
            submit(subRequest);
        }
    }

    private void submit(SubRequest subRequest) {
        byId.put(subRequest.id, subRequest);
        events.add(subRequest.receivedEvent());
    }

    /** Removes a sub-request from those known to the scheduler, until it is rerouted. */
    private void withdraw(SubRequest subRequest, long now) {
        byId.remove(subRequest.id);
        rerouting.add(subRequest, now);
    }

    /**
     * Withdraws a sub-request whose extent has moved. If it is ordered, later ordered ones with the same key that have
     * not been sent are withdrawn as well, so that they are resubmitted after it.
     */
    void withdrawWithSuccessors(SubRequest subRequest, long now) {
        withdraw(subRequest, now);
        if (!subRequest.ordered()) {
            return;
        }
        for (SubRequest other : List.copyOf(byId.values())) {
            if (mustFollow(other, subRequest)) {
                events.add(new RequestCancelled(other.id));
                withdraw(other, now);
            }
        }
    }

    private static boolean mustFollow(SubRequest other, SubRequest earlier) {
        return other.key == earlier.key
                && other.sequence > earlier.sequence
                && other.ordered()
                && !other.completed
                && !other.attempted();
    }

    /** Reroutes the waiting sub-requests in the order of creation; to the scheduler each is a new request. */
    void reroute(ExtentRouter router) {
        for (SubRequest subRequest : rerouting.takeAll()) {
            ExtentLayout.ExtentLocation location = router.locate(subRequest.operation.volume, subRequest.offset);
            // The set's comparator uses the id, so the sub-request must not be in the set while the id changes.
            byDeadline.remove(subRequest);
            subRequest.reroute(nextId(), location);
            byDeadline.add(subRequest);
            reroutes++;
            submit(subRequest);
        }
    }

    /** Marks a sub-request as completed, as its result is known. */
    void complete(SubRequest subRequest) {
        subRequest.completed = true;
        removeIfDone(subRequest);
    }

    /** Ends a sub-request whose client has disconnected. */
    void cancel(SubRequest subRequest) {
        subRequest.completed = true;
        if (!subRequest.awaitingRoute) {
            events.add(new RequestCancelled(subRequest.id));
        }
        removeIfDone(subRequest);
    }

    /** Removes a sub-request if it is completed and has no attempt in flight. */
    void removeIfDone(SubRequest subRequest) {
        if (!subRequest.completed) {
            return;
        }
        byDeadline.remove(subRequest);
        if (subRequest.awaitingRoute) {
            rerouting.remove(subRequest);
        } else if (!subRequest.hasAttemptInFlight()) {
            byId.remove(subRequest.id);
        }
    }

    /** Number of reroutes so far, over all sub-requests. */
    long reroutes() {
        return reroutes;
    }

    /** When the waiting sub-requests are to be rerouted at the latest; {@link Long#MAX_VALUE} for never. */
    long nextReroute() {
        return rerouting.nextDeadline();
    }

    /** The earliest deadline of a sub-request without a result; {@link Long#MAX_VALUE} for none. */
    long earliestDeadline() {
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadline;
    }

    /** The sub-request without a result that has the earliest deadline; there must be one. */
    SubRequest firstByDeadline() {
        return byDeadline.first();
    }
}
