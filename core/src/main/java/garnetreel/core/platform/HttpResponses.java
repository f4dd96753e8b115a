package garnetreel.core.platform;

import garnetreel.codec.http.HttpWriter;

/** Status codes, and the responses that the gateway generates itself instead of relaying them from an endpoint. */
final class HttpResponses {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int REQUEST_TIMEOUT = 408;
    static final int CONFLICT = 409;
    static final int BAD_GATEWAY = 502;
    static final int SERVICE_UNAVAILABLE = 503;

    /** Body of a response that consists of its status only. */
    static final byte[] NO_BODY = {};

    private final boolean sendsRetryAfter;

    /** @param sendsRetryAfter whether rejections carry a {@code Retry-After} header */
    HttpResponses(boolean sendsRetryAfter) {
        this.sendsRetryAfter = sendsRetryAfter;
    }

    /**
     * The response to a rejected request, which the client can safely retry: it was not executed, or a repeat is
     * harmless.
     *
     * @param retryAfter microseconds after which the client may retry; 0 if not known
     */
    HttpWriter rejected(long retryAfter) {
        HttpWriter response = HttpWriter.response(SERVICE_UNAVAILABLE);
        if (sendsRetryAfter && retryAfter > 0) {
            response.field(HttpHeaders.RETRY_AFTER, DecimalText.formatSeconds(retryAfter));
        }
        return response;
    }

    /** The response to a request that failed and may have been executed. */
    HttpWriter failed() {
        return HttpWriter.response(BAD_GATEWAY);
    }
}
