package garnetreel.core.platform;

/**
 * One send of a request.
 *
 * @param request the module's number of the request
 * @param until when it is no longer waited for
 */
record Attempt(long request, int number, String node, long sentAt, long until) { }
