package garnetreel.policy.event;

/** State of a listed endpoint. */
public enum EndpointState {
    /** Accepts requests. */
    UP,
    /** Shuts down gracefully and accepts no new requests. */
    DRAINING,
    /** No longer part of the fleet. */
    REMOVED
}
