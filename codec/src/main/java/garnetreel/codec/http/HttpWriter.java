package garnetreel.codec.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes a complete request or response. */
public final class HttpWriter {
    private static final int INITIAL_CAPACITY = 256;

    /**
     * Fields that are not forwarded: they concern a single connection (RFC 9110, 7.6.1), or the sender of a message
     * writes them itself.
     */
    private static final String[] NEVER_FORWARDED = {
        "Connection",
        "Host",
        "Content-Length",
        "Transfer-Encoding",
        "Keep-Alive",
        "TE",
        "Trailer",
        "Upgrade",
        "Expect",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization"
    };

    private final StringBuilder head = new StringBuilder(INITIAL_CAPACITY);

    private HttpWriter(String startLine) {
        head.append(startLine).append("\r\n");
    }

    public static HttpWriter request(String method, String target, String host) {
        return new HttpWriter(method + " " + target + " HTTP/1.1").field("Host", host);
    }

    public static HttpWriter response(int status) {
        return new HttpWriter("HTTP/1.1 " + status + " " + reasonPhrase(status));
    }

    /**
     * Adds a field; the value must not contain a line terminator, which holds for all values returned by the parsers.
     */
    public HttpWriter field(String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /**
     * Adds the other fields of a forwarded message unchanged: the endpoint may rely on a field that the gateway does
     * not know, such as an idempotency key.
     *
     * @param except field to leave out, as the caller adds it itself
     */
    public HttpWriter forwardFields(Fields fields, String except) {
        for (int i = 0; i < fields.size(); i++) {
            String name = fields.name(i);
            if (!name.equalsIgnoreCase(except) && !isNeverForwarded(name) && !fields.hasToken("Connection", name)) {
                field(name, fields.value(i));
            }
        }
        return this;
    }

    private static boolean isNeverForwarded(String name) {
        for (String field : NEVER_FORWARDED) {
            if (field.equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Ends the head and adds the body.
     *
     * @param withLength whether to add a Content-Length; only a request without a body needs none
     */
    public ByteBuffer body(byte[] body, boolean withLength) {
        if (withLength) {
            field("Content-Length", Integer.toString(body.length));
        }
        byte[] encodedHead = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer bytes = ByteBuffer.allocate(encodedHead.length + body.length);
        return bytes.put(encodedHead).put(body).flip();
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            default -> "Other";
        };
    }
}
