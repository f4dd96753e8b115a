package garnetreel.core.server.rsync;

import garnetreel.codec.rsync.Checksums;
import garnetreel.core.GatewaySettings;
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.ending.DrainTimes;
import garnetreel.core.request.BlockBackend;
import garnetreel.core.server.ByteBudget;
import garnetreel.core.server.ProtocolServer;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Serves the rsync connections of a gateway; its modules are given by the settings. */
public final class RsyncServer extends ProtocolServer<RsyncSession> {
    /**
     * Marks the operation tags of rsync sessions, for traces; the NBD load generators of the test bed do not use this
     * bit.
     */
    private static final long TAG_BASE = 1L << 62;

    private static final long INCARNATION_MASK = (1L << 28) - 1;
    /** Interval between two checks for idle connections. */
    private static final long IDLE_CHECK_INTERVAL_US = 1_000_000;

    final BlockBackend backend;
    final FileCatalogueStore files;
    private final TreeMap<Long, List<Runnable>> scheduled = new TreeMap<>();
    private long lastTag;
    private long nonceCount;
    private long nextIdleCheck;
    /** When the transfers that are still in progress are ended; {@link Long#MAX_VALUE} for never. */
    private long transfersEndAt = Long.MAX_VALUE;

    /** A server without connections. */
    public RsyncServer(
            GatewaySettings settings,
            BlockBackend backend,
            ByteBudget byteBudget,
            ClosedConnections closedConnections,
            FileCatalogueStore files) {
        super(settings, byteBudget, closedConnections);
        this.backend = backend;
        this.files = files;
    }

    GatewaySettings settings() {
        return settings;
    }

    ByteBudget byteBudget() {
        return byteBudget;
    }

    long time() {
        return now();
    }

    long nextTag() {
        // The upper bits tell gateways and their restarts apart in traces: the incarnation, a start time in us, in
        // units of 1024 us and mixed with the gateway's number. With 28 bits they repeat after about three days.
        return TAG_BASE
                | ((settings.incarnation() >> 10) * 31 + settings.gatewayNumber() & INCARNATION_MASK) << 32
                | ++lastTag & 0xffffffffL;
    }

    GatewaySettings.Module module(String name) {
        return settings.files().modules().stream()
                .filter(m -> m.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Unpredictable bytes that are never repeated. */
    byte[] nonce() {
        MessageDigest md5 = Checksums.md5();
        md5.update(settings.files().challengeSecret());
        return md5.digest(ByteBuffer.allocate(24)
                .putLong(settings.incarnation())
                .putLong(++nonceCount)
                .putLong(now())
                .array());
    }

    /** Runs a task after a delay in microseconds. */
    void schedule(long micros, Runnable task) {
        scheduled.computeIfAbsent(now() + micros, time -> new ArrayList<>(1)).add(task);
    }

    /**
     * Begins the shutdown. Transfers in progress go on for a part of its time; those that have not ended by then are
     * told so.
     *
     * @param limitMicros time of the shutdown
     */
    public void shutDown(long limitMicros) {
        transfersEndAt = now() + DrainTimes.transferLimit(limitMicros);
        shutDown();
    }

    @Override
    protected RsyncSession open(long conn, boolean full, long handshakeDeadline) {
        return new RsyncSession(this, conn, full, handshakeDeadline);
    }

    @Override
    public long nextDeadline() {
        long next = connections() == 0 ? Long.MAX_VALUE : Math.max(now(), nextIdleCheck);
        next = Math.min(next, scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.firstKey());
        return Math.min(Math.min(next, transfersEndAt), super.nextDeadline());
    }

    @Override
    public void expire() {
        super.expire();
        while (!scheduled.isEmpty() && scheduled.firstKey() <= now()) {
            scheduled.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        if (now() >= transfersEndAt) {
            transfersEndAt = Long.MAX_VALUE;
            sessions().forEach(RsyncSession::endTransfer);
        }
        if (now() >= nextIdleCheck) {
            nextIdleCheck = now() + IDLE_CHECK_INTERVAL_US;
            sessions().forEach(RsyncSession::checkIdle);
        }
    }
}
