package garnetreel.policy;

import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import java.util.ArrayList;
import java.util.List;

/** The state of a request as observed by a test, independently of the scheduler. */
final class ObservedRequest {
    final RequestReceived request;
    final RequestClass requestClass;
    final List<SendAttempt> sends = new ArrayList<>();
    final List<Long> sentAt = new ArrayList<>();
    /** One entry per attempt sent; null while the attempt is in flight. */
    final List<Outcome> outcomes = new ArrayList<>();

    boolean ended;

    ObservedRequest(RequestReceived request, RequestClass requestClass) {
        this.request = request;
        this.requestClass = requestClass;
    }

    boolean possiblyExecuted(int attempt) {
        return outcomes.get(attempt) == null || !outcomes.get(attempt).provesNotExecuted();
    }

    long attemptsInFlight() {
        return outcomes.stream().filter(outcome -> outcome == null).count();
    }
}
