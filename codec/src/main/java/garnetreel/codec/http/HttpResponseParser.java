package garnetreel.codec.http;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;

/**
 * Reads the responses of a connection one after another. Interim (1xx) responses are skipped. A response can be read
 * while it is being received, with {@link #takeReceivedBody()}. A response without a length ends with its connection;
 * {@link #connectionEnded()} returns it.
 */
public final class HttpResponseParser {
    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int MAX_FIELDS = 96;
    /** Maximum number of interim responses before a final one; more are treated as a protocol error. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final String VERSION = "HTTP/1.1 ";
    private static final int STATUS_END = 12;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final HeadReader head = new HeadReader(MAX_HEAD_BYTES, MAX_FIELDS, VERSION);
    private final int maxBodyBytes;
    private BodyReader body;
    private int status;
    private int interimResponses;
    private boolean reusable;

    /**
     * @param maxBodyBytes maximum bytes of a body that are buffered, and maximum Content-Length; a body without one may
     *     be longer if it is taken while it is being received
     */
    public HttpResponseParser(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** The next response once it is complete, else null; does not consume bytes after the end of the response. */
    public HttpResponse next(ByteBuffer in) throws ProtocolException {
        while (body == null) {
            if (!head.read(in)) {
                return null;
            }
            parseHead();
        }
        return body.read(in) ? complete() : null;
    }

    /** Status of the response whose head has been received; 0 if there is none. */
    public int status() {
        return body == null ? 0 : status;
    }

    /** Number of buffered bytes of the body. */
    public int bufferedBytes() {
        return body == null ? 0 : body.bufferedBytes();
    }

    /** Removes and returns the bytes of the body received since the last call. */
    public byte[] takeReceivedBody() {
        return body == null ? new byte[0] : body.take();
    }

    /**
     * The response that is delimited by the end of the connection; null if none has begun, or one with a length. The
     * caller has to know whether the connection was closed properly: otherwise the response may be truncated.
     */
    public HttpResponse connectionEnded() {
        return body != null && body.endsWithConnection() ? complete() : null;
    }

    private HttpResponse complete() {
        HttpResponse response = new HttpResponse(status, head.fields(), body.take(), reusable);
        head.reset();
        body = null;
        interimResponses = 0;
        return response;
    }

    private void parseHead() throws ProtocolException {
        String line = head.startLine();
        status = 0;
        for (int i = VERSION.length(); i < STATUS_END && i < line.length(); i++) {
            int digit = line.charAt(i) - '0';
            status = digit < 0 || digit > 9 ? Integer.MIN_VALUE / 10 : 10 * status + digit;
        }
        if (line.length() < STATUS_END
                || status < MIN_STATUS
                || status > MAX_STATUS
                || line.length() > STATUS_END && line.charAt(STATUS_END) != ' ') {
            throw new ProtocolException("invalid HTTP/1.1 status line");
        }
        if (status < OK) {
            if (status == SWITCHING_PROTOCOLS || ++interimResponses > MAX_INTERIM_RESPONSES) {
                throw new ProtocolException("too many interim responses, or an unrequested protocol switch");
            }
            head.reset();
            return;
        }
        Fields fields = head.fields();
        reusable = !fields.hasToken("Connection", "close");
        long length = HttpRequestParser.contentLength(fields.singleValue("Content-Length"), -1);
        String coding = fields.singleValue("Transfer-Encoding");
        if (coding != null && (length >= 0 || !coding.equalsIgnoreCase("chunked"))) {
            throw new ProtocolException("unsupported Transfer-Encoding, or one with a Content-Length");
        }
        if (status == NO_CONTENT || status == NOT_MODIFIED) {
            body = BodyReader.ofLength(0, maxBodyBytes);
        } else if (coding != null) {
            body = BodyReader.chunked(maxBodyBytes);
        } else if (length >= 0) {
            body = BodyReader.ofLength(length, maxBodyBytes);
        } else {
            reusable = false;
            body = BodyReader.untilClose(maxBodyBytes);
        }
    }
}
