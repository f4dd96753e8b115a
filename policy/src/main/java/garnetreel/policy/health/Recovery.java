package garnetreel.policy.health;

/** Change in an endpoint's reachability that a response indicates. */
public enum Recovery {
    /** The endpoint was reachable before. */
    NONE,
    /** The endpoint was unreachable, but its process presumably did not restart. */
    RECONNECTED,
    /** The endpoint was unreachable, presumably because its process restarted. */
    RESTARTED
}
