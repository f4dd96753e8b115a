package garnetreel.policy.action;

/**
 * Sends a request to an endpoint.
 *
 * @param id the request
 * @param endpoint name of the endpoint
 * @param timeout time to wait for the response; 0 to wait until the client's deadline
 * @param startWithin time from the decision within which the attempt must start; 0 for no limit
 */
public record SendAttempt(long id, String endpoint, long timeout, long startWithin) implements SchedulerAction {
    /** Creates an attempt that may be started at any time before its timeout. */
    public SendAttempt(long id, String endpoint, long timeout) {
        this(id, endpoint, timeout, 0);
    }
}
