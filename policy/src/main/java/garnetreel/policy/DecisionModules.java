package garnetreel.policy;

import garnetreel.policy.admission.AdmissionController;
import garnetreel.policy.admission.LoadShedder;
import garnetreel.policy.admission.UnservedRequests;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.endpoint.EndpointListSubscription;
import garnetreel.policy.endpoint.EndpointListValidity;
import garnetreel.policy.endpoint.EndpointTable;
import garnetreel.policy.fairqueue.FairQueue;
import garnetreel.policy.health.LatencyScale;
import garnetreel.policy.ordering.KeySequencer;
import garnetreel.policy.retry.RetryBudget;
import garnetreel.policy.retry.RetryPolicy;
import garnetreel.policy.slowstart.SlowStart;
import java.util.SplittableRandom;

/** The components of one scheduler. Each owns its state; the other classes of this package combine several of them. */
final class DecisionModules {
    final SchedulerSettings settings;
    final SettingsLookup settingsLookup;
    final EndpointListValidity listValidity = new EndpointListValidity();
    final EndpointTable endpoints = new EndpointTable(listValidity);
    final EndpointListSubscription subscription;
    final ShardTable shards = new ShardTable(endpoints);
    final PendingRequests requests = new PendingRequests(shards);
    final FairQueue fairQueue = new FairQueue();
    final KeySequencer<PendingRequest> keySequencer;
    final UnservedRequests unservedRequests = new UnservedRequests();
    final AdmissionController admissionController;
    final LoadShedder loadShedder;
    final SlowStart slowStart;
    final LatencyScale latencyScale;
    final RetryBudget retryBudget;
    final RetryPolicy retryPolicy;
    final DecisionTimer timer;
    final ActionCollector actions = new ActionCollector();
    /** Start time of this gateway; set by the first call of the scheduler. */
    long startedAt;

    DecisionModules(SchedulerSettings settings, long seed) {
        this.settings = settings;
        // One generator for all components. SplittableRandom also gives unrelated sequences for adjacent seeds, which
        // the gateways of a fleet may have.
        SplittableRandom random = new SplittableRandom(seed);
        settingsLookup = new SettingsLookup(settings);
        subscription = new EndpointListSubscription(settings, random);
        keySequencer = new KeySequencer<>(settings.rules().keyQuietPeriod());
        admissionController = new AdmissionController(settings, random);
        loadShedder = new LoadShedder(settings);
        slowStart = new SlowStart(settings);
        latencyScale = new LatencyScale(settings);
        retryBudget = new RetryBudget(settings.rules());
        retryPolicy = new RetryPolicy(settings.maxAttempts(), retryBudget);
        timer = new DecisionTimer(settings);
    }

    /** Initializes the components that depend on the start time of the gateway. */
    void start(long now) {
        startedAt = now;
        subscription.start(now);
    }

    /** Whether the invariants of all components hold. Traverses the whole state, so it is meant for tests only. */
    boolean areConsistent() {
        return listValidity.isConsistent()
                && endpoints.isConsistent()
                && subscription.isConsistent()
                && shards.isConsistent()
                && requests.isConsistent()
                && fairQueue.isConsistent()
                && keySequencer.isConsistent()
                && unservedRequests.isConsistent()
                && slowStart.isConsistent()
                && retryBudget.isConsistent()
                && actions.isConsistent();
    }
}
