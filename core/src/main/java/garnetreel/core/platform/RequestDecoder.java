package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.Fields;
import garnetreel.codec.http.HttpRequest;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.RequestReceived;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Validates HTTP requests and decodes them into {@link RequestReceived} events. The checks run in a fixed order,
 * because the first one that fails determines the status: request class, method, correlation id, its uniqueness, other
 * header fields.
 */
final class RequestDecoder {
    private static final int HEX_RADIX = 16;
    private static final String READ_METHOD = "GET";
    private static final String WRITE_METHOD = "PUT";
    private static final String RETRY_VALUE = "1";
    /** Value of {@link RequestReceived#key} if the request has none. */
    private static final long NO_KEY = -1;

    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> plans = new HashSet<>();
    private long lastRequestId;

    RequestDecoder(SchedulerSettings settings) {
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.plans().forEach(p -> plans.add(p.name()));
    }

    /** A valid request: its correlation id in lower case, and the event for the scheduler. */
    record DecodedRequest(String correlationId, RequestReceived event) {}

    /**
     * Decodes a request and assigns it an id.
     *
     * @param receivedAt when the last byte was received, from which the client's time limit counts
     * @param idsInUse the correlation ids of the active requests, in lower case
     */
    DecodedRequest decode(HttpRequest request, long receivedAt, Set<String> idsInUse) throws InvalidRequestException {
        RequestClass requestClass = requestClass(request.path());
        boolean write = request.method().equals(WRITE_METHOD);
        if (!write && !request.method().equals(READ_METHOD)) {
            throw new InvalidRequestException(HttpResponses.METHOD_NOT_ALLOWED, "neither GET nor PUT");
        }
        try {
            String correlationId =
                    hexId(request.fields(), HttpHeaders.CORRELATION_ID, true).toLowerCase(Locale.ROOT);
            if (idsInUse.contains(correlationId)) {
                throw new InvalidRequestException(HttpResponses.CONFLICT, "a request of this id is open");
            }
            return new DecodedRequest(correlationId, event(request.fields(), requestClass, write, receivedAt));
        } catch (ProtocolException e) {
            throw new InvalidRequestException(HttpResponses.BAD_REQUEST, e.getMessage());
        }
    }

    /** The request class, which the first segment of the path names. */
    private RequestClass requestClass(String path) throws InvalidRequestException {
        int end = path.indexOf('/', 1);
        RequestClass requestClass = classes.get(path.substring(1, end < 0 ? path.length() : end));
        if (requestClass == null) {
            throw new InvalidRequestException(HttpResponses.NOT_FOUND, "no such class");
        }
        return requestClass;
    }

    private RequestReceived event(Fields fields, RequestClass requestClass, boolean write, long receivedAt)
            throws ProtocolException {
        String plan = fields.singleValue(HttpHeaders.PLAN);
        if (plan == null || !plans.contains(plan)) {
            throw new ProtocolException("no such plan");
        }
        String key = hexId(fields, HttpHeaders.REQUEST_KEY, false);
        RequestMetadata metadata = RequestMetadata.read(fields.singleValue(HttpHeaders.METADATA));
        long timeLeft = Math.min(timeLeft(fields.singleValue(HttpHeaders.TIME_LEFT)), requestClass.timeLimit());
        return new RequestReceived(
                ++lastRequestId,
                requestClass.name(),
                plan,
                key == null ? NO_KEY : parseNonNegative(key),
                receivedAt + timeLeft,
                parseNonNegative(metadata.volume()),
                metadata.units(),
                metadata.shard(),
                metadata.gateways(),
                RETRY_VALUE.equals(fields.first(HttpHeaders.RETRY)),
                write);
    }

    private static String hexId(Fields fields, String name, boolean required) throws ProtocolException {
        String text = fields.singleValue(name);
        if (text == null ? required : !RequestMetadata.isHexId(text)) {
            throw new ProtocolException(name + " is not 16 hexadecimal digits");
        }
        return text;
    }

    /**
     * Parses 64 bits and clears the sign bit: in scheduler events, a negative number means that there is no value. Two
     * volumes or keys that differ only in that bit count as one, which affects only their scheduling.
     */
    private static long parseNonNegative(String hex) {
        return Long.parseUnsignedLong(hex, HEX_RADIX) & Long.MAX_VALUE;
    }

    private static long timeLeft(String text) throws ProtocolException {
        long timeLeft = text == null ? -1 : DecimalText.parseSecondsAsMicros(text);
        if (timeLeft <= 0) {
            throw new ProtocolException(HttpHeaders.TIME_LEFT + " is no time left in seconds");
        }
        return timeLeft;
    }
}
