package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.SchedulerEvent;
import java.util.function.Consumer;

/** Checks the versions of endpoint list updates and passes the updates on to the connection pool and the scheduler. */
final class EndpointListReceiver {
    private static final long NEVER = -1;

    private final UpstreamConnectionPool pool;
    private final Consumer<SchedulerEvent> events;
    private final EndpointIncarnations incarnations = new EndpointIncarnations();
    /** Time at which the list was last known to be current. */
    private long listCurrentAt = NEVER;

    private long version;
    /** Whether the next update has to be a complete list, which is then accepted regardless of its version. */
    private boolean completeListRequired;

    EndpointListReceiver(UpstreamConnectionPool pool, Consumer<SchedulerEvent> events) {
        this.pool = pool;
        this.events = events;
    }

    /**
     * Starts with the cached list. It may be outdated, so the first update from discovery has to be a complete list.
     * Until then it is all that the gateway has, so it is reported to the scheduler as current at the start, which
     * limits the time for which it is trusted.
     */
    void restore(EndpointListUpdate cached, long now) {
        completeListRequired = true;
        EndpointListUpdate resolved = incarnations.withEstimatedStarts(cached, now, listCurrentAt);
        pool.applyUpdate(resolved);
        events.accept(new EndpointListConfirmed(now));
        events.accept(resolved.toEvent(EndpointUpdateKind.CACHED));
    }

    /**
     * Requires the next update to be a complete list, because the versions of different discovery instances are not
     * comparable.
     */
    void requireCompleteList() {
        completeListRequired = true;
    }

    /** Version of the last update that was accepted. */
    long version() {
        return version;
    }

    /** The request target of a watch: for the changes since the last accepted version, or for a complete list first. */
    String watchTarget() {
        String target = HttpHeaders.ENDPOINT_LIST_PATH + "?watch=1";
        return completeListRequired ? target : target + "&from=" + version;
    }

    /**
     * Applies an update.
     *
     * <p>An update with an older version than the last one is rejected, because it would restore endpoints that are
     * known to be removed. The next update then has to be a complete list, which is accepted regardless of its version,
     * so that a discovery service whose versions were reset is accepted at the second attempt.
     *
     * @throws ProtocolException if the version is older, or a complete list is required and the update is not one
     */
    void apply(EndpointListUpdate received, long now) throws ProtocolException {
        EndpointListUpdate update = incarnations.withEstimatedStarts(received, now, listCurrentAt);
        if (!completeListRequired && update.version() < version) {
            completeListRequired = true;
            throw new ProtocolException("version went back from " + version + " to " + update.version());
        }
        if (completeListRequired && !update.complete()) {
            throw new ProtocolException("expected a complete endpoint list, got changes");
        }
        completeListRequired = false;
        version = update.version();
        pool.applyUpdate(update);
        events.accept(update.toEvent(update.complete() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA));
    }

    /**
     * Records that the list was current at a time. Any data on a call that has delivered the list is evidence of that.
     */
    void confirm(long asOf) {
        listCurrentAt = asOf;
        events.accept(new EndpointListConfirmed(asOf));
    }
}
