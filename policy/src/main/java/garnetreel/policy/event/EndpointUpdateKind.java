package garnetreel.policy.event;

/** Content of an {@link EndpointUpdate}. */
public enum EndpointUpdateKind {
    /** Changes to apply to the current list. */
    DELTA,
    /** The complete list; endpoints missing from it were removed. */
    SNAPSHOT,
    /** The last list that this gateway had before it restarted. */
    CACHED,
    /** No list: the call failed, or the subscription was lost. */
    UNAVAILABLE
}
