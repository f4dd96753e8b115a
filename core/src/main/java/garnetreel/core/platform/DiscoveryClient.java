package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import garnetreel.codec.http.HttpWriter;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.io.ConnectionHandler;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.io.NetEvent;
import garnetreel.policy.event.DiscoveryAddressChanged;
import garnetreel.policy.event.DiscoveryObserved;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Client of the discovery service, from which the gateway gets its list of endpoints. A watch is the HTTP call that
 * carries a subscription: its response is the stream of updates. A poll is a call that requests the complete list once.
 * The scheduler decides when to watch, to poll and to retry; this class executes these decisions, and starts calls
 * without the scheduler only when the address of discovery changes. The fair-queue scheduler never polls.
 *
 * <p>The platform considers a gateway notified of a change 6 s after discovery had the change and could be reached.
 * Therefore the first response has to arrive within 6 s after a watch stops receiving data, or after discovery becomes
 * available again, including the scheduler's backoff (docs/platform.md lists the parts of the 6 s). Each gateway adds
 * random jitter, so that gateways whose watches fail at the same time do not all call at the same time.
 */
final class DiscoveryClient implements ConnectionHandler {
    /**
     * Time without data after which a watch has failed, in microseconds; jitter is added to it. Discovery sends data on
     * a watch every 2 s.
     */
    private static final long SILENCE_TIMEOUT_MICROS = 2_700_000;

    private static final long SILENCE_JITTER_MICROS = 400_000;

    /**
     * A call that is rejected within this time after connecting, in microseconds, was not queued: discovery is running,
     * but too many calls are waiting. A rejection after a longer time is not reported to the scheduler as a sign that
     * discovery is running.
     */
    private static final long IMMEDIATE_REJECTION_MICROS = 500_000;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final byte[] EMPTY_BODY = {};

    private final ConnectionIdAllocator connectionIds;
    private final Consumer<SchedulerEvent> events;
    private final UpstreamConnectionPool pool;
    private final EndpointListReceiver listReceiver;
    private final SplittableRandom random;
    private String address;
    private boolean watchRequested;
    private DiscoveryCall watch;
    private DiscoveryCall poll;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long dataReceivedAt;

    DiscoveryClient(
            PlatformSettings settings,
            ConnectionIdAllocator connectionIds,
            UpstreamConnectionPool pool,
            Consumer<SchedulerEvent> events) {
        this.connectionIds = connectionIds;
        this.events = events;
        this.pool = pool;
        this.listReceiver = new EndpointListReceiver(pool, events);
        this.address = settings.discoveryAddress();
        this.random = new SplittableRandom(settings.seed());
    }

    /**
     * Starts a turn, that is one call of {@link PlatformGateway#handle}.
     *
     * @param earliestReceivedAt earliest time at which the input of this turn may have been received
     * @param turnActions the list to which the actions of this turn are added
     */
    void beginTurn(long time, long earliestReceivedAt, List<NetAction> turnActions) {
        now = time;
        dataReceivedAt = earliestReceivedAt;
        actions = turnActions;
    }

    /** Starts with the endpoint list cached before this gateway's start. */
    void restore(EndpointListUpdate cached) {
        listReceiver.restore(cached, now);
    }

    /** Starts a watch if {@code subscribe} is true and none is in flight; ends the watch if it is false. */
    void setSubscribed(boolean subscribe) {
        watchRequested = subscribe;
        if (!subscribe) {
            abort(watch);
            watch = null;
        } else if (watch == null) {
            watch = startCall(true);
        }
    }

    /** Requests the complete list once, unless a poll is in flight. */
    void poll() {
        if (poll == null) {
            poll = startCall(false);
        }
    }

    /**
     * Applies the address of discovery from a new configuration. The scheduler is notified even if the address is the
     * same, because after a reconfiguration the platform considers the gateway notified of a change sooner.
     */
    void updateAddress(String newAddress) {
        events.accept(new DiscoveryAddressChanged());
        if (newAddress.equals(address)) {
            return;
        }
        actions.add(new NetAction.Log(Level.INFO, "discovery moves from " + address + " to " + newAddress));
        address = newAddress;
        listReceiver.requireCompleteList();
        // Calls to the old address are aborted, since it could respond later than the new one. The new calls start
        // without a backoff, because the backoff applied to the old address.
        abort(watch);
        watch = null;
        setSubscribed(watchRequested);
        if (poll != null) {
            abort(poll);
            poll = startCall(false);
        }
    }

    private DiscoveryCall startCall(boolean isWatch) {
        long silenceTimeout = SILENCE_TIMEOUT_MICROS + random.nextLong(SILENCE_JITTER_MICROS);
        DiscoveryCall call = new DiscoveryCall(connectionIds.next(), isWatch, silenceTimeout, now);
        actions.add(new NetAction.Connect(call.connectionId, address));
        return call;
    }

    @Override
    public boolean owns(long connection) {
        return usesConnection(watch, connection) || usesConnection(poll, connection);
    }

    private static boolean usesConnection(DiscoveryCall call, long connection) {
        return call != null && call.connectionId == connection;
    }

    private DiscoveryCall callOn(long connection) {
        return usesConnection(watch, connection) ? watch : poll;
    }

    @Override
    public void connected(long connection) {
        DiscoveryCall call = callOn(connection);
        call.markConnected(now);
        String target = call.watch ? listReceiver.watchTarget() : HttpHeaders.ENDPOINT_LIST_PATH;
        ByteBuffer request = HttpWriter.request("GET", target, HttpHeaders.HOST).body(EMPTY_BODY, false);
        actions.add(new NetAction.Write(connection, request));
    }

    /**
     * Handles the end of a connection. An orderly end completes a response without a stated length; after a reset such
     * a response may be truncated.
     */
    @Override
    public void closed(NetEvent.Closed event) {
        DiscoveryCall call = callOn(event.connectionId());
        HttpResponse response = event.endOfStream() ? call.responseCompletedByClose() : null;
        if (response == null) {
            closedWithoutResponse(call);
            return;
        }
        try {
            handleResponse(call, response);
        } catch (ProtocolException | JsonException e) {
            handleFailure(call, e.getMessage());
        }
    }

    private void closedWithoutResponse(DiscoveryCall call) {
        if (call.isUpdateReceived()) {
            events.accept(new DiscoveryObserved(false));
            handleFailure(call, "connection closed after the endpoint list was received");
        } else {
            handleFailure(call, "connection closed before a complete response was received");
        }
    }

    @Override
    public void received(long connection, ByteBuffer data) {
        DiscoveryCall call = callOn(connection);
        try {
            HttpResponse response = call.read(data, now);
            if (response != null) {
                handleResponse(call, response);
            } else if (call.isStreaming()) {
                applyUpdates(call, call.takeObjects());
                confirmListIsCurrent(call);
            }
        } catch (ProtocolException | JsonException e) {
            abort(call);
            handleFailure(call, e.getMessage());
        }
    }

    /** Handles the complete response of a call. For a watch, it is the end of the subscription. */
    private void handleResponse(DiscoveryCall call, HttpResponse response) throws JsonException, ProtocolException {
        boolean ok = response.status() == STATUS_OK;
        if (ok) {
            applyUpdates(call, call.objectsOf(response));
            confirmListIsCurrent(call);
        }
        abort(call);
        if (response.status() == STATUS_UNAVAILABLE && now - call.connectedAt() < IMMEDIATE_REJECTION_MICROS) {
            events.accept(new DiscoveryObserved(true));
        } else if (call.watch && ok) {
            events.accept(new DiscoveryObserved(false));
        }
        if (!ok) {
            handleFailure(call, "request failed with HTTP status " + response.status());
        } else if (call.watch) {
            handleFailure(call, "watch ended by discovery");
        } else {
            poll = null;
        }
    }

    private void applyUpdates(DiscoveryCall call, List<byte[]> objects) throws JsonException, ProtocolException {
        for (byte[] object : objects) {
            listReceiver.apply(EndpointListUpdate.read(Json.parse(object, 0, object.length, "list")), now);
            if (!call.isUpdateReceived()) {
                call.markUpdateReceived();
                String text = "discovery: endpoint list has " + pool.endpointCount() + " endpoints, version "
                        + listReceiver.version();
                actions.add(new NetAction.Log(Level.INFO, text));
            }
        }
    }

    /** Records that the list is current, which any data shows that arrives on a call that has delivered the list. */
    private void confirmListIsCurrent(DiscoveryCall call) {
        if (call.isUpdateReceived()) {
            listReceiver.confirm(dataReceivedAt);
        }
    }

    private void abort(DiscoveryCall call) {
        if (call != null) {
            actions.add(new NetAction.Close(call.connectionId, true));
        }
    }

    private void handleFailure(DiscoveryCall call, String reason) {
        actions.add(new NetAction.Log(Level.INFO, "discovery: " + reason));
        if (call == watch) {
            watch = null;
        } else {
            poll = null;
        }
        events.accept(new EndpointUpdate(EndpointUpdateKind.UNAVAILABLE, List.of()));
    }

    /** The time at which {@link #expire} next has to be called. */
    long nextDeadline() {
        return Math.min(deadlineOf(watch), deadlineOf(poll));
    }

    private static long deadlineOf(DiscoveryCall call) {
        return call == null ? Long.MAX_VALUE : call.deadline();
    }

    void expire() {
        expire(watch);
        expire(poll);
    }

    private void expire(DiscoveryCall call) {
        if (deadlineOf(call) > now) {
            return;
        }
        abort(call);
        if (call.isConnected() && !call.isUpdateReceived()) {
            events.accept(new DiscoveryObserved(true));
        }
        handleFailure(call, "call timed out");
    }
}
