package garnetreel.policy.event;

/**
 * The response of an attempt is being streamed to the client from now on.
 *
 * @param id the request
 * @param attempt index of the attempt among those of the request
 * @param endpoint name of the responding endpoint
 */
public record ResponseStreamStarted(long id, int attempt, String endpoint) implements SchedulerEvent {}
