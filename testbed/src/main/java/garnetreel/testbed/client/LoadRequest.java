package garnetreel.testbed.client;

/** One request of the NBD load generator, which may take several attempts. */
final class LoadRequest {
    final LoadOperation operation;
    final long offset;
    final int length;
    /** The number that a write fills its pages with; 0 for other operations. */
    final long stamp;

    final long createdAt;
    final NbdLoadConnection connection;
    int attempts;

    LoadRequest(
            LoadOperation operation,
            long offset,
            int length,
            long stamp,
            long createdAt,
            NbdLoadConnection connection) {
        this.operation = operation;
        this.offset = offset;
        this.length = length;
        this.stamp = stamp;
        this.createdAt = createdAt;
        this.connection = connection;
    }
}
