package garnetreel.core.platform;

import garnetreel.codec.http.HttpRequest;
import garnetreel.codec.http.HttpResponse;
import garnetreel.codec.http.HttpWriter;
import garnetreel.core.ProcessPauseDetector;
import garnetreel.core.SchedulerDriver;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.io.ConnectionDispatcher;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.policy.Scheduler;
import garnetreel.policy.action.CancelAttempt;
import garnetreel.policy.action.CheckHealth;
import garnetreel.policy.action.CloseIdleConnections;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.SchedulerEvent;
import java.util.ArrayList;
import java.util.List;

/**
 * The gateway on the HTTP platform: speaks HTTP/1.1 with clients, endpoints and the discovery service. The scheduler
 * decides what is sent, rejected or failed; this class executes its decisions.
 */
public final class PlatformGateway implements StateMachine, SchedulerDriver.ActionHandler {
    /** Name of the listening socket for client connections. */
    public static final String CLIENT_LISTENER = "http";
    /**
     * How long new connections are still accepted after the shutdown command, in microseconds: the platform may route
     * connections to this gateway for another 0.4 s.
     */
    private static final long ACCEPT_AFTER_SHUTDOWN_MICROS = 500_000;

    private static final long NEVER = Long.MAX_VALUE;

    /** Command: answer the clients' requests, then stop. */
    public record Shutdown() implements NetEvent.Command {}

    /**
     * Command: apply a new configuration. Only the discovery address takes effect without a restart. A warning is
     * logged if scheduler settings changed; all other changes are ignored.
     */
    public record Reconfigure(PlatformSettings settings) implements NetEvent.Command {}

    private final PlatformSettings settings;
    private final ResourceLimits limits;
    private final SchedulerDriver scheduler;
    private final ProcessPauseDetector pauseDetector = new ProcessPauseDetector();
    private final GatewayCounters counters = new GatewayCounters();
    private final HttpClientConnections clients;
    private final UpstreamConnectionPool upstreams;
    private final DiscoveryClient discovery;
    private final HttpRequestRegistry requests;
    private final ConnectionDispatcher connectionDispatcher;
    /** Events to pass to the scheduler at the end of this turn or in the next one. */
    private List<SchedulerEvent> schedulerEvents = new ArrayList<>();

    private long now;
    private long stopAcceptingAt = NEVER;
    private boolean started;
    private boolean shutdownRequested;
    /** Whether new requests are rejected while active ones are finished. */
    private boolean draining;

    private boolean stopped;

    /** Creates a gateway whose heap is no narrower limit than its settings. */
    public PlatformGateway(PlatformSettings settings, Scheduler scheduler) {
        this(settings, scheduler, Long.MAX_VALUE);
    }

    /**
     * Creates a gateway; it opens its listening socket in the first call of {@link #handle}.
     *
     * @param heapBytes size of the heap that it runs in
     */
    public PlatformGateway(PlatformSettings settings, Scheduler scheduler, long heapBytes) {
        this.settings = settings;
        this.scheduler = new SchedulerDriver(scheduler, this);
        this.limits = ResourceLimits.of(settings.limits(), heapBytes);
        ConnectionIdAllocator connectionIds = new ConnectionIdAllocator();
        clients = new HttpClientConnections(limits, counters, longestTimeLimit(settings), new ClientListener());
        upstreams = new UpstreamConnectionPool(settings, limits, connectionIds, counters, new UpstreamListener());
        discovery = new DiscoveryClient(settings, connectionIds, upstreams, event -> schedulerEvents.add(event));
        requests = new HttpRequestRegistry(
                settings, limits, upstreams, clients, counters, event -> schedulerEvents.add(event));
        connectionDispatcher = new ConnectionDispatcher(clients, upstreams, discovery);
    }

    private static long longestTimeLimit(PlatformSettings settings) {
        return settings.scheduling().classes().stream()
                .mapToLong(RequestClass::timeLimit)
                .max()
                .orElse(0);
    }

    private final class ClientListener implements HttpClientConnections.Listener {
        @Override
        public void requestReceived(long connectionId, HttpRequest request, long receivedAt) {
            PlatformGateway.this.requestReceived(connectionId, request, receivedAt);
        }

        @Override
        public void requestOverLimit(long connectionId) {
            requests.reject(connectionId, GatewayCounters.Event.REQUEST_REJECTED_OVER_LIMIT);
        }

        @Override
        public void clientDisconnected(long connectionId) {
            requests.clientDisconnected(connectionId);
        }
    }

    private final class UpstreamListener implements UpstreamConnectionPool.Listener {
        @Override
        public boolean isClientWaiting(UpstreamAttempt attempt) {
            return requests.isClientWaiting(attempt);
        }

        @Override
        public void attemptCompleted(UpstreamAttempt attempt, Outcome outcome, HttpResponse response) {
            requests.attemptCompleted(attempt, outcome, response);
        }

        @Override
        public void healthCheckCompleted(HealthCheckCompleted event) {
            schedulerEvents.add(event);
        }
    }

    // ---------------------------------------------------------------- event handling

    @Override
    public void handle(long time, List<NetEvent> events, List<NetAction> actions) {
        beginTurn(time, actions);
        if (!started) {
            start(actions);
        }
        for (NetEvent event : events) {
            handleEvent(event, actions);
        }
        upstreams.expire();
        discovery.expire();
        clients.expire();
        runScheduler(actions);
        requests.expire(); // after the scheduler, which answers overdue requests itself after a process pause
        continueShutdown(actions);
    }

    private void beginTurn(long time, List<NetAction> actions) {
        now = Math.max(now, time);
        long receivedAt = pauseDetector.beginTurn(now, clients.size() > 0, actions);
        clients.beginTurn(now, receivedAt, actions);
        upstreams.beginTurn(now, actions);
        discovery.beginTurn(now, receivedAt, actions);
        requests.beginTurn(now, actions);
    }

    private void start(List<NetAction> actions) {
        started = true;
        discovery.restore(settings.cachedEndpoints());
        actions.add(new NetAction.Listen(CLIENT_LISTENER, settings.listenAddress(), limits.maxAccepted()));
    }

    private void handleEvent(NetEvent event, List<NetAction> actions) {
        if (event instanceof NetEvent.Accepted accepted) {
            clients.accepted(accepted.connectionId());
        } else if (event instanceof NetEvent.ListenFailed failed) {
            // The gateway continues without a listener and does not try again.
            actions.add(new NetAction.Log(
                    Level.WARN, "can't listen on " + settings.listenAddress() + ": " + failed.reason()));
        } else if (event instanceof NetEvent.CommandReceived received) {
            handleCommand(received.command(), actions);
        } else {
            connectionDispatcher.dispatch(event);
        }
    }

    private void handleCommand(NetEvent.Command command, List<NetAction> actions) {
        if (command instanceof Reconfigure reconfigure) {
            reconfigure(reconfigure.settings(), actions);
        } else if (command instanceof Shutdown && !shutdownRequested) {
            shutdownRequested = true;
            stopAcceptingAt = now + ACCEPT_AFTER_SHUTDOWN_MICROS;
            actions.add(new NetAction.Log(
                    Level.INFO, "shutdown requested, still accepting connections: " + openResources()));
        }
    }

    private void reconfigure(PlatformSettings newSettings, List<NetAction> actions) {
        if (!newSettings.scheduling().equals(settings.scheduling())) {
            actions.add(new NetAction.Log(
                    Level.WARN, "the new configuration changes scheduler settings; they take effect after a restart"));
        }
        discovery.updateAddress(newSettings.discoveryAddress());
        logCounters(actions);
    }

    private void requestReceived(long connectionId, HttpRequest request, long receivedAt) {
        if (request.path().equals(HttpHeaders.READINESS_PATH)) {
            boolean ready = upstreams.endpointCount() > 0 && !shutdownRequested;
            int status = ready ? HttpResponses.OK : HttpResponses.SERVICE_UNAVAILABLE;
            clients.respond(connectionId, HttpWriter.response(status), HttpResponses.NO_BODY);
        } else if (draining) {
            // An attempt started now could still be in flight when the process is killed; a rejected client can use
            // another gateway.
            requests.reject(connectionId, GatewayCounters.Event.REQUEST_REJECTED_AT_SHUTDOWN);
        } else {
            requests.requestReceived(connectionId, request, receivedAt);
        }
    }

    private void runScheduler(List<NetAction> actions) {
        scheduler.expireTimers(now, schedulerEvents::add);
        if (!schedulerEvents.isEmpty()) {
            List<SchedulerEvent> events = schedulerEvents;
            schedulerEvents = new ArrayList<>(); // events caused by the decisions are for the next turn
            scheduler.decide(now, events, actions);
        }
    }

    /**
     * Advances the shutdown: connections are still accepted for a while, then clients' requests are answered, then the
     * gateway stops.
     */
    private void continueShutdown(List<NetAction> actions) {
        if (now >= stopAcceptingAt) {
            stopAcceptingAt = NEVER;
            draining = true;
            actions.add(new NetAction.StopListening(CLIENT_LISTENER));
            actions.add(new NetAction.Log(Level.INFO, "draining, no new requests accepted: " + openResources()));
            clients.startDraining();
        }
        if (draining && !stopped && clients.isEmpty()) {
            stopped = true;
            logCounters(actions);
            actions.add(new NetAction.Stopped());
        }
    }

    private void logCounters(List<NetAction> actions) {
        actions.add(new NetAction.Log(Level.INFO, counters.totalsLine()));
        actions.add(new NetAction.Log(Level.INFO, clients.closedConnections().logLine()));
        actions.add(new NetAction.Log(counters.violations() == 0 ? Level.INFO : Level.WARN, counters.invariantsLine()));
    }

    @Override
    public long nextDeadline() {
        if (!started || !schedulerEvents.isEmpty()) {
            return now;
        }
        long next = Math.min(stopAcceptingAt, clients.nextDeadline());
        next = Math.min(next, upstreams.nextDeadline());
        next = Math.min(next, discovery.nextDeadline());
        next = Math.min(next, requests.nextDeadline());
        next = Math.min(next, pauseDetector.nextDeadline(clients.size() > 0));
        return Math.min(next, scheduler.nextDeadline());
    }

    // ---------------------------------------------------------------- scheduler decisions

    @Override
    public void send(SendAttempt action) {
        requests.send(action);
    }

    @Override
    public void reject(RejectRequest action) {
        requests.reject(action);
    }

    @Override
    public void fail(FailRequest action) {
        requests.fail(action);
    }

    @Override
    public void cancel(CancelAttempt action) {
        upstreams.cancel(action.id(), action.attempt());
    }

    @Override
    public void checkHealth(CheckHealth action) {
        upstreams.checkHealth(action.endpoint());
    }

    @Override
    public void closeIdle(CloseIdleConnections action) {
        upstreams.closeIdle(action.endpoint());
    }

    @Override
    public void subscribe(SubscribeEndpoints action) {
        discovery.setSubscribed(action.active());
    }

    @Override
    public void pollEndpoints() {
        discovery.poll();
    }

    // ---------------------------------------------------------------- monitoring

    GatewayCounters counters() {
        return counters;
    }

    /** The numbers of connections, requests and attempts that are open now. */
    OpenResources openResources() {
        return new OpenResources(clients.size(), requests.size(), upstreams.connections(), upstreams.pendingAttempts());
    }

    /**
     * The numbers of open resources of a gateway. Its string form is part of log lines.
     *
     * @param clients client connections
     * @param requests active requests
     * @param upstreamConnections connections to endpoints, including idle ones
     * @param attempts attempts that have not completed, including those without a connection
     */
    record OpenResources(int clients, int requests, int upstreamConnections, int attempts) {}
}
