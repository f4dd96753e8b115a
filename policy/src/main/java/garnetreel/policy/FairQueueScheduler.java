package garnetreel.policy;

import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.DiscoveryAddressChanged;
import garnetreel.policy.event.DiscoveryObserved;
import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.ResponseStreamStarted;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.policy.event.TimerExpired;
import java.util.List;

/**
 * Scheduler of one gateway: virtual-time fair queueing (docs/design.md) with admission control, rate limits,
 * concurrency limits and retry limits around it.
 *
 * <p>This class only coordinates: it passes each event to the components concerned and runs the steps of a call in
 * order. Every kind of decision has a component of its own with its state and constants.
 */
public final class FairQueueScheduler implements Scheduler {
    private final List<DecisionStep> steps;
    private final DecisionModules modules;
    private final RequestCloser closer;
    private final RequestAdmission admission;
    private final AttemptDispatcher dispatcher;
    private final OutcomeHandler outcomes;
    private final EndpointUpdates endpointUpdates;
    private final Housekeeping housekeeping;
    private boolean started;
    private long now;

    /**
     * Creates a scheduler for one gateway.
     *
     * @param settings settings of the scheduler
     * @param seed seed of its random numbers; the same seed and events give the same actions
     */
    public FairQueueScheduler(SchedulerSettings settings, long seed) {
        this(settings, seed, DecisionStep.ORDER);
    }

    /** Creates a scheduler with another order of steps, for tests that show why the order matters. */
    FairQueueScheduler(SchedulerSettings settings, long seed, List<DecisionStep> steps) {
        this.steps = List.copyOf(steps);
        modules = new DecisionModules(settings, seed);
        closer = new RequestCloser(modules);
        admission = new RequestAdmission(modules, closer);
        dispatcher = new AttemptDispatcher(modules);
        outcomes = new OutcomeHandler(modules, closer);
        endpointUpdates = new EndpointUpdates(modules, admission);
        housekeeping = new Housekeeping(modules);
    }

    @Override
    public List<SchedulerAction> decide(long time, List<? extends SchedulerEvent> events) {
        now = Math.max(now, time);
        List<SchedulerAction> actions = modules.actions.begin();
        if (!started) {
            started = true;
            modules.start(now);
            housekeeping.start(now);
        }
        for (DecisionStep step : steps) {
            run(step, events);
        }
        return actions;
    }

    private void run(DecisionStep step, List<? extends SchedulerEvent> events) {
        switch (step) {
            case HANDLE_EVENTS -> handleAll(events);
            case READMIT_FOR_RESTARTS -> endpointUpdates.readmitForRestarts(now);
            case SUBSCRIBE_TO_ENDPOINTS -> endpointUpdates.subscribeIfDue(now);
            case EXPIRE_REQUESTS -> closer.expireRequests(now);
            case DETECT_SLOW_ENDPOINTS -> outcomes.detectSlowEndpoints(now);
            case SHED_AND_DISPATCH -> shedAndDispatch();
            case EVICT_UNUSED -> housekeeping.evictUnused(now);
            case SET_TIMER -> modules.timer.set(
                    modules.requests, modules.subscription, modules.loadShedder, modules.actions, now);
        }
    }

    private void handleAll(List<? extends SchedulerEvent> events) {
        for (SchedulerEvent event : events) {
            handle(event);
        }
    }

    /**
     * Passes an event to the component concerned. {@code GossipReceived} and {@code HealthCheckCompleted} are ignored,
     * because the components use only what this gateway observes on its own attempts.
     */
    private void handle(SchedulerEvent event) {
        if (event instanceof RequestReceived received) {
            admission.requestReceived(received, now);
        } else if (event instanceof AttemptCompleted completed) {
            outcomes.attemptCompleted(completed, now);
        } else if (event instanceof EndpointUpdate update) {
            endpointUpdates.applyUpdate(update, now);
        } else if (event instanceof EndpointListConfirmed confirmed) {
            modules.listValidity.confirmed(confirmed.asOf());
        } else if (event instanceof DiscoveryObserved observed) {
            modules.listValidity.discoveryObserved(observed.available());
        } else if (event instanceof DiscoveryAddressChanged) {
            modules.listValidity.discoveryAddressChanged(now);
        } else if (event instanceof RequestCancelled cancelled) {
            closer.requestCancelled(cancelled.id(), now);
        } else if (event instanceof ResponseStreamStarted stream) {
            markStreaming(stream.id());
        } else if (event instanceof TimerExpired) {
            modules.timer.expired(now);
        }
    }

    private void markStreaming(long id) {
        PendingRequest request = modules.requests.get(id);
        if (request != null) {
            request.streaming = true;
        }
    }

    private void shedAndDispatch() {
        for (Shard shard : modules.shards.withHeldRequests()) {
            closer.shed(shard, now);
            dispatcher.dispatch(shard, now);
        }
    }

    boolean isConsistent() {
        return modules.areConsistent();
    }
}
