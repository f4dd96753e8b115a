package garnetreel.policy.event;

/**
 * A timer set by this scheduler expired.
 *
 * @param name the name given in {@link garnetreel.policy.action.SetTimer}
 */
public record TimerExpired(String name) implements SchedulerEvent {}
