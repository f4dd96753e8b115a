package garnetreel.core.connection;

/**
 * An attempt of a sub-request at a node.
 *
 * @param subRequestId id of the sub-request at the scheduler
 * @param index index of the attempt among those of the sub-request
 * @param node address of the node
 * @param sentAt when it was passed to the connection pool
 * @param timeoutAt when it times out
 */
public record NodeAttempt(long subRequestId, int index, String node, long sentAt, long timeoutAt) {
    AttemptKey key() {
        return new AttemptKey(subRequestId, index);
    }
}
