package garnetreel.core.connection;

/**
 * An attempt of a sub-request at a node.
 *
 * @param subRequestId id of the sub-request at the scheduler
 * @param index index of the attempt among those of the sub-request
 * @param node address of the node
 * @param startedAt when it was passed to the connection pool, which may queue it
 * @param timeoutAt when it times out
 */
public record NodeAttempt(long subRequestId, int index, String node, long startedAt, long timeoutAt) {
    AttemptKey key() {
        return new AttemptKey(subRequestId, index);
    }
}
