package garnetreel.testbed.node;

import garnetreel.codec.node.NodeMessage.Request;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The requests that a fake node has queued and those that its cores are executing, in virtual time: models the duration
 * of each and the pauses in which none is started.
 */
final class ExecutionQueue {
    /** Number of unflushed pages above which the node flushes on its own. */
    private static final int MAX_UNFLUSHED_PAGES = 8_192;

    /** A request that is queued or being executed. */
    static final class Job {
        final ClientConnection connection;
        final Request request;
        /** The client has disconnected: the request is executed to completion without an answer. */
        boolean abandoned;

        Job(ClientConnection connection, Request request) {
            this.connection = connection;
            this.request = request;
        }
    }

    private final NodeSettings settings;
    private final Turn turn;
    private final MemoryDisk disk;
    private final ActiveFaults faults;
    private final SplittableRandom random;
    private final WarmUp warmUp;
    private final LoadMeter meter;
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    /** Jobs being executed, by completion time. */
    private final TreeMap<Long, List<Job>> executing = new TreeMap<>();

    private int busyCores;
    private long deferredWork;
    private long flushAt;
    private long pausedUntil;
    private long pauseAt = Long.MAX_VALUE;

    ExecutionQueue(
            NodeSettings settings,
            Turn turn,
            MemoryDisk disk,
            ActiveFaults faults,
            SplittableRandom random,
            WarmUp warmUp,
            LoadMeter meter) {
        this.settings = settings;
        this.turn = turn;
        this.disk = disk;
        this.faults = faults;
        this.random = random;
        this.warmUp = warmUp;
        this.meter = meter;
    }

    void start() {
        flushAt = turn.now() + settings.flushInterval();
        schedulePause();
    }

    boolean isFull() {
        return queued.size() >= settings.maxQueued();
    }

    /** Number of requests queued or being executed. */
    int inFlight() {
        return queued.size() + busyCores;
    }

    void add(ClientConnection connection, Request request) {
        queued.add(new Job(connection, request));
    }

    /** Removes a request that has not been started. */
    void cancel(ClientConnection connection, long id, int attempt) {
        queued.removeIf(
                job -> job.connection == connection && job.request.id() == id && job.request.attempt() == attempt);
    }

    /**
     * Handles a closed connection: its queued requests are removed, those being executed complete without an answer.
     */
    void abandon(ClientConnection connection) {
        queued.removeIf(job -> job.connection == connection);
        executing.values().forEach(jobs -> jobs.forEach(job -> job.abandoned |= job.connection == connection));
    }

    /** Whether requests for an extent are being executed. */
    boolean isExecuting(long volume, long extent) {
        for (List<Job> jobs : executing.values()) {
            for (Job job : jobs) {
                if (disk.extents().isWithinExtent(volume, extent, job.request.volume(), job.request.offset())) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Completes the requests that are due and starts as many queued ones as possible.
     *
     * @param rejected tests a request that is about to start; true if it was rejected, and answered, instead
     * @param onExecuted receives each request that was executed
     */
    void run(Predicate<Job> rejected, Consumer<Job> onExecuted) {
        while (!executing.isEmpty() && executing.firstKey() <= turn.now()) {
            for (Job job : executing.pollFirstEntry().getValue()) {
                busyCores--;
                onExecuted.accept(job);
            }
        }
        pauseIfDue();
        flushIfDue();
        while (canStartNext()) {
            startExecution(queued.poll(), rejected, onExecuted);
        }
    }

    private boolean canStartNext() {
        return !warmUp.isCollapsed() && turn.now() >= pausedUntil && busyCores < settings.cores() && !queued.isEmpty();
    }

    private void startExecution(Job job, Predicate<Job> rejected, Consumer<Job> onExecuted) {
        if (turn.now() >= job.request.deadline()) {
            return; // the client has given up, and may since have written newer data
        }
        if (rejected.test(job)) {
            return;
        }
        long duration = duration(job.request);
        if (duration <= 0) {
            onExecuted.accept(job);
            return;
        }
        busyCores++;
        meter.addWork(duration);
        executing
                .computeIfAbsent(turn.now() + duration, any -> new ArrayList<>(1))
                .add(job);
    }

    private long duration(Request request) {
        double work = settings.workPerRequest() + (double) settings.workPerUnit() * request.units();
        if (request.op().changesData() && !request.sync()) {
            deferredWork += (long) (work * settings.deferredFraction());
            work *= 1 - settings.deferredFraction();
        }
        double slowdown = Math.max(1, faults.amount(NodeFault.Kind.SLOW));
        return (long) (work * slowdown / warmUp.speedFraction(turn.now()));
    }

    private void pauseIfDue() {
        if (turn.now() >= pauseAt) {
            pausedUntil = turn.now() + (long) (random.nextDouble() * settings.maxPause());
            schedulePause();
        }
    }

    private void schedulePause() {
        pauseAt = settings.meanPauseInterval() <= 0
                ? Long.MAX_VALUE
                : turn.now() + (long) (-Math.log(1 - random.nextDouble()) * settings.meanPauseInterval());
    }

    private void flushIfDue() {
        if (turn.now() < flushAt && disk.unflushedPages() <= MAX_UNFLUSHED_PAGES) {
            return;
        }
        disk.flush(turn.now() - settings.deduplicationWindow());
        flushAt = turn.now() + Math.max(1, settings.flushInterval());
        if (deferredWork > 0) {
            pausedUntil = Math.max(pausedUntil, turn.now() + deferredWork / settings.cores());
            deferredWork = 0;
        }
    }

    long nextDeadline() {
        long next = executing.isEmpty() ? Long.MAX_VALUE : executing.firstKey();
        if (!queued.isEmpty() && busyCores < settings.cores()) {
            next = Math.min(next, Math.max(turn.now(), pausedUntil));
        }
        if (disk.unflushedPages() > 0 || deferredWork > 0) {
            next = Math.min(next, flushAt);
        }
        return Math.min(next, pauseAt);
    }
}
