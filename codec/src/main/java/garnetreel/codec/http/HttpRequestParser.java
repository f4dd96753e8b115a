package garnetreel.codec.http;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;

/**
 * Reads the requests of a connection one after another: the part of RFC 9112 with an absolute path as target and a body
 * with a Content-Length. A Transfer-Encoding is rejected, although recipients must decode chunked bodies (RFC 9112,
 * 7.1); this rules out request smuggling through one.
 */
public final class HttpRequestParser {
    /**
     * Maximum size of a head and number of its fields; the HTTP platform's requests have a few hundred bytes and ten
     * fields.
     */
    private static final int MAX_HEAD_BYTES = 8 << 10;

    private static final int MAX_FIELDS = 48;
    /** The HTTP platform's maximum size of a body. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    private static final int MAX_LENGTH_DIGITS = 18;

    private final HeadReader head = new HeadReader(MAX_HEAD_BYTES, MAX_FIELDS, "");
    private BodyReader body;
    private String method;
    private String target;

    /** The next request once it is complete, else null; does not consume bytes after the end of the request. */
    public HttpRequest next(ByteBuffer in) throws ProtocolException {
        if (body == null) {
            if (!head.read(in)) {
                return null;
            }
            parseStartLine(head.startLine());
            body = BodyReader.ofLength(bodyLength(head.fields()), MAX_BODY_BYTES);
        }
        if (!body.read(in)) {
            return null;
        }
        HttpRequest request = new HttpRequest(method, target, head.fields(), body.take());
        head.reset();
        body = null;
        return request;
    }

    /** Whether a request has been received in part. */
    public boolean hasPartialMessage() {
        return head.hasStarted();
    }

    /** Memory that the request received in part takes, in bytes. */
    public int heldBytes() {
        return head.heldBytes() + (body == null ? 0 : body.heldBytes());
    }

    private void parseStartLine(String line) throws ProtocolException {
        int firstSpace = line.indexOf(' ');
        int lastSpace = line.lastIndexOf(' ');
        if (firstSpace <= 0
                || lastSpace <= firstSpace + 1
                || !line.substring(lastSpace + 1).equals("HTTP/1.1")) {
            throw new ProtocolException("start line that is none of HTTP/1.1");
        }
        method = line.substring(0, firstSpace);
        target = line.substring(firstSpace + 1, lastSpace);
        boolean valid = target.charAt(0) == '/';
        for (int i = 0; valid && i < target.length(); i++) {
            valid = target.charAt(i) > ' ' && target.charAt(i) < 0x7f;
        }
        if (!valid || !Fields.isToken(method)) {
            throw new ProtocolException("method or target that is none");
        }
    }

    private static long bodyLength(Fields fields) throws ProtocolException {
        if (fields.singleValue("Host") == null) {
            throw new ProtocolException("no Host");
        }
        if (fields.has("Transfer-Encoding")) {
            throw new ProtocolException("Transfer-Encoding is not accepted");
        }
        return contentLength(fields.singleValue("Content-Length"), 0);
    }

    /** The number in a Content-Length field; {@code absent} if the field is absent. */
    static long contentLength(String text, long absent) throws ProtocolException {
        if (text == null) {
            return absent;
        }
        boolean valid = !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS;
        for (int i = 0; valid && i < text.length(); i++) {
            valid = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!valid) {
            throw new ProtocolException("Content-Length that is none");
        }
        return Long.parseLong(text);
    }
}
