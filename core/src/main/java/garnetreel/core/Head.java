package garnetreel.core;

import garnetreel.codec.node.NodeMessage;
import garnetreel.core.desk.Desk;
import garnetreel.core.front.NbdFront;
import garnetreel.core.front.Room;
import garnetreel.core.front.rsync.FileKeeper;
import garnetreel.core.front.rsync.RsyncFront;
import garnetreel.core.io.Machine;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.io.NetEvent;
import garnetreel.core.link.Attempt;
import garnetreel.core.link.ConnectionNumbers;
import garnetreel.core.link.ListLink;
import garnetreel.core.link.MapLink;
import garnetreel.core.link.NodeLinks;
import garnetreel.policy.Scheduler;
import garnetreel.policy.Scheduler.Action;
import garnetreel.policy.Scheduler.Alarm;
import garnetreel.policy.Scheduler.Cancel;
import garnetreel.policy.Scheduler.Check;
import garnetreel.policy.Scheduler.Checked;
import garnetreel.policy.Scheduler.CloseIdle;
import garnetreel.policy.Scheduler.Event;
import garnetreel.policy.Scheduler.Fail;
import garnetreel.policy.Scheduler.FetchList;
import garnetreel.policy.Scheduler.Outcome;
import garnetreel.policy.Scheduler.Refuse;
import garnetreel.policy.Scheduler.Remark;
import garnetreel.policy.Scheduler.Send;
import garnetreel.policy.Scheduler.SetAlarm;
import garnetreel.policy.Scheduler.Watch;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A whole head without I/O: fronts, desk, links and the decision module, tied together. Everything that happened since
 * the last turn goes into one turn of the module.
 */
public final class Head implements Machine, NodeLinks.Listener {
    /** The listener of NBD clients. */
    public static final String NBD = "nbd";
    /** The listener of rsync clients. */
    public static final String RSYNC = "rsync";

    /** A head with clients takes a turn at least so often, so that a longer gap means that it was stopped. */
    private static final long HEARTBEAT = 50_000;
    /** A gap past this is no busy machine's late turn. */
    private static final long STOPPED = 4 * HEARTBEAT;
    /** Time after which sockets hold nothing any more that came while it was stopped. */
    private static final long CATCH_UP = 100_000;

    /** Takes no new work, answers what was taken, then says Stopped. */
    public record Drain() implements NetEvent.Order { }

    private record Due(long at, long order, String name) { }

    private final HeadSettings settings;
    private final Scheduler scheduler;
    private final byte[] rememberedList;
    private final NodeLinks nodes;
    private final ListLink list;
    private final MapLink map;
    private final byte[] rememberedMap;
    private final Desk desk;
    private final NbdFront nbd;
    private final RsyncFront rsync;
    private final Room room;
    private final FileKeeper files;
    private final PriorityQueue<Due> alarms = new PriorityQueue<>(
            Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private volatile Figures figures = new Figures(0, 0, 0, 0, 0, 0, 0, 0, 0);
    private long alarmCount;
    private long stoppedAt;
    private long caughtUpAt;
    private boolean begun;
    private boolean draining;
    private boolean stopped;
    private long now;

    /**
     * @param scheduler the decision module, new
     * @param rememberedList what {@link NetAction.Persist} kept last under {@link ListLink#REMEMBERED}; null for none
     * @param rememberedMap the same under {@link MapLink#REMEMBERED}
     */
    public Head(HeadSettings settings, Scheduler scheduler, byte[] rememberedList, byte[] rememberedMap) {
        this(settings, scheduler, rememberedList, rememberedMap, FileKeeper.Kept.NOTHING);
    }

    /** @param kept what {@link NetAction.Append} and {@link NetAction.Snapshot} kept of the file catalogue */
    public Head(HeadSettings settings, Scheduler scheduler, byte[] rememberedList, byte[] rememberedMap,
            FileKeeper.Kept kept) {
        this.settings = settings;
        this.scheduler = scheduler;
        this.rememberedList = rememberedList;
        ConnectionNumbers numbers = new ConnectionNumbers();
        nodes = new NodeLinks(settings, numbers);
        map = new MapLink(settings, numbers);
        this.rememberedMap = rememberedMap;
        desk = new Desk(settings, nodes, map);
        list = new ListLink(settings, numbers, desk::tell);
        room = new Room(settings.bounds().headBytes());
        nbd = new NbdFront(settings, desk, room);
        files = new FileKeeper(settings, kept);
        rsync = new RsyncFront(settings, desk, room, files);
        nodes.listener(this);
    }

    @Override
    public void turn(long time, List<NetEvent> events, List<NetAction> actions) {
        long before = now;
        now = Math.max(now, time);
        // Guards against requests that waited in sockets while this process was stopped: their clients' time ran
        // meanwhile, and counted from now it would end after the client has given up. What is read as it wakes counts as
        // come when it was stopped. It could hurt what came just before it woke, which has that much less time.
        if (begun && now - before > STOPPED && nbd.connections() + rsync.connections() > 0) {
            stoppedAt = before;
            caughtUpAt = now + CATCH_UP;
            actions.add(new NetAction.Note(Level.WARN, "no turn for " + (now - before) / 1000
                    + " ms: this process was stopped or starved; what waited in its sockets counts as come before"));
        }
        nodes.at(now, actions);
        list.at(now, actions);
        map.at(now, actions);
        desk.at(now, now < caughtUpAt ? stoppedAt : now);
        nbd.at(now, actions);
        files.at(now, actions);
        rsync.at(now, actions);
        if (!begun) {
            begun = true;
            list.remembered(rememberedList);
            map.begin(rememberedMap);
            actions.add(new NetAction.Listen(NBD, settings.listen()));
            if (!settings.files().listen().isEmpty()) {
                actions.add(new NetAction.Listen(RSYNC, settings.files().listen()));
            }
        }
        for (NetEvent event : events) {
            take(event, actions);
        }
        nodes.expire();
        list.expire();
        map.expire();
        nbd.expire();
        desk.expire();
        rsync.expire();
        files.expire();
        decide(actions);
        room.pump();
        if (draining && !stopped && nbd.connections() == 0 && rsync.connections() == 0 && desk.operations() == 0) {
            stopped = true;
            actions.add(new NetAction.Stopped());
        }
        figures = new Figures(nbd.connections() + rsync.connections(), desk.operations(), room.held(), nodes.connections(),
                nodes.lateAnswers(), desk.refusedAtTable(), desk.overdue(), desk.rerouted(), map.version());
    }

    private void take(NetEvent event, List<NetAction> actions) {
        if (event instanceof NetEvent.Received got) {
            if (nbd.owns(got.conn())) {
                nbd.received(got.conn(), got.data());
            } else if (rsync.owns(got.conn())) {
                rsync.received(got.conn(), got.data());
            } else if (nodes.owns(got.conn())) {
                nodes.received(got.conn(), got.data());
            } else if (list.owns(got.conn())) {
                list.received(got.data());
            } else if (map.owns(got.conn()) && map.received(got.data())) {
                desk.route();
            }
        } else if (event instanceof NetEvent.Drained drained) {
            if (nbd.owns(drained.conn())) {
                nbd.drained(drained.conn(), drained.bytes());
            } else if (rsync.owns(drained.conn())) {
                rsync.drained(drained.conn(), drained.bytes());
            }
        } else if (event instanceof NetEvent.Accepted accepted) {
            if (accepted.listener().equals(RSYNC)) {
                rsync.accepted(accepted.conn(), accepted.peer());
            } else {
                nbd.accepted(accepted.conn(), accepted.peer());
            }
        } else if (event instanceof NetEvent.Connected connected) {
            if (nodes.owns(connected.conn())) {
                nodes.connected(connected.conn());
            } else if (list.owns(connected.conn())) {
                list.connected();
            } else if (map.owns(connected.conn())) {
                map.connected();
            }
        } else if (event instanceof NetEvent.Closed closed) {
            if (nbd.owns(closed.conn())) {
                nbd.closed(closed.conn());
            } else if (rsync.owns(closed.conn())) {
                rsync.closed(closed.conn());
            } else if (nodes.owns(closed.conn())) {
                nodes.closed(closed.conn(), closed.opened());
            } else if (list.owns(closed.conn())) {
                list.closed();
            } else if (map.owns(closed.conn())) {
                map.closed();
            }
        } else if (event instanceof NetEvent.ListenFailed failed) {
            actions.add(new NetAction.Note(Level.WARN, "can't listen for " + failed.listener() + " on "
                    + (failed.listener().equals(RSYNC) ? settings.files().listen() : settings.listen()) + ": "
                    + failed.why()));
        } else if (event instanceof NetEvent.Appended appended) {
            files.appended(appended.seq());
        } else if (event instanceof NetEvent.Told told && told.order() instanceof Drain && !draining) {
            draining = true;
            actions.add(new NetAction.Unlisten(NBD));
            if (!settings.files().listen().isEmpty()) {
                actions.add(new NetAction.Unlisten(RSYNC));
            }
            nbd.drain();
            rsync.drain();
        }
    }

    private void decide(List<NetAction> actions) {
        while (!alarms.isEmpty() && alarms.peek().at() <= now) {
            desk.tell(new Alarm(alarms.poll().name()));
        }
        if (!desk.hasEvents()) {
            return;
        }
        List<Event> told = desk.takeEvents();
        for (Action action : scheduler.turn(now, told)) {
            if (action instanceof Send send) {
                desk.send(send);
            } else if (action instanceof Refuse refuse) {
                desk.refuse(refuse);
            } else if (action instanceof Fail fail) {
                desk.fail(fail);
            } else if (action instanceof SetAlarm alarm) {
                alarms.add(new Due(now + Math.max(0, alarm.after()), ++alarmCount, alarm.name()));
            } else if (action instanceof Cancel cancel) {
                nodes.cancel(cancel.id(), cancel.attempt());
            } else if (action instanceof Check check) {
                nodes.check(check.node());
            } else if (action instanceof CloseIdle close) {
                nodes.closeIdle(close.node());
            } else if (action instanceof Watch watch) {
                list.watch(watch.on());
            } else if (action instanceof FetchList) {
                list.fetch();
            } else if (action instanceof Remark remark) {
                actions.add(new NetAction.Note(Level.INFO, remark.text()));
            }
        }
    }

    @Override
    public void ended(Attempt attempt, Outcome outcome, NodeMessage.Answer answer) {
        desk.ended(attempt, outcome, answer);
    }

    @Override
    public void checked(Checked checked) {
        desk.tell(checked);
    }

    @Override
    public long wakeAt() {
        if (!begun || desk.hasEvents()) {
            return now;
        }
        long next = Math.min(map.wakeAt(), Math.min(nodes.wakeAt(), list.wakeAt()));
        next = Math.min(next, Math.min(nbd.wakeAt(), desk.wakeAt()));
        next = Math.min(next, Math.min(rsync.wakeAt(), files.wakeAt()));
        next = nbd.connections() + rsync.connections() > 0 ? Math.min(next, now + HEARTBEAT) : next;
        return alarms.isEmpty() ? next : Math.min(next, alarms.peek().at());
    }

    /** Figures as they were after the last turn; may be asked for on any thread. */
    public Figures figures() {
        return figures;
    }

    /** What a head holds and has counted. */
    public record Figures(int connections, int operations, long bytesHeld, int nodeConnections, long lateAnswers,
            long refusedAtTable, long overdue, long rerouted, long mapVersion) { }
}
