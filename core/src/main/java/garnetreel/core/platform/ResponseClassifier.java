package garnetreel.core.platform;

import garnetreel.codec.http.HttpResponse;
import garnetreel.policy.event.Outcome;

/** Maps the HTTP response to an attempt to the {@link Outcome} reported to the scheduler. */
final class ResponseClassifier {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;
    private static final String NOT_EXECUTED = "1";

    private ResponseClassifier() {}

    /**
     * Returns the outcome of an attempt from its response. The outcome proves that nothing was executed only if the
     * endpoint states so in a response with status 503 or 504; with any other status the statement is ignored. After
     * any other unsuccessful response the request may have been executed.
     */
    static Outcome outcome(HttpResponse response) {
        if (response.status() == STATUS_OK && response.body().length > 0) {
            return Outcome.OK;
        }
        if (!NOT_EXECUTED.equals(response.fields().first(HttpHeaders.UNPROCESSED))) {
            return Outcome.ERROR;
        }
        return switch (response.status()) {
            case STATUS_UNAVAILABLE -> Outcome.OVERLOADED;
            case STATUS_GATEWAY_TIMEOUT -> Outcome.NOT_STARTED;
            default -> Outcome.ERROR;
        };
    }
}
