package garnetreel.testbed.client;

import garnetreel.codec.ProtocolException;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A scripted rsync client: pushes its files, changing some before each push, pulls them all back, and checks that each
 * is byte for byte the version of the last complete push, or one sent by an incomplete push since.
 *
 * <p>Runs follow one another after a random pause, or after a short fixed delay if a run failed.
 */
public final class RsyncLoadGenerator implements StateMachine {
    /** Microseconds after which a run is aborted. */
    private static final long MAX_RUN_TIME = 60_000_000;
    /** Microseconds between a failed run and the next. */
    private static final long RETRY_DELAY = 500_000;

    /** Outcome counters of runs. Read them after the client has ended. */
    public static final class Tally {
        /** Pushes started. */
        public long pushes;
        /** Pulls started. */
        public long pulls;
        /** Runs that completed the goodbye exchange without errors. */
        public long completed;
        /** Runs that completed the goodbye exchange with errors; also counted in {@link #failed}. */
        public long completedWithErrors;
        /** Runs that ended but are not counted in {@link #completed}. */
        public long failed;
        /** Files transferred. */
        public long files;
        /** Bytes of those files. */
        public long bytes;
        /** Bytes that pushes sent literally, as the server's copy had no matching block. */
        public long literalBytes;
        /** Pulled files that were missing or had unexpected contents. */
        public long mismatches;
    }

    private final RsyncLoadSettings settings;
    private final Trace trace;
    private final SplittableRandom random;
    private final LocalFiles files;
    private final Tally tally = new Tally();
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long startedAt = -1;
    private long nextRunAt;
    private long runDeadline = Long.MAX_VALUE;
    private long lastConnectionId;
    private long connectionId;
    /** The current run; null between runs. */
    private RsyncClientSession session;
    /** Whether the current run, or else the last one, is a push. */
    private boolean push;
    /** Whether a pull after the end of the load has completed without errors. */
    private boolean verified;

    /** Creates a client that starts at the first call of {@link #handle}. */
    public RsyncLoadGenerator(RsyncLoadSettings settings, Trace trace, long seed) {
        this.settings = settings;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
        this.files = new LocalFiles(settings, random);
    }

    /** Outcome counters of all runs. */
    public Tally tally() {
        return tally;
    }

    @Override
    public void handle(long time, List<NetEvent> events, List<NetAction> into) {
        now = Math.max(now, time);
        actions = into;
        if (startedAt < 0) {
            startedAt = now;
            nextRunAt = startedAt + settings.start();
        }
        for (NetEvent event : events) {
            if (event instanceof NetEvent.Received received && received.connectionId() == connectionId) {
                received(received.data());
            } else if (event instanceof NetEvent.Closed closed && closed.connectionId() == connectionId) {
                endRun(false);
            }
        }
        if (now >= runDeadline) {
            actions.add(new NetAction.Close(connectionId, true));
            endRun(false);
        }
        // The last run is a pull, so that the last push is verified.
        if (session == null && now >= nextRunAt && !(isStopped() && verified)) {
            beginRun(!isStopped() && !push);
        }
    }

    private boolean isStopped() {
        return now >= startedAt + settings.stop();
    }

    private void beginRun(boolean isPush) {
        push = isPush;
        connectionId = - ++lastConnectionId;
        runDeadline = now + MAX_RUN_TIME;
        RsyncTransfer transfer;
        if (push) {
            tally.pushes++;
            files.modifyRandomPages(settings.changesPerPush());
            transfer = new RsyncPush(files, tally);
        } else {
            tally.pulls++;
            transfer = new RsyncPull(files, tally, this::reportMismatch);
        }
        session = new RsyncClientSession(settings.module(), connectionId, push, transfer);
        actions.add(new NetAction.Connect(connectionId, settings.address()));
    }

    private void received(ByteBuffer data) {
        if (session == null) {
            return;
        }
        try {
            session.received(data, actions);
            if (session.isEnded()) {
                boolean errors = session.hasErrors();
                tally.completedWithErrors += errors ? 1 : 0;
                verified = !push && !errors && isStopped();
                endRun(!errors);
            }
        } catch (ProtocolException e) {
            actions.add(new NetAction.Log(NetAction.Level.WARN, settings.name() + ": " + e.getMessage()));
            actions.add(new NetAction.Close(connectionId, true));
            endRun(false);
        }
    }

    /** @param complete whether the goodbye exchange completed without errors */
    private void endRun(boolean complete) {
        if (session == null) {
            return;
        }
        session = null;
        connectionId = 0;
        runDeadline = Long.MAX_VALUE;
        nextRunAt = now + (complete ? (long) (-Math.log(1 - random.nextDouble()) * settings.meanPause()) : RETRY_DELAY);
        tally.completed += complete ? 1 : 0;
        tally.failed += complete ? 0 : 1;
        if (push) {
            files.recordPush(complete);
        }
    }

    private void reportMismatch(String name, String mismatch) {
        tally.mismatches++;
        trace.add(TraceEvent.client(
                now,
                settings.name(),
                Integer.toString(settings.gateway()),
                Kind.MISREAD,
                0,
                "read",
                -1,
                0,
                0,
                name + " " + mismatch));
    }

    @Override
    public long nextDeadline() {
        if (startedAt < 0) {
            return now;
        }
        if (session != null) {
            return runDeadline;
        }
        return isStopped() && verified ? Long.MAX_VALUE : Math.max(now + 1, nextRunAt);
    }
}
