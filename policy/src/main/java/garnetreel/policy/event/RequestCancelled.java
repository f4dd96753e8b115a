package garnetreel.policy.event;

/**
 * The client cancelled a request or disconnected; no response is needed any more.
 *
 * @param id the request
 */
public record RequestCancelled(long id) implements SchedulerEvent {}
