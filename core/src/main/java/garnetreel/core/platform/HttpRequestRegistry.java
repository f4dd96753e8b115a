package garnetreel.core.platform;

import garnetreel.codec.http.Fields;
import garnetreel.codec.http.HttpRequest;
import garnetreel.codec.http.HttpResponse;
import garnetreel.codec.http.HttpWriter;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.platform.RequestDecoder.DecodedRequest;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Tracks each request from the receipt of its last byte to its final response and the end of its last attempt. Each
 * request gets exactly one response, unless its client disconnects before. The scheduler decides which; only an invalid
 * request, one over a limit or one received at shutdown is answered without passing it to the scheduler.
 */
final class HttpRequestRegistry {
    /**
     * The scheduler answers each request before its deadline. A request that is overdue by this time, in microseconds,
     * indicates a scheduler defect and is failed here.
     */
    private static final long OVERDUE_TOLERANCE_MICROS = 20_000;
    /** A number of units with more digits is ignored. */
    private static final int MAX_UNITS_DIGITS = 9;

    /** A request without a final response, or with an attempt in flight; called pending in the scheduler. */
    private static final class ActiveRequest {
        final long id;
        final String correlationId;
        final long connectionId;
        final HttpRequest message;
        final long deadline;
        int attemptsSent;
        /** Including attempts without a connection. */
        int attemptsInFlight;
        /** Whether it has been answered or its client has disconnected. */
        boolean completed;
        /** Whether an attempt may have been executed. */
        boolean mayHaveRun;

        final boolean repeatable;

        ActiveRequest(
                long id,
                String correlationId,
                long connectionId,
                HttpRequest message,
                long deadline,
                boolean repeatable) {
            this.id = id;
            this.correlationId = correlationId;
            this.connectionId = connectionId;
            this.message = message;
            this.deadline = deadline;
            this.repeatable = repeatable;
        }
    }

    private final long maxRetryAfter;
    private final ResourceLimits limits;
    private final UpstreamConnectionPool upstreams;
    private final HttpClientConnections clients;
    private final Consumer<SchedulerEvent> schedulerEvents;
    private final GatewayCounters counters;
    private final RequestDecoder decoder;
    private final HttpResponses responses;
    private final Map<Long, ActiveRequest> byId = new HashMap<>();
    private final Map<String, ActiveRequest> byCorrelationId = new HashMap<>();
    private final Map<Long, ActiveRequest> byConnection = new HashMap<>();
    private final TreeSet<ActiveRequest> byDeadline = new TreeSet<>(
            Comparator.<ActiveRequest>comparingLong(r -> r.deadline).thenComparingLong(r -> r.id));
    private final ExecutedRequestIds executedIds = new ExecutedRequestIds();
    /** Names of the classes whose requests may be executed more than once. */
    private final Set<String> repeatableClasses;

    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private int bodyBytes;

    HttpRequestRegistry(
            PlatformSettings settings,
            ResourceLimits limits,
            UpstreamConnectionPool upstreams,
            HttpClientConnections clients,
            GatewayCounters counters,
            Consumer<SchedulerEvent> schedulerEvents) {
        this.maxRetryAfter = settings.scheduling().maxRetryAfter();
        this.limits = limits;
        this.upstreams = upstreams;
        this.clients = clients;
        this.schedulerEvents = schedulerEvents;
        this.counters = counters;
        this.decoder = new RequestDecoder(settings.scheduling());
        this.responses = new HttpResponses(settings.retryAfterAllowed());
        this.repeatableClasses = settings.scheduling().classes().stream()
                .filter(c -> c.idempotency() == Idempotency.IDEMPOTENT)
                .map(RequestClass::name)
                .collect(Collectors.toSet());
    }

    /**
     * Starts a turn (one call of {@link PlatformGateway#handle}): sets its time and the list that receives its actions.
     */
    void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
    }

    /** The number of requests that have no final response or still have an attempt in flight. */
    int size() {
        return byId.size();
    }

    // ---------------------------------------------------------------- received requests

    /**
     * Validates and registers a client's request and passes it to the scheduler, or answers it at once if it is invalid
     * or over a limit.
     *
     * @param receivedAt when the last byte of the request was received; the client's time limit counts from then, even
     *     while the request waits behind another one on its connection
     */
    void requestReceived(long connectionId, HttpRequest message, long receivedAt) {
        DecodedRequest decoded;
        try {
            decoded = decoder.decode(message, receivedAt, byCorrelationId.keySet());
            if (executedIds.contains(decoded.correlationId())) {
                throw new InvalidRequestException(HttpResponses.CONFLICT, "a request of this id may have run already");
            }
        } catch (InvalidRequestException e) {
            counters.count(GatewayCounters.Event.REQUEST_INVALID);
            clients.respond(
                    connectionId,
                    HttpWriter.response(e.status()),
                    e.getMessage().getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (byId.size() >= limits.maxRequests() || bodyBytes + message.body().length > limits.maxBufferedBytes()) {
            reject(connectionId, GatewayCounters.Event.REQUEST_REJECTED_OVER_LIMIT);
            return;
        }
        RequestReceived event = decoded.event();
        add(new ActiveRequest(
                event.id(),
                decoded.correlationId(),
                connectionId,
                message,
                event.deadline(),
                repeatableClasses.contains(event.className())));
        schedulerEvents.accept(event);
    }

    private void add(ActiveRequest request) {
        bodyBytes += request.message.body().length;
        byId.put(request.id, request);
        byCorrelationId.put(request.correlationId, request);
        byConnection.put(request.connectionId, request);
        byDeadline.add(request);
    }

    /**
     * Rejects a request that has not been passed to the scheduler. The response asks for the longest delay that clients
     * honour, like a rejection by the scheduler.
     */
    void reject(long connectionId, GatewayCounters.Event reason) {
        counters.count(reason);
        clients.respond(connectionId, responses.rejected(maxRetryAfter), HttpResponses.NO_BODY);
    }

    /** Cancels the request in progress on a connection that its client has closed. */
    void clientDisconnected(long connectionId) {
        ActiveRequest request = byConnection.get(connectionId);
        if (request != null) {
            counters.count(GatewayCounters.Event.CLIENT_DISCONNECTED);
            schedulerEvents.accept(new RequestCancelled(request.id));
            complete(request);
        }
    }

    // ---------------------------------------------------------------- scheduler decisions

    void send(SendAttempt action) {
        ActiveRequest request = byId.get(action.id());
        if (request == null || request.completed) {
            logSchedulerDefect("decided to send request " + action.id() + ", which is unknown or already completed");
            return;
        }
        long deadline = earlierDeadline(request.deadline, action.timeout());
        long startDeadline = earlierDeadline(deadline, action.startWithin());
        request.attemptsInFlight++;
        if (request.attemptsSent > 0) {
            counters.count(GatewayCounters.Event.ATTEMPT_RETRIED);
        }
        int attempt = request.attemptsSent++;
        upstreams.send(new UpstreamAttempt(
                request.id, attempt, action.endpoint(), now, deadline, startDeadline, request.message));
    }

    /** The time {@code within} from now, but at most {@code latest}; {@code latest} if {@code within} is 0. */
    private long earlierDeadline(long latest, long within) {
        return within > 0 ? Math.min(latest, now + within) : latest;
    }

    void reject(RejectRequest action) {
        respond(byId.get(action.id()), responses.rejected(action.retryAfter()), GatewayCounters.Event.REQUEST_REJECTED);
    }

    void fail(FailRequest action) {
        respond(byId.get(action.id()), responses.failed(), GatewayCounters.Event.REQUEST_FAILED);
    }

    private void respond(ActiveRequest request, HttpWriter response, GatewayCounters.Event result) {
        if (request == null || request.completed) {
            return; // the client disconnected in the turn in which the scheduler decided
        }
        counters.count(result);
        clients.respond(request.connectionId, response, HttpResponses.NO_BODY);
        complete(request);
    }

    private void logSchedulerDefect(String defect) {
        actions.add(new NetAction.Log(Level.WARN, "the scheduler " + defect));
    }

    /** Marks a request as completed and withdraws those of its attempts that have not started. */
    private void complete(ActiveRequest request) {
        request.completed = true;
        byConnection.remove(request.connectionId);
        byDeadline.remove(request);
        upstreams.withdraw(request.id);
        removeIfDone(request);
    }

    private void removeIfDone(ActiveRequest request) {
        if (request.completed && request.attemptsInFlight == 0 && byId.remove(request.id) != null) {
            bodyBytes -= request.message.body().length;
            byCorrelationId.remove(request.correlationId);
            if (request.mayHaveRun && !request.repeatable) {
                executedIds.add(request.correlationId);
            }
        }
    }

    // ---------------------------------------------------------------- attempts

    boolean isClientWaiting(UpstreamAttempt attempt) {
        ActiveRequest request = byId.get(attempt.requestId);
        return request != null && !request.completed;
    }

    /**
     * Handles the end of an attempt: passes a successful response to the client and notifies the scheduler of any
     * outcome.
     *
     * @param response null if no complete response was received
     */
    void attemptCompleted(UpstreamAttempt attempt, Outcome outcome, HttpResponse response) {
        ActiveRequest request = byId.get(attempt.requestId);
        request.attemptsInFlight--;
        request.mayHaveRun |= !outcome.provesNotExecuted();
        boolean completedBefore = request.completed;
        if (!completedBefore && outcome == Outcome.OK) {
            counters.count(GatewayCounters.Event.REQUEST_SERVED);
            clients.respond(request.connectionId, HttpWriter.response(HttpResponses.OK), response.body());
            complete(request);
        } else {
            removeIfDone(request);
        }
        Fields fields = response == null ? new Fields() : response.fields();
        schedulerEvents.accept(new AttemptCompleted(
                attempt.requestId,
                attempt.number,
                attempt.endpoint,
                outcome,
                now - attempt.sentAt,
                completedBefore || outcome == Outcome.OK,
                parseUnits(fields.first(HttpHeaders.UNITS_FROM_OTHER_GATEWAYS)),
                0,
                LoadReport.read(fields.first(HttpHeaders.LOAD_REPORT))));
    }

    /** Parses a number of units; a missing or malformed one counts as 0. */
    private static long parseUnits(String text) {
        return text == null ? 0 : Math.max(0, DecimalText.parseWhole(text, MAX_UNITS_DIGITS));
    }

    // ---------------------------------------------------------------- time

    /** When {@link #expire} must be called next. */
    long nextDeadline() {
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadline + OVERDUE_TOLERANCE_MICROS;
    }

    /** Fails the overdue requests that the scheduler did not answer. */
    void expire() {
        while (nextDeadline() <= now) {
            ActiveRequest request = byDeadline.first();
            counters.recordViolation(GatewayCounters.Invariant.RESPONSE_OVERDUE);
            logSchedulerDefect("did not answer a request before its deadline, correlation id " + request.correlationId);
            schedulerEvents.accept(new RequestCancelled(request.id));
            respond(request, responses.failed(), GatewayCounters.Event.REQUEST_FAILED);
        }
    }
}
