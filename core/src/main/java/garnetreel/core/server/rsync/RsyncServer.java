package garnetreel.core.server.rsync;

import garnetreel.codec.rsync.Checksums;
import garnetreel.core.GatewaySettings;
import garnetreel.core.request.BlockBackend;
import garnetreel.core.server.ByteBudget;
import garnetreel.core.server.ProtocolServer;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** All rsync connections of a head, and the modules they may open. */
public final class RsyncServer extends ProtocolServer<RsyncSession> {
    /** Tags of blocks of files, which no NBD client gives. */
    private static final long TAGS = 1L << 62;

    private static final long LIVES = (1L << 28) - 1;
    /** Between two looks for connections on which nothing happens. */
    private static final long LOOK_EVERY = 1_000_000;

    final BlockBackend backend;
    final FileCatalogueStore files;
    private final TreeMap<Long, List<Runnable>> later = new TreeMap<>();
    private long tags;
    private long challenges;
    private long lookAt;

    public RsyncServer(GatewaySettings settings, BlockBackend backend, ByteBudget room, FileCatalogueStore files) {
        super(settings, room);
        this.backend = backend;
        this.files = files;
    }

    GatewaySettings settings() {
        return settings;
    }

    ByteBudget room() {
        return room;
    }

    long time() {
        return now();
    }

    long nextTag() {
        // No other life of any head gives the same: its start in milliseconds leads.
        return TAGS
                | ((settings.incarnation() >> 10) * 31 + settings.gatewayNumber() & LIVES) << 32
                | ++tags & 0xffffffffL;
    }

    GatewaySettings.Module module(String name) {
        return settings.files().modules().stream()
                .filter(m -> m.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Bytes that nobody can foretell and that never come again. */
    byte[] nonce() {
        MessageDigest md5 = Checksums.md5();
        md5.update(settings.files().challengeSecret());
        return md5.digest(ByteBuffer.allocate(24)
                .putLong(settings.incarnation())
                .putLong(++challenges)
                .putLong(now())
                .array());
    }

    void later(long micros, Runnable what) {
        later.computeIfAbsent(now() + micros, any -> new ArrayList<>(1)).add(what);
    }

    @Override
    protected RsyncSession open(long conn, boolean full, long handshakeDeadline) {
        return new RsyncSession(this, conn, full, handshakeDeadline);
    }

    @Override
    public long nextDeadline() {
        long next = connections() == 0 ? Long.MAX_VALUE : Math.max(now(), lookAt);
        return Math.min(Math.min(next, super.nextDeadline()), later.isEmpty() ? Long.MAX_VALUE : later.firstKey());
    }

    @Override
    public void expire() {
        super.expire();
        while (!later.isEmpty() && later.firstKey() <= now()) {
            later.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        if (now() >= lookAt) {
            lookAt = now() + LOOK_EVERY;
            sessions().forEach(RsyncSession::look);
        }
    }
}
