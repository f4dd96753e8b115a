package garnetreel.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SetTimer;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compiles and runs the README's example of a program that embeds the scheduler. */
class EmbeddingTest {
    private final Scheduler scheduler = new FairQueueScheduler(TestSettings.settings(), 42);
    private final List<String> performed = new ArrayList<>();

    private void deliver(long now, SchedulerEvent event) {
        for (SchedulerAction action : scheduler.decide(now, List.of(event))) {
            if (action instanceof SendAttempt send) {
                performed.add("send " + send.id() + " to " + send.endpoint());
            } else if (action instanceof RejectRequest reject) {
                performed.add("reject " + reject.id());
            } else if (action instanceof FailRequest fail) {
                performed.add("fail " + fail.id());
            } else if (action instanceof SetTimer timer) {
                performed.add("timer " + timer.name());
            }
        }
    }

    @Test
    void requestIsSentToItsEndpointAndCompleted() {
        deliver(
                1_000,
                new EndpointUpdate(
                        EndpointUpdateKind.CACHED,
                        List.of(new EndpointEntry("endpoint-a", "zone", 3, EndpointState.UP, 1, 0))));
        deliver(2_000, new RequestReceived(1, "read", "free", 77, 2_002_000, 5, 1, 3, 1, false, false));
        deliver(9_000, new AttemptCompleted(1, 0, "endpoint-a", Outcome.OK, 7_000, true, 0, 0, Map.of()));
        assertEquals(
                List.of("send 1 to endpoint-a"),
                performed.stream().filter(action -> !action.startsWith("timer")).toList());
    }
}
