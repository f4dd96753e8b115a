package garnetreel.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The order of the steps of a scheduler call affects its decisions: swapping two steps changes them. */
class DecisionStepTest {
    private static final long NOW = 100 * TestSettings.SECOND;

    private static List<DecisionStep> orderWithSwapped(DecisionStep first, DecisionStep second) {
        List<DecisionStep> steps = new ArrayList<>(DecisionStep.ORDER);
        Collections.swap(steps, steps.indexOf(first), steps.indexOf(second));
        return steps;
    }

    /** A scheduler that holds one request for a shard without endpoints; the next endpoint list allows sending it. */
    private static FairQueueScheduler schedulerHoldingRequest(List<DecisionStep> steps) {
        FairQueueScheduler scheduler = new FairQueueScheduler(TestSettings.settings(), 1, steps);
        scheduler.decide(NOW, List.of());
        scheduler.decide(NOW, List.of(request()));
        return scheduler;
    }

    private static RequestReceived request() {
        return new RequestReceived(1, "read", "free", -1, NOW + TestSettings.SECOND, 5, 1, 0, 1, false, false);
    }

    private static EndpointUpdate endpointList(long startedAt) {
        return new EndpointUpdate(
                EndpointUpdateKind.SNAPSHOT, List.of(TestSettings.entry("n0", 0, EndpointState.UP, startedAt)));
    }

    private static long countSends(List<SchedulerAction> actions) {
        return actions.stream().filter(action -> action instanceof SendAttempt).count();
    }

    @Test
    void cancellationsAreHandledBeforeDispatch() {
        FairQueueScheduler scheduler = schedulerHoldingRequest(DecisionStep.ORDER);
        assertEquals(0, countSends(scheduler.decide(NOW + 1, List.of(endpointList(0), new RequestCancelled(1)))));
        FairQueueScheduler dispatchFirst =
                schedulerHoldingRequest(orderWithSwapped(DecisionStep.HANDLE_EVENTS, DecisionStep.SHED_AND_DISPATCH));
        dispatchFirst.decide(NOW + 1, List.of(endpointList(0)));
        assertEquals(
                1,
                countSends(dispatchFirst.decide(NOW + 2, List.of(new RequestCancelled(1)))),
                "with dispatch first, a cancelled request is sent");
    }

    @Test
    void endpointUpdatesAreHandledBeforeDispatch() {
        assertEquals(
                1, countSends(schedulerHoldingRequest(DecisionStep.ORDER).decide(NOW + 1, List.of(endpointList(0)))));
        assertEquals(
                0,
                countSends(schedulerHoldingRequest(
                                orderWithSwapped(DecisionStep.HANDLE_EVENTS, DecisionStep.SHED_AND_DISPATCH))
                        .decide(NOW + 1, List.of(endpointList(0)))),
                "with dispatch first, the endpoint list is not yet known");
    }

    @Test
    void requestsAreReadmittedForRestartsBeforeDispatch() {
        assertEquals(
                new ActionCounts(0, 1),
                actionsAfterRestart(DecisionStep.ORDER),
                "a gateway that has just started admits almost nothing to a cold endpoint");
        assertEquals(
                new ActionCounts(1, 0),
                actionsAfterRestart(
                        orderWithSwapped(DecisionStep.READMIT_FOR_RESTARTS, DecisionStep.SHED_AND_DISPATCH)),
                "with dispatch first, the held request is sent to a cold endpoint");
    }

    private record ActionCounts(long sends, long rejections) {}

    private static ActionCounts actionsAfterRestart(List<DecisionStep> steps) {
        List<SchedulerAction> actions = schedulerHoldingRequest(steps).decide(NOW + 1, List.of(endpointList(NOW)));
        return new ActionCounts(
                countSends(actions),
                actions.stream()
                        .filter(action -> action instanceof RejectRequest)
                        .count());
    }

    /** Swapping the steps of any of these pairs changes the actions recorded for a scenario. */
    @ParameterizedTest
    @CsvSource({
        "HANDLE_EVENTS, READMIT_FOR_RESTARTS",
        "HANDLE_EVENTS, SHED_AND_DISPATCH",
        "READMIT_FOR_RESTARTS, SHED_AND_DISPATCH",
        "SUBSCRIBE_TO_ENDPOINTS, SET_TIMER",
        "EXPIRE_REQUESTS, SHED_AND_DISPATCH",
        "DETECT_SLOW_ENDPOINTS, HANDLE_EVENTS",
        "SHED_AND_DISPATCH, SET_TIMER"
    })
    void swappingStepsChangesDecisions(DecisionStep first, DecisionStep second) {
        GoldenScenario scenario = GoldenScenarios.all().get(0);
        assertNotEquals(GoldenDriver.lines(scenario), GoldenDriver.lines(scenario, orderWithSwapped(first, second)));
    }
}
