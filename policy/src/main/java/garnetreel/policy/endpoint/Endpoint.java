package garnetreel.policy.endpoint;

import garnetreel.policy.concurrency.ConcurrencyLimiter;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.health.EndpointHealth;
import garnetreel.policy.health.Recovery;

/** One endpoint: its entry in the endpoint list, its lease, and what this gateway has learnt from its own attempts. */
public final class Endpoint {
    private final String name;
    private final ConcurrencyLimiter limiter = new ConcurrencyLimiter();
    private final EndpointHealth health = new EndpointHealth();
    private String zone = "";
    private int shard;
    private boolean up;
    /** Start time of the endpoint's process, listed or inferred; 0 if long ago. */
    private long startedAt;

    private long leaseRenewedAt = EndpointListValidity.neverRenewed();

    /** Creates an endpoint that is down until a list entry is applied. */
    public Endpoint(String name) {
        this.name = name;
    }

    /** Name of the endpoint in the endpoint list, which identifies it in events and actions. */
    public String name() {
        return name;
    }

    /** Failure domain of the endpoint. */
    public String zone() {
        return zone;
    }

    /** Shard that the endpoint serves. */
    public int shard() {
        return shard;
    }

    /** Whether the endpoint is listed as up. */
    public boolean isUp() {
        return up;
    }

    /** Start time of the endpoint's process; 0 if long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Limiter of the attempts in flight at the endpoint. */
    public ConcurrencyLimiter limiter() {
        return limiter;
    }

    /** Health of the endpoint as this gateway observes it. */
    public EndpointHealth health() {
        return health;
    }

    /** Send time of the request that last renewed the lease. */
    public long leaseRenewedAt() {
        return leaseRenewedAt;
    }

    void apply(EndpointEntry entry) {
        zone = entry.zone();
        shard = entry.shard();
        up = entry.state() == EndpointState.UP;
    }

    void markDown() {
        up = false;
    }

    /**
     * Applies a listed start time. Returns true if it is later than the known one: the endpoint has started or
     * restarted, and warms up.
     */
    public boolean applyListedStart(long listedStart) {
        if (listedStart <= startedAt) {
            return false;
        }
        startedAt = listedStart;
        limiter.resetWindow();
        health.restarted();
        return true;
    }

    /**
     * Records a response. The first one from an endpoint that was unreachable may indicate a restart; the endpoint then
     * warms up although the list does not mention the restart. Unlike a listed restart, a presumed one leaves the
     * admitted fraction as it is.
     */
    public Recovery responded(boolean quick, long now) {
        Recovery recovery = health.responded(quick, now);
        if (recovery == Recovery.RESTARTED) {
            startedAt = Math.max(startedAt, health.lastConnectFailureAt());
            limiter.resetWindow();
        }
        return recovery;
    }

    /** Renews the lease: the endpoint accepted a request sent at the given time. */
    public void renewLease(long sentAt) {
        leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
    }

    /** Revokes the lease: the endpoint rejected a request, so it may be draining. */
    public void revokeLease() {
        leaseRenewedAt = EndpointListValidity.neverRenewed();
    }

    /** Invariant: limiter and health are consistent. */
    public boolean isConsistent() {
        return limiter.isConsistent() && health.isConsistent();
    }
}
