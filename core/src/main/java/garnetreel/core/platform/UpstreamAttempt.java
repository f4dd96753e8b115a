package garnetreel.core.platform;

import garnetreel.codec.http.HttpRequest;
import garnetreel.codec.http.HttpWriter;
import java.nio.ByteBuffer;

/** One attempt to execute a request on an endpoint. Attempts are compared by identity. */
final class UpstreamAttempt {
    /**
     * Minimum value of the {@code X-Time-Left} header in microseconds, even if the deadline is closer: less would be
     * sent as 0.000.
     */
    private static final long MIN_TIME_LEFT_MICROS = 1_000;

    /** Id of the request in scheduler events. */
    final long requestId;

    /** Number of the attempt among those of its request, from 0. */
    final int number;

    /** Name of the endpoint in the endpoint list. */
    final String endpoint;

    /** When the scheduler decided to send the attempt; its request is written when its connection is open. */
    final long sentAt;

    /** When the attempt times out. */
    final long deadline;

    /** From this time on the attempt must not start any more; at most {@link #deadline}. */
    final long startDeadline;

    private final HttpRequest message;

    UpstreamAttempt(
            long requestId,
            int number,
            String endpoint,
            long sentAt,
            long deadline,
            long startDeadline,
            HttpRequest message) {
        this.requestId = requestId;
        this.number = number;
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.deadline = deadline;
        this.startDeadline = startDeadline;
        this.message = message;
    }

    /**
     * Encodes the request with the time that is left at {@code now}, the time of the write; the connection may have
     * taken long to open.
     */
    ByteBuffer encode(long now) {
        long timeLeft = Math.max(MIN_TIME_LEFT_MICROS, deadline - now);
        HttpWriter writer = HttpWriter.request(message.method(), message.target(), HttpHeaders.HOST)
                .field(HttpHeaders.TIME_LEFT, DecimalText.formatSeconds(timeLeft))
                .forwardFields(message.fields(), HttpHeaders.TIME_LEFT);
        return writer.body(message.body(), message.method().equals("PUT"));
    }
}
