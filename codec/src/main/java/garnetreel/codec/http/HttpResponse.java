package garnetreel.codec.http;

/**
 * A complete response.
 *
 * @param reusable whether the connection can be used for another request
 */
public record HttpResponse(int status, Fields fields, byte[] body, boolean reusable) {}
