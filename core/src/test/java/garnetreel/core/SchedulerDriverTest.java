package garnetreel.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.core.io.NetAction;
import garnetreel.policy.action.CancelAttempt;
import garnetreel.policy.action.CheckHealth;
import garnetreel.policy.action.CloseIdleConnections;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.LogMessage;
import garnetreel.policy.action.PollEndpoints;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SetTimer;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SchedulerDriverTest {
    private final List<SchedulerAction> decisions = new ArrayList<>();
    private final List<SchedulerAction> handled = new ArrayList<>();
    private final List<NetAction> actions = new ArrayList<>();
    private final SchedulerDriver driver =
            new SchedulerDriver((now, events) -> List.copyOf(decisions), new SchedulerDriver.ActionHandler() {
                @Override
                public void send(SendAttempt send) {
                    handled.add(send);
                }

                @Override
                public void reject(RejectRequest reject) {
                    handled.add(reject);
                }

                @Override
                public void fail(FailRequest fail) {
                    handled.add(fail);
                }

                @Override
                public void cancel(CancelAttempt cancel) {
                    handled.add(cancel);
                }

                @Override
                public void checkHealth(CheckHealth check) {
                    handled.add(check);
                }

                @Override
                public void closeIdle(CloseIdleConnections close) {
                    handled.add(close);
                }

                @Override
                public void subscribe(SubscribeEndpoints subscribe) {
                    handled.add(subscribe);
                }

                @Override
                public void pollEndpoints() {
                    handled.add(new PollEndpoints());
                }
            });

    private List<String> expireTimers(long now) {
        List<String> names = new ArrayList<>();
        driver.expireTimers(now, event -> names.add(((TimerExpired) event).name()));
        return names;
    }

    @Test
    void timersExpireByTimeAndThenInTheOrderOfSetting() {
        assertEquals(Long.MAX_VALUE, driver.nextDeadline());
        decisions.addAll(List.of(new SetTimer("late", 20), new SetTimer("a", 10), new SetTimer("b", 10)));
        driver.decide(100, List.of(), actions);
        assertEquals(110, driver.nextDeadline());
        assertEquals(List.of(), expireTimers(109));
        assertEquals(List.of("a", "b"), expireTimers(110));
        assertEquals(List.of("late"), expireTimers(500));
        assertEquals(Long.MAX_VALUE, driver.nextDeadline());
    }

    @Test
    void timerInThePastExpiresImmediately() {
        decisions.add(new SetTimer("now", -5));
        driver.decide(100, List.of(), actions);
        assertEquals(100, driver.nextDeadline());
    }

    @Test
    void actionsAreExecutedInOrderAndMessagesAreLogged() {
        decisions.addAll(List.of(
                new PollEndpoints(), new LogMessage("text"), new CheckHealth("n:1"), new SubscribeEndpoints(true)));
        driver.decide(100, List.of(), actions);
        assertEquals(List.of(new PollEndpoints(), new CheckHealth("n:1"), new SubscribeEndpoints(true)), handled);
        assertEquals(List.of(new NetAction.Log(NetAction.Level.INFO, "text")), actions);
    }
}
