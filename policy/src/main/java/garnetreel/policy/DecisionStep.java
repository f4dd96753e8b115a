package garnetreel.policy;

import java.util.List;

/** The steps of one scheduler call. Their order affects the decisions; each step states the reason for its position. */
enum DecisionStep {
    /**
     * Handles the events in the order given. This step is first, so that all later decisions see the current state: a
     * cancelled request is not sent, and endpoints come from the latest list.
     */
    HANDLE_EVENTS,
    /**
     * Repeats admission for requests held for endpoints that the list reports as started. It follows the events, so
     * that cancelled requests do not count as demand, and precedes dispatch, so that requests held for a warm endpoint
     * do not overload a cold one.
     */
    READMIT_FOR_RESTARTS,
    /**
     * Subscribes to the endpoint list if that is due. It follows the events, which may have established or ended a
     * subscription.
     */
    SUBSCRIBE_TO_ENDPOINTS,
    /**
     * Gives up requests that are about to miss their deadline. It precedes dispatch, so that no attempt is sent whose
     * response would come too late.
     */
    EXPIRE_REQUESTS,
    /**
     * Detects endpoints that are slow to respond to attempts in flight, which lowers their admitted fraction. It
     * follows the events, which may contain their responses.
     */
    DETECT_SLOW_ENDPOINTS,
    /**
     * Sheds late requests, then sends attempts, shard by shard. It follows all steps that free slots of concurrency
     * windows or give up requests.
     */
    SHED_AND_DISPATCH,
    /** Evicts unused state. It follows dispatch, so that no state is evicted and created again in one call. */
    EVICT_UNUSED,
    /**
     * Sets the timer. This step is last, as the time of the next call depends on the requests now held and in flight.
     */
    SET_TIMER;

    /** The order used in production. */
    static final List<DecisionStep> ORDER = List.of(values());
}
