package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.Violation.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;

/**
 * Records the requests and outcomes of clients and the attempts and runs of servers, and checks both sides against each
 * other. Times are nanoseconds of the monotonic clock.
 */
final class RequestLedger {
    /** Whether a request may be sent again after an attempt that may have run; named as in the settings. */
    enum Effect {
        REPEATABLE,
        BY_KEY,
        ONCE
    }

    /** The outcome of a request for its client. */
    enum Outcome {
        OPEN,
        SERVED,
        REFUSED,
        FAILED,
        /** The client disconnected before the response. */
        LEFT,
        /** No response, for a reason that is no violation, such as a killed gateway. */
        EXCUSED
    }

    /**
     * An attempt as seen by a server.
     *
     * @param timeLeft seconds left for the request, as sent by the gateway
     * @param certainty how reliably its times are those at which its bytes left the gateway
     */
    record Attempt(String server, long firstByteAt, long lastByteAt, double timeLeft, FaultProxy.Certainty certainty) {
        /** Whether timing invariants of the gateway can be checked with this attempt. */
        boolean hasExactTimes() {
            return certainty == FaultProxy.Certainty.KNOWN;
        }
    }

    /** One request of a well-behaved client. */
    static final class Request {
        final String id;
        final Effect effect;
        final String gateway;
        final byte[] body;
        final long sentAt;
        final long deadline;
        /** Whether the request is the first on its connection. */
        final boolean firstOnConnection;

        final List<Attempt> attempts = new ArrayList<>(1);
        /** When servers started to run the request. */
        final List<Long> runs = new ArrayList<>(1);
        /** Response bodies that servers produced. */
        final List<String> responses = new ArrayList<>(1);

        Outcome outcome = Outcome.OPEN;
        int status;
        long disconnectedAt = Long.MAX_VALUE;

        Request(
                String id,
                Effect effect,
                String gateway,
                byte[] body,
                long sentAt,
                long deadline,
                boolean firstOnConnection) {
            this.id = id;
            this.firstOnConnection = firstOnConnection;
            this.effect = effect;
            this.gateway = gateway;
            this.body = body;
            this.sentAt = sentAt;
            this.deadline = deadline;
        }
    }

    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Violation> violations = new ConcurrentLinkedQueue<>();
    private final Map<Outcome, LongAdder> outcomeCounts = new ConcurrentHashMap<>();
    private final long slack;
    private final long repeatWindow;

    /**
     * @param slack scheduling delay of the machine that checks of times tolerate, nanoseconds
     * @param repeatWindow how long servers drop repeats of keyed requests, nanoseconds
     */
    RequestLedger(long slack, long repeatWindow) {
        this.slack = slack;
        this.repeatWindow = repeatWindow;
    }

    long slack() {
        return slack;
    }

    void report(Violation violation) {
        violations.add(violation);
    }

    void recordRequest(Request request) {
        requests.put(request.id, request);
    }

    Request find(String id) {
        return requests.get(id);
    }

    void recordOutcome(Request request, Outcome outcome, int status) {
        synchronized (request) {
            request.outcome = outcome;
            request.status = status;
        }
        outcomeCounts.computeIfAbsent(outcome, key -> new LongAdder()).increment();
    }

    void recordDisconnect(Request request, long at) {
        synchronized (request) {
            request.disconnectedAt = at;
        }
        recordOutcome(request, Outcome.LEFT, 0);
    }

    /** Records an attempt that a server has read completely; false if no client sent such a request. */
    boolean recordAttempt(Attempt attempt, String id, byte[] body) {
        Request request = id == null ? null : requests.get(id);
        if (request == null || !java.util.Arrays.equals(body, request.body)) {
            report(Violation.of(
                    Kind.ALTERED,
                    attempt.server() + " received request " + id + " with an id or body that no client sent"));
            return false;
        }
        synchronized (request) {
            request.attempts.add(attempt);
        }
        return true;
    }

    /** Records that a server starts to run a request, and the response body that it will send. */
    void recordRun(String id, long at, String response) {
        Request request = requests.get(id);
        synchronized (request) {
            request.runs.add(at);
            request.responses.add(response);
        }
    }

    boolean hasProduced(Request request, String response) {
        synchronized (request) {
            return request.responses.contains(response);
        }
    }

    /** Checks the recorded requests; returns all violations, including those reported during the run. */
    List<Violation> findViolations() {
        List<Violation> found = new ArrayList<>(violations);
        for (Request request : requests.values()) {
            synchronized (request) {
                check(request, found);
            }
        }
        return found;
    }

    private void check(Request request, List<Violation> found) {
        String label = "request " + request.id + " (" + request.effect + ", " + request.gateway + ", " + request.outcome
                + ") ";
        if (request.outcome == Outcome.OPEN) {
            found.add(Violation.of(Kind.UNANSWERED, label + "got no response"));
        }
        if (request.effect == Effect.ONCE && request.runs.size() > 1) {
            found.add(Violation.of(Kind.RUN_TWICE, label + "ran " + request.runs.size() + " times"));
        }
        if (request.effect == Effect.BY_KEY
                && request.runs.size() > 1
                && request.runs.get(request.runs.size() - 1) - request.runs.get(0) > repeatWindow) {
            found.add(Violation.of(Kind.RUN_TWICE, label + "ran again after the repeat window"));
        }
        if (request.outcome == Outcome.REFUSED && request.effect != Effect.REPEATABLE && !request.runs.isEmpty()) {
            found.add(Violation.of(Kind.REFUSED_BUT_RAN, label + "ran"));
        }
        for (Attempt attempt : request.attempts) {
            long delay = attempt.firstByteAt() - request.disconnectedAt;
            boolean startTimeUsable = attempt.certainty() != FaultProxy.Certainty.UNKNOWN;
            if (startTimeUsable && request.disconnectedAt != Long.MAX_VALUE && delay > 100_000_000 + slack) {
                found.add(Violation.timed(
                        Kind.SENT_AFTER_LEAVE,
                        label + "was sent to " + attempt.server() + " " + delay / 1_000_000
                                + " ms after its client disconnected"));
            }
            double excess = attempt.timeLeft() - (request.deadline - attempt.firstByteAt()) / 1e9;
            if (attempt.hasExactTimes() && excess > 0.15 + slack / 1e9) {
                found.add(Violation.timed(
                        Kind.TIME_LEFT,
                        label + "was sent to " + attempt.server() + " with time left " + excess + " s too high: "
                                + attempt.timeLeft() + " s, " + (attempt.firstByteAt() - request.sentAt) / 1_000_000
                                + " ms after the client sent it as the "
                                + (request.firstOnConnection ? "first" : "next") + " request of its connection"));
            }
        }
    }

    @Override
    public String toString() {
        return requests.size() + " requests " + outcomeCounts;
    }
}
