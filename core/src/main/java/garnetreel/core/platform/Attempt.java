package garnetreel.core.platform;

/** One send of a request. Each is its own: there is no equality but identity. */
final class Attempt {
    /** The module's number of the request. */
    final long request;
    final int number;
    final String node;
    final long sentAt;
    /** When it is no longer waited for. */
    final long until;

    Attempt(long request, int number, String node, long sentAt, long until) {
        this.request = request;
        this.number = number;
        this.node = node;
        this.sentAt = sentAt;
        this.until = until;
    }
}
