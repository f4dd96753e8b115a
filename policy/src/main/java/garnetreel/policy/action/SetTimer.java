package garnetreel.policy.action;

/**
 * Sets a timer, which causes a {@link garnetreel.policy.event.TimerExpired} event with the same name.
 *
 * @param name name of the timer
 * @param after time until the timer expires
 */
public record SetTimer(String name, long after) implements SchedulerAction {}
