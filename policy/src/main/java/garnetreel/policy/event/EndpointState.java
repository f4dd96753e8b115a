package garnetreel.policy.event;

/** State of a listed endpoint. */
public enum EndpointState {
    /** Accepts requests. */
    UP,
    /** Shuts down gracefully and should get no new requests; for a short time it may still accept some. */
    DRAINING,
    /** No longer part of the fleet. */
    REMOVED
}
