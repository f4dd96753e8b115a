package garnetreel.core;

import garnetreel.codec.node.NodeMessage;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.connection.MapServiceClient;
import garnetreel.core.connection.NodeAttempt;
import garnetreel.core.connection.NodeConnectionPool;
import garnetreel.core.connection.NodeListClient;
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.ending.DrainTimes;
import garnetreel.core.io.ConnectionDispatcher;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.core.request.RequestRegistry;
import garnetreel.core.server.ByteBudget;
import garnetreel.core.server.NbdServer;
import garnetreel.core.server.ProtocolServer;
import garnetreel.core.server.rsync.FileCatalogueStore;
import garnetreel.core.server.rsync.RsyncServer;
import garnetreel.policy.Scheduler;
import garnetreel.policy.action.CancelAttempt;
import garnetreel.policy.action.CheckHealth;
import garnetreel.policy.action.CloseIdleConnections;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import java.util.List;

/**
 * A gateway instance as a state machine without I/O. It connects the protocol servers, the request registry, the
 * clients of nodes, node list and map service, and the scheduler. All events since the last turn are passed to the
 * scheduler in one turn.
 */
public final class Gateway implements StateMachine, NodeConnectionPool.Listener, SchedulerDriver.ActionHandler {
    /** Name of the listener for NBD clients. */
    public static final String NBD = "nbd";
    /** Name of the listener for rsync clients. */
    public static final String RSYNC = "rsync";

    /**
     * Commands the gateway to accept no new work, finish what it has accepted, and then emit {@link NetAction.Stopped}.
     */
    public record Shutdown() implements NetEvent.Command {}

    private final GatewaySettings settings;
    private final StoredState stored;
    private final SchedulerDriver scheduler;
    private final ProcessPauseDetector pauseDetector = new ProcessPauseDetector();
    private final NodeConnectionPool nodes;
    private final NodeListClient nodeList;
    private final MapServiceClient mapService;
    private final RequestRegistry requests;
    private final ByteBudget byteBudget;
    private final ClosedConnections closedConnections = new ClosedConnections();
    private final NbdServer nbd;
    private final FileCatalogueStore fileCatalogue;
    private final RsyncServer rsync;
    private final ConnectionDispatcher connectionEvents;

    private volatile Statistics statistics = new Statistics(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    private boolean started;
    private boolean shuttingDown;
    /** Until when connections that were made before the shutdown may still be accepted. */
    private long acceptsUntil = Long.MAX_VALUE;
    /** When the shutdown ends, whatever is still in progress. */
    private long shutdownDeadline = Long.MAX_VALUE;

    private boolean stopped;
    private long now;

    /**
     * A gateway that starts from what an earlier incarnation stored.
     *
     * @param scheduler a new scheduler
     */
    public Gateway(GatewaySettings settings, Scheduler scheduler, StoredState stored) {
        this.settings = settings;
        this.stored = stored;
        this.scheduler = new SchedulerDriver(scheduler, this);
        ConnectionIdAllocator connectionIds = new ConnectionIdAllocator();
        nodes = new NodeConnectionPool(settings, connectionIds);
        nodes.listener(this);
        mapService = new MapServiceClient(settings, connectionIds);
        requests = new RequestRegistry(settings, nodes, mapService, stored.unflushedWrites());
        mapService.onChange(requests::mapChanged);
        nodeList = new NodeListClient(settings, connectionIds, requests.events()::add);
        byteBudget = new ByteBudget(settings.bounds().gatewayBytes());
        nbd = new NbdServer(settings, requests, byteBudget, closedConnections);
        fileCatalogue = new FileCatalogueStore(settings, requests.writeSettlement(), stored.catalogue());
        rsync = new RsyncServer(settings, requests, byteBudget, closedConnections, fileCatalogue);
        connectionEvents = new ConnectionDispatcher(nbd, rsync, nodes, nodeList, mapService);
    }

    @Override
    public void handle(long time, List<NetEvent> events, List<NetAction> actions) {
        now = Math.max(now, time);
        beginTurn(actions);
        if (!started) {
            started = true;
            start(actions);
        }
        for (NetEvent event : events) {
            handle(event, actions);
        }
        expire();
        runScheduler(actions);
        byteBudget.notifyWaiting();
        stopIfIdle(actions);
        statistics = currentStatistics();
    }

    private void beginTurn(List<NetAction> actions) {
        long earliestReceivedAt = pauseDetector.beginTurn(now, hasClients(), actions);
        nodes.beginTurn(now, actions);
        nodeList.beginTurn(now, actions);
        mapService.beginTurn(now, actions);
        requests.beginTurn(now, earliestReceivedAt, actions);
        nbd.beginTurn(now, actions);
        fileCatalogue.beginTurn(now, actions);
        rsync.beginTurn(now, actions);
    }

    private void start(List<NetAction> actions) {
        nodeList.start(stored.nodeList());
        mapService.start(stored.map());
        actions.add(new NetAction.Listen(NBD, settings.nbdAddress()));
        if (servesFiles()) {
            actions.add(new NetAction.Listen(RSYNC, settings.files().rsyncAddress()));
        }
    }

    private boolean servesFiles() {
        return !settings.files().rsyncAddress().isEmpty();
    }

    // ---------------------------------------------------------------- network events

    private void handle(NetEvent event, List<NetAction> actions) {
        if (event instanceof NetEvent.Accepted accepted) {
            serverOf(accepted.listener()).accepted(accepted.connectionId(), accepted.peer());
        } else if (event instanceof NetEvent.ListenFailed failed) {
            actions.add(new NetAction.Log(Level.WARN, describe(failed)));
        } else if (event instanceof NetEvent.Appended appended) {
            fileCatalogue.appended(appended.sequence());
        } else if (event instanceof NetEvent.CommandReceived received && received.command() instanceof Shutdown) {
            shutDown(actions);
        } else {
            connectionEvents.dispatch(event);
        }
    }

    private ProtocolServer<?> serverOf(String listener) {
        return listener.equals(RSYNC) ? rsync : nbd;
    }

    private String describe(NetEvent.ListenFailed failed) {
        String address = failed.listener().equals(RSYNC) ? settings.files().rsyncAddress() : settings.nbdAddress();
        return "can't listen for " + failed.listener() + " clients on " + address + ": " + failed.reason();
    }

    private void shutDown(List<NetAction> actions) {
        if (shuttingDown) {
            return;
        }
        shuttingDown = true;
        acceptsUntil = now + DrainTimes.SILENCE_MICROS;
        // After the last deadline of a request, and before the process gives up.
        shutdownDeadline = now + settings.longestTimeLimit() - settings.replyMargin() / 2;
        actions.add(new NetAction.StopListening(NBD));
        if (servesFiles()) {
            actions.add(new NetAction.StopListening(RSYNC));
        }
        nbd.shutDown();
        rsync.shutDown(shutdownDeadline - now);
    }

    // ---------------------------------------------------------------- deadlines

    /** Runs before the scheduler, so that the events of expired deadlines are part of the same scheduler turn. */
    private void expire() {
        nodes.expire();
        nodeList.expire();
        mapService.expire();
        nbd.expire();
        requests.expire();
        rsync.expire();
        fileCatalogue.expire();
    }

    private void runScheduler(List<NetAction> actions) {
        scheduler.expireTimers(now, requests.events()::add);
        if (!requests.events().isEmpty()) {
            scheduler.decide(now, requests.events().takeAll(), actions);
        }
    }

    private void stopIfIdle(List<NetAction> actions) {
        if (!shuttingDown || stopped) {
            return;
        }
        if (now >= shutdownDeadline) {
            nbd.finishShutdown();
            rsync.finishShutdown();
        }
        boolean acceptsNoMore = now >= Math.min(acceptsUntil, shutdownDeadline);
        if (acceptsNoMore && !hasClients() && requests.operations() == 0) {
            stopped = true;
            actions.add(new NetAction.Log(
                    closedConnections.owedAnswers() == 0 ? Level.INFO : Level.WARN, closedConnections.logLine()));
            actions.add(new NetAction.Stopped());
        }
    }

    private long nextShutdownStep() {
        if (!shuttingDown || stopped) {
            return Long.MAX_VALUE;
        }
        return now < acceptsUntil ? Math.min(acceptsUntil, shutdownDeadline) : shutdownDeadline;
    }

    private int clientConnections() {
        return nbd.connections() + rsync.connections();
    }

    private boolean hasClients() {
        return clientConnections() > 0;
    }

    @Override
    public long nextDeadline() {
        if (!started || !requests.events().isEmpty()) {
            return now;
        }
        return earliest(
                mapService.nextDeadline(),
                nodes.nextDeadline(),
                nodeList.nextDeadline(),
                nbd.nextDeadline(),
                requests.nextDeadline(),
                rsync.nextDeadline(),
                fileCatalogue.nextDeadline(),
                pauseDetector.nextDeadline(hasClients()),
                nextShutdownStep(),
                scheduler.nextDeadline());
    }

    private static long earliest(long... times) {
        long earliest = Long.MAX_VALUE;
        for (long time : times) {
            earliest = Math.min(earliest, time);
        }
        return earliest;
    }

    // ---------------------------------------------------------------- scheduler actions

    @Override
    public void send(SendAttempt send) {
        requests.send(send);
    }

    @Override
    public void reject(RejectRequest reject) {
        requests.reject(reject);
    }

    @Override
    public void fail(FailRequest fail) {
        requests.fail(fail);
    }

    @Override
    public void cancel(CancelAttempt cancel) {
        nodes.cancel(cancel.id(), cancel.attempt());
    }

    @Override
    public void checkHealth(CheckHealth check) {
        nodes.checkHealth(check.endpoint());
    }

    @Override
    public void closeIdle(CloseIdleConnections close) {
        nodes.closeIdle(close.endpoint());
    }

    @Override
    public void subscribe(SubscribeEndpoints subscribe) {
        nodeList.subscribe(subscribe.active());
    }

    @Override
    public void pollEndpoints() {
        nodeList.poll();
    }

    // ---------------------------------------------------------------- node connections

    @Override
    public void attemptEnded(NodeAttempt attempt, Outcome outcome, NodeMessage.Answer answer) {
        requests.attemptEnded(attempt, outcome, answer);
    }

    @Override
    public void answeredLate(long subRequestId, int attemptIndex) {
        requests.answeredLate(subRequestId, attemptIndex);
    }

    @Override
    public void healthCheckEnded(HealthCheckCompleted result) {
        requests.events().add(result);
    }

    // ---------------------------------------------------------------- statistics

    private Statistics currentStatistics() {
        return new Statistics(
                clientConnections(),
                requests.operations(),
                byteBudget.reserved(),
                nodes.connections(),
                nodes.lateAnswers(),
                requests.rejectedAtLimit(),
                requests.missedDeadlines(),
                requests.reroutes(),
                mapService.version(),
                closedConnections.owedAnswers());
    }

    /** The statistics as of the end of the last turn. May be called on any thread. */
    public Statistics statistics() {
        return statistics;
    }

    /**
     * Statistics of a gateway: its current load, and counters since its start.
     *
     * @param connections open client connections
     * @param operations operations in progress
     * @param reservedBytes bytes reserved from the gateway's byte budget
     * @param nodeConnections connections to nodes
     * @param lateAnswers answers of nodes that arrived after their attempt had ended
     * @param rejectedAtLimit operations rejected because the limit of concurrent operations was reached
     * @param missedDeadlines sub-requests for which the scheduler gave no result by their deadline
     * @param reroutes number of times a sub-request was rerouted because its extent had moved
     * @param mapVersion version of the cached extent map
     * @param owedAnswers requests whose connections were closed without the answer that was owed
     */
    public record Statistics(
            int connections,
            int operations,
            long reservedBytes,
            int nodeConnections,
            long lateAnswers,
            long rejectedAtLimit,
            long missedDeadlines,
            long reroutes,
            long mapVersion,
            long owedAnswers) {}
}
