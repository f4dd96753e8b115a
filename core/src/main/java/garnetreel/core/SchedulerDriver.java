package garnetreel.core;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.policy.Scheduler;
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
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.policy.event.TimerExpired;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Runs the scheduler in a gateway, independently of protocols: calls it, keeps its timers, and dispatches its actions.
 */
public final class SchedulerDriver {
    /** Executes the scheduler's decisions. */
    public interface ActionHandler {
        /** Sends an attempt to an endpoint. */
        void send(SendAttempt send);

        /** Ends a request that had no effect. */
        void reject(RejectRequest reject);

        /** Ends a request whose effect is unknown. */
        void fail(FailRequest fail);

        /** Stops waiting for an attempt. */
        void cancel(CancelAttempt cancel);

        /** Checks the health of an endpoint. */
        void checkHealth(CheckHealth check);

        /** Closes the connections to an endpoint that have no attempts. */
        void closeIdle(CloseIdleConnections close);

        /** Starts or ends the subscription to the list of endpoints, which in a block gateway is the node list. */
        void subscribe(SubscribeEndpoints subscribe);

        /** Requests the list of endpoints once. */
        void pollEndpoints();
    }

    /** A timer; {@code sequence} orders timers with the same expiry time by when they were set. */
    private record Timer(long expiresAt, long sequence, String name) {}

    private final Scheduler scheduler;
    private final ActionHandler handler;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::expiresAt).thenComparingLong(Timer::sequence));
    private long lastSequence;

    /** A driver of {@code scheduler} that passes its actions to {@code handler}. */
    public SchedulerDriver(Scheduler scheduler, ActionHandler handler) {
        this.scheduler = scheduler;
        this.handler = handler;
    }

    /** Removes the expired timers and passes an event for each to {@code events}, in order. */
    public void expireTimers(long now, Consumer<SchedulerEvent> events) {
        while (nextDeadline() <= now) {
            events.accept(new TimerExpired(timers.poll().name()));
        }
    }

    /** Passes events to the scheduler and executes the resulting actions in order. */
    public void decide(long now, List<SchedulerEvent> events, List<NetAction> actions) {
        for (SchedulerAction action : scheduler.decide(now, events)) {
            execute(action, now, actions);
        }
    }

    private void execute(SchedulerAction action, long now, List<NetAction> actions) {
        if (action instanceof SendAttempt send) {
            handler.send(send);
        } else if (action instanceof RejectRequest reject) {
            handler.reject(reject);
        } else if (action instanceof FailRequest fail) {
            handler.fail(fail);
        } else if (action instanceof SetTimer timer) {
            timers.add(new Timer(now + Math.max(0, timer.after()), ++lastSequence, timer.name()));
        } else if (action instanceof CancelAttempt cancel) {
            handler.cancel(cancel);
        } else if (action instanceof CheckHealth check) {
            handler.checkHealth(check);
        } else if (action instanceof CloseIdleConnections close) {
            handler.closeIdle(close);
        } else if (action instanceof SubscribeEndpoints subscribe) {
            handler.subscribe(subscribe);
        } else if (action instanceof PollEndpoints) {
            handler.pollEndpoints();
        } else if (action instanceof LogMessage message) {
            actions.add(new NetAction.Log(Level.INFO, message.text()));
        }
    }

    /** When the next timer expires; {@link Long#MAX_VALUE} if there is none. */
    public long nextDeadline() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().expiresAt();
    }
}
