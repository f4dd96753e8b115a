package garnetreel.policy.action;

/**
 * Writes a message to the log.
 *
 * @param text the message
 */
public record LogMessage(String text) implements SchedulerAction {}
