package garnetreel.core.connection;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Busy;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.Subscribe;
import garnetreel.core.ExtentLayout;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.io.ConnectionHandler;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.request.ExtentRouter;
import garnetreel.map.ExtentMap;
import garnetreel.map.MapCache;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The gateway's extent map and its connection to the map service. The cached map is used regardless of its age, since
 * nodes reject requests routed by an outdated version. Updates arrive by subscription and are requested after a stale
 * answer.
 *
 * <p>A call is a Subscribe message, preceded by connecting if there is no connection; a gateway that does not subscribe
 * closes the connection after the answer. To limit the load on the service, there is one call at a time. After a
 * failure, the mean delay before the next one doubles from {@link #INITIAL_BACKOFF_MICROS} to
 * {@link #MAX_BACKOFF_MICROS}; jitter of half the mean to either side spreads the calls of gateways that reconnect at
 * the same time.
 */
public final class MapServiceClient implements ExtentRouter, ConnectionHandler {
    /** Name under which the extent map is persisted. */
    public static final String CACHE_NAME = "map";

    private static final long INITIAL_BACKOFF_MICROS = 100_000;
    /** Bounds the mean time until a gateway reconnects to a service that is available again. */
    private static final long MAX_BACKOFF_MICROS = 5_000_000;
    /** Minimum time between two writes of the map to disk, so that a burst of migrations causes no burst of writes. */
    private static final long PERSIST_INTERVAL_MICROS = 1_000_000;

    private final GatewaySettings settings;
    private final ConnectionIdAllocator connectionIds;
    private final SplittableRandom random;
    private final MapCache cache = new MapCache();
    private Runnable changeListener = () -> {};
    private List<NetAction> actions = new ArrayList<>();
    private ByteQueue receivedBytes = new ByteQueue();
    private long now;
    /** The connection to the service; 0 while there is none. */
    private long connectionId;

    private boolean open;
    private boolean callInFlight;
    private long lastReceivedAt;
    private long lastCallAt;
    private long nextCallAt = Long.MAX_VALUE;
    private long backoff = INITIAL_BACKOFF_MICROS;
    private long nextPersistAt = Long.MAX_VALUE;
    private long lastPersistAt;
    private boolean needsFullMap;

    /** A client without a map, which connects after {@link #start}. */
    public MapServiceClient(GatewaySettings settings, ConnectionIdAllocator connectionIds) {
        this.settings = settings;
        this.connectionIds = connectionIds;
        this.random = new SplittableRandom(settings.incarnation() * 31 + settings.gatewayNumber());
    }

    /** Sets what is run after each change of the map; to be called once, before the first turn. */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Begins a turn at this time, whose actions are added to {@code turnActions}. */
    public void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
    }

    /** Loads the map that an earlier incarnation persisted, regardless of its age; an unreadable one is ignored. */
    public void start(byte[] persisted) {
        if (persisted != null) {
            loadPersisted(persisted);
        }
        if (!settings.mapServiceAddress().isEmpty()) {
            nextCallAt = now;
        }
    }

    private void loadPersisted(byte[] persisted) {
        ByteQueue queue = new ByteQueue();
        queue.add(ByteBuffer.wrap(persisted));
        try {
            if (MapCodec.next(queue) instanceof Snapshot whole) {
                cache.apply(whole);
            }
        } catch (ProtocolException e) {
            warn("cached extent map is unreadable (" + e.getMessage() + "); starting without a map");
        }
    }

    @Override
    public ExtentLayout.ExtentLocation locate(Volume volume, long offset) {
        ExtentMap map = cache.volume(volume.id());
        if (map == null) {
            return volume.layout().locate(offset);
        }
        long extent = offset / map.extentBytes();
        return new ExtentLayout.ExtentLocation(
                map.shard(extent), map.version(extent), (extent + 1) * map.extentBytes());
    }

    @Override
    public Set<Integer> shards(Volume volume) {
        Set<Integer> shards = new TreeSet<>(volume.layout().shards());
        ExtentMap map = cache.volume(volume.id());
        if (map != null) {
            shards.addAll(map.shards());
        }
        return shards;
    }

    @Override
    public boolean isMapKnown() {
        return settings.mapServiceAddress().isEmpty() || cache.version() > 0;
    }

    /**
     * Schedules a call to the map service if there is no connection. With one, an update follows anyway: by
     * subscription, or as the answer to the call in flight or due. A gateway that does not subscribe calls as soon as
     * the interval between calls allows, since its next requests would be stale too; a gateway that subscribes calls
     * after a jittered delay.
     */
    @Override
    public void reportStale() {
        if (connectionId != 0 || settings.mapServiceAddress().isEmpty()) {
            return;
        }
        long callAt = settings.connections().subscribeToMap()
                ? now + jitter(INITIAL_BACKOFF_MICROS)
                : Math.max(now, lastCallAt + jitter(INITIAL_BACKOFF_MICROS));
        nextCallAt = Math.min(nextCallAt, callAt);
    }

    /** Version of the cached map. */
    public long version() {
        return cache.version();
    }

    private long jitter(long mean) {
        return mean / 2 + random.nextLong(mean);
    }

    // ---------------------------------------------------------------- calls

    private void connectOrSubscribe() {
        nextCallAt = Long.MAX_VALUE;
        if (connectionId == 0) {
            connectionId = connectionIds.next();
            open = false;
            receivedBytes = new ByteQueue();
            lastReceivedAt = now;
            actions.add(new NetAction.Connect(connectionId, settings.mapServiceAddress()));
        } else if (open) {
            subscribe();
        }
    }

    private void subscribe() {
        callInFlight = true;
        lastCallAt = now;
        long knownVersion = needsFullMap ? 0 : cache.version();
        Subscribe call = new Subscribe(settings.gatewayNumber(), cache.epoch(), knownVersion);
        actions.add(new NetAction.Write(connectionId, MapCodec.frame(call)));
        needsFullMap = false;
    }

    private void callAfterBackoff() {
        nextCallAt = now + jitter(backoff);
        backoff = Math.min(MAX_BACKOFF_MICROS, 2 * backoff);
    }

    // ---------------------------------------------------------------- network events

    @Override
    public boolean owns(long id) {
        return connectionId != 0 && id == connectionId;
    }

    @Override
    public void connected(long id) {
        open = true;
        lastReceivedAt = now;
        subscribe();
    }

    @Override
    public void written(long id, int bytes) {
        // Needs no flow control: calls are small and sent one at a time.
    }

    @Override
    public void closed(NetEvent.Closed event) {
        connectionEnded();
    }

    private void connectionEnded() {
        boolean callAgain = callInFlight || !open || settings.connections().subscribeToMap();
        connectionId = 0;
        open = false;
        callInFlight = false;
        if (callAgain) {
            callAfterBackoff();
        }
    }

    private void close(boolean abort) {
        actions.add(new NetAction.Close(connectionId, abort));
        connectionEnded();
    }

    @Override
    public void received(long id, ByteBuffer data) {
        lastReceivedAt = now;
        receivedBytes.add(data);
        boolean mapChanged = false;
        try {
            MapMessage message;
            while ((message = MapCodec.next(receivedBytes)) != null) {
                mapChanged |= handle(message);
            }
        } catch (ProtocolException | IllegalArgumentException e) {
            warn("map service: " + e.getMessage() + "; closing connection");
            close(true);
        }
        if (connectionUnneeded()) {
            close(false);
        }
        if (mapChanged) {
            nextPersistAt = Math.min(nextPersistAt, Math.max(now, lastPersistAt + PERSIST_INTERVAL_MICROS));
            changeListener.run();
        }
    }

    /** Whether the connection is no longer needed: not subscribed, and no call is in flight or due. */
    private boolean connectionUnneeded() {
        return connectionId != 0
                && !callInFlight
                && nextCallAt == Long.MAX_VALUE
                && !settings.connections().subscribeToMap();
    }

    /** Handles a message; returns true if the map has changed. */
    private boolean handle(MapMessage message) throws ProtocolException {
        if (message instanceof Snapshot whole) {
            return updated(cache.apply(whole));
        }
        if (message instanceof Changes changes) {
            return updated(cache.apply(changes));
        }
        if (message instanceof Busy busy) {
            callInFlight = false;
            nextCallAt = now + jitter(Math.max(INITIAL_BACKOFF_MICROS, busy.retryAfterMicros()));
            return false;
        }
        throw new ProtocolException("unexpected message " + message.getClass().getSimpleName());
    }

    private boolean updated(MapCache.Outcome outcome) {
        callInFlight = false;
        switch (outcome) {
            case APPLIED, ALREADY_KNOWN -> backoff = INITIAL_BACKOFF_MICROS;
            case GAP -> {
                needsFullMap = true;
                nextCallAt = Math.min(nextCallAt, now + jitter(INITIAL_BACKOFF_MICROS));
            }
            case ROLLED_BACK -> {
                warn("map service: offered a map older than version " + cache.version() + " of epoch " + cache.epoch()
                        + "; update ignored");
                callAfterBackoff();
            }
        }
        return outcome == MapCache.Outcome.APPLIED;
    }

    private void warn(String text) {
        actions.add(new NetAction.Log(NetAction.Level.WARN, text));
    }

    // ---------------------------------------------------------------- deadlines

    /** When {@link #expire()} must be called next; {@link Long#MAX_VALUE} for never. */
    public long nextDeadline() {
        return Math.min(Math.min(nextCallAt, nextPersistAt), silentAt());
    }

    /** When the connection counts as broken unless data arrives before. */
    private long silentAt() {
        return connectionId == 0
                ? Long.MAX_VALUE
                : lastReceivedAt + settings.connections().silenceTimeout();
    }

    /** Closes a connection on which the service is silent, and makes a call or persists the map if due. */
    public void expire() {
        if (now >= silentAt()) {
            close(true);
        }
        if (now >= nextCallAt) {
            if (callInFlight) {
                nextCallAt = now + INITIAL_BACKOFF_MICROS;
            } else {
                connectOrSubscribe();
            }
        }
        if (now >= nextPersistAt) {
            nextPersistAt = Long.MAX_VALUE;
            lastPersistAt = now;
            actions.add(new NetAction.Persist(CACHE_NAME, MapCodec.frame(cache.toSnapshot())));
        }
    }
}
