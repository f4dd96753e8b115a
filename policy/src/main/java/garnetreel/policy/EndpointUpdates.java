package garnetreel.policy;

import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.endpoint.Endpoint;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.List;

/** Applies updates of the endpoint list and maintains the subscription to it. */
final class EndpointUpdates {
    private final DecisionModules modules;
    private final RequestAdmission admission;
    /** Shards of endpoints that the list reported as started since the last readmission. */
    private final List<Shard> shardsToReadmit = new ArrayList<>();

    EndpointUpdates(DecisionModules modules, RequestAdmission admission) {
        this.modules = modules;
        this.admission = admission;
    }

    void applyUpdate(EndpointUpdate update, long now) {
        switch (update.kind()) {
            case UNAVAILABLE -> {
                modules.subscription.failed(now);
                modules.actions.log("endpoint list: call rejected or subscription lost, retrying after backoff");
                return;
            }
            case CACHED -> {
                boolean trusted = !update.entries().isEmpty() && modules.listValidity.hasConfirmation();
                modules.subscription.cachedListRead(trusted, now);
            }
            case SNAPSHOT, DELTA -> modules.subscription.listReceived();
        }
        if (update.kind() != EndpointUpdateKind.DELTA) {
            modules.endpoints.markAllDown();
        }
        for (EndpointEntry entry : update.entries()) {
            Endpoint endpoint = modules.endpoints.apply(entry);
            if (endpoint.applyListedStart(entry.startedAt())) {
                shardsToReadmit.add(modules.shards.get(endpoint.shard(), modules.startedAt, now));
            }
        }
    }

    /** Repeats admission for requests held before an endpoint started, as it cannot take all of them at once. */
    void readmitForRestarts(long now) {
        for (Shard shard : shardsToReadmit) {
            admission.readmit(shard, now);
        }
        shardsToReadmit.clear();
    }

    void subscribeIfDue(long now) {
        if (modules.subscription.takeDueCall(now)) {
            modules.actions.add(new SubscribeEndpoints(true));
        }
    }
}
