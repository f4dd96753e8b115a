package garnetreel.codec.http;

/** A complete request. */
public record HttpRequest(String method, String target, Fields fields, byte[] body) {
    /** The path without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
