package garnetreel.policy;

import static garnetreel.policy.TestSettings.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SetTimer;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.policy.event.TimerExpired;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Feeds scripted events to one scheduler in simulated time; {@link SafetyRulesChecker} checks every action it
 * returns, and the modules' invariants are checked after every call.
 */
final class SchedulerHarness {
    private record PendingTimer(long dueAt, long sequence, String name) {}

    final SchedulerSettings settings;
    final FairQueueScheduler scheduler;
    final List<SchedulerAction> actions = new ArrayList<>();
    private final SafetyRulesChecker checker;
    private final PriorityQueue<PendingTimer> timers =
            new PriorityQueue<>((first, second) -> first.dueAt != second.dueAt
                    ? Long.compare(first.dueAt, second.dueAt)
                    : Long.compare(first.sequence, second.sequence));
    private long nextTimerSequence;
    private long nextId = 1;
    long now = 100 * SECOND;

    SchedulerHarness(SchedulerSettings settings) {
        this(settings, 7);
    }

    SchedulerHarness(SchedulerSettings settings, long seed) {
        this.settings = settings;
        scheduler = new FairQueueScheduler(settings, seed);
        checker = new SafetyRulesChecker(settings, now);
    }

    /** Creates a harness whose endpoints n0, n1, ... hold shards 0, 1, ... and have been up for a long time. */
    static SchedulerHarness withEndpoints(int count) {
        SchedulerHarness harness = new SchedulerHarness(TestSettings.settings());
        EndpointEntry[] entries = new EndpointEntry[count];
        for (int i = 0; i < count; i++) {
            entries[i] = TestSettings.entry("n" + i, i, EndpointState.UP, 0);
        }
        harness.updateEndpoints(EndpointUpdateKind.CACHED, entries);
        harness.updateEndpoints(EndpointUpdateKind.SNAPSHOT, entries);
        harness.advance(30 * SECOND);
        return harness;
    }

    List<SchedulerAction> updateEndpoints(EndpointUpdateKind kind, EndpointEntry... entries) {
        checker.endpointsUpdated(kind, Arrays.asList(entries), now);
        return decide(new EndpointUpdate(kind, Arrays.asList(entries)));
    }

    /** Creates a request without delivering it to the scheduler. */
    RequestReceived newRequest(String className, String plan, long volume, double units, int shard, long key) {
        long timeLimit = settings.classes().stream()
                .filter(requestClass -> requestClass.name().equals(className))
                .findFirst()
                .map(RequestClass::timeLimit)
                .orElse(SECOND);
        return new RequestReceived(
                nextId++, className, plan, key, now + timeLimit, volume, units, shard, 2, false, false);
    }

    /** Delivers a request for shard 0 to the scheduler and returns its id. */
    long request(String className, long volume, double units) {
        RequestReceived received = newRequest(className, "free", volume, units, 0, -1);
        decide(received);
        return received.id();
    }

    /** Completes the latest attempt of a request with the given outcome. */
    List<SchedulerAction> complete(long id, Outcome outcome) {
        ObservedRequest observed = checker.request(id);
        int attempt = observed.sends.size() - 1;
        return decide(new AttemptCompleted(
                id,
                attempt,
                observed.sends.get(attempt).endpoint(),
                outcome,
                now - observed.sentAt.get(attempt),
                outcome == Outcome.OK || observed.ended,
                0,
                0,
                Map.of()));
    }

    /** Advances the simulated time, delivering timers as they expire. */
    void advance(long duration) {
        long end = now + duration;
        while (!timers.isEmpty() && timers.peek().dueAt <= end) {
            PendingTimer timer = timers.poll();
            now = Math.max(now, timer.dueAt);
            decide(new TimerExpired(timer.name));
        }
        now = end;
    }

    /** Number of attempts sent for a request. */
    int attempts(long id) {
        return checker.isKnown(id) ? checker.request(id).sends.size() : 0;
    }

    /** Ids of the requests with an attempt in flight. */
    List<Long> idsInFlight() {
        return checker.requests().keySet().stream().filter(this::isInFlight).toList();
    }

    boolean isInFlight(long id) {
        return checker.request(id).attemptsInFlight() > 0;
    }

    boolean hasEnded(long id) {
        return checker.request(id).ended;
    }

    /** Request ids of all attempts, in the order sent. */
    List<Long> sentIds() {
        return actions.stream()
                .filter(action -> action instanceof SendAttempt)
                .map(action -> ((SendAttempt) action).id())
                .toList();
    }

    /** Number of requests whose latest attempt is in flight at the given endpoint. */
    long inFlightAt(String endpoint) {
        return checker.observedRequests().stream()
                .filter(observed -> !observed.sends.isEmpty()
                        && observed.attemptsInFlight() > 0
                        && observed.sends
                                .get(observed.sends.size() - 1)
                                .endpoint()
                                .equals(endpoint))
                .count();
    }

    List<SchedulerAction> decide(SchedulerEvent... events) {
        for (SchedulerEvent event : events) {
            checker.observe(event, now);
        }
        List<SchedulerAction> result = scheduler.decide(now, List.of(events));
        assertTrue(scheduler.isConsistent(), "an invariant of a module is violated");
        for (SchedulerAction action : result) {
            checker.check(action, now);
            if (action instanceof SetTimer timer) {
                assertTrue(timer.after() > 0);
                timers.add(new PendingTimer(now + timer.after(), nextTimerSequence++, timer.name()));
            }
        }
        actions.addAll(result);
        return result;
    }

    /** Asserts that every request received has got its final response. */
    void assertAllAnswered() {
        checker.assertAllAnswered();
    }
}
