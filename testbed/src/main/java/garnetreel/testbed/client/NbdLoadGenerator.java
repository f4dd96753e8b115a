package garnetreel.testbed.client;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdClientCodec;
import garnetreel.codec.nbd.NbdClientCodec.ReplyChunk;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A scripted NBD client: sends requests at a given rate, waits for each reply until its deadline, retries where that is
 * safe, drops connections with requests in flight, and checks that each read returns the acknowledged data.
 *
 * <p>The order of random draws is part of its behaviour, since runs with the same seed must be identical.
 */
public final class NbdLoadGenerator implements StateMachine {
    /** Maximum number of requests in flight during verification. */
    private static final int MAX_VERIFY_IN_FLIGHT = 8;

    private static final long MIN_RETRY_DELAY = 20_000;
    private static final long MAX_RETRY_DELAY = 2_000_000;
    /** Tags and stamps are the client number, shifted, and a counter, so that no two clients share one. */
    private static final int CLIENT_NUMBER_SHIFT = 32;

    private static final Pattern RETRY_AFTER = Pattern.compile("stay away for (\\d+) ms");

    /**
     * Sets the request rate relative to the configured one.
     *
     * @param factor 1 for the configured rate
     */
    public record Surge(double factor) implements NetEvent.Command {}

    /** Outcome counters of one operation. */
    public static final class Tally {
        /** Requests; retries are not counted. */
        public long requests;
        /** Requests answered without an error. */
        public long served;
        /** Requests in {@link #served} answered within the latency objective. */
        public long inTime;
        /** Requests whose last attempt was rejected with ENOMEM or ESHUTDOWN. */
        public long rejected;
        /** Requests whose last attempt was answered with another error. */
        public long failed;
        /** Requests whose connection was not ready or was lost. */
        public long unreachable;
        /** Attempts, including retries. */
        public long attempts;
        /** Reads that returned unexpected data. */
        public long mismatches;
    }

    private final NbdLoadSettings settings;
    private final long clientNumber;
    private final Trace trace;
    private final SplittableRandom random;
    private final LoadPacing pacing;
    private final NbdLoadConnections connections;
    private final ExpectedPages expectedPages = new ExpectedPages();
    private final LoadRegion region;
    private final TreeMap<Long, List<LoadRequest>> retries = new TreeMap<>();
    private final PendingReplies pendingReplies = new PendingReplies();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final ArrayDeque<Long> slotsToVerify = new ArrayDeque<>();
    private List<NetAction> actions = new ArrayList<>();
    private boolean verifying;
    private long now;
    private long lastTag;
    private long lastStamp;

    /**
     * Creates a client that starts at the first call of {@link #handle}.
     *
     * @param clientNumber unique among the clients of a run
     */
    public NbdLoadGenerator(NbdLoadSettings settings, long clientNumber, Trace trace, long seed) {
        this.settings = settings;
        this.clientNumber = clientNumber;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
        this.pacing = new LoadPacing(settings, random);
        this.connections = new NbdLoadConnections(settings);
        this.region = new LoadRegion(settings);
    }

    @Override
    public void handle(long time, List<NetEvent> events, List<NetAction> into) {
        now = Math.max(now, time);
        actions = into;
        if (!pacing.isStarted()) {
            pacing.start(now);
        }
        for (NetEvent event : events) {
            handle(event);
        }
        connections.connectDue(now, actions);
        pendingReplies.expireDue(now, (tag, attempt) -> trace(Kind.GIVE_UP, tag, attempt.request, ""));
        disconnectIfDue();
        sendRetriesDue();
        sendNewDue();
        sendVerifications();
    }

    private void handle(NetEvent event) {
        if (event instanceof NetEvent.Connected connected && connections.find(connected.connectionId()) != null) {
            actions.add(
                    new NetAction.Write(connected.connectionId(), NbdClientCodec.encodeHandshake(settings.export())));
        } else if (event instanceof NetEvent.Received received && connections.find(received.connectionId()) != null) {
            received(connections.find(received.connectionId()), received.data());
        } else if (event instanceof NetEvent.Closed closed && connections.find(closed.connectionId()) != null) {
            connectionLost(connections.find(closed.connectionId()), "head gone");
        } else if (event instanceof NetEvent.CommandReceived command && command.command() instanceof Surge surge) {
            pacing.setRateFactor(surge.factor(), now);
        }
    }

    // ---------------------------------------------------------------- connections

    private void connectionLost(NbdLoadConnection connection, String reason) {
        connections.markClosed(connection, now);
        for (Map.Entry<Long, LoadAttempt> entry : List.copyOf(connection.inFlight.entrySet())) {
            LoadRequest request = entry.getValue().request;
            trace(Kind.LEAVE, entry.getKey(), request, reason);
            pendingReplies.remove(entry.getKey());
            if (request.operation == LoadOperation.WRITE) {
                expectedPages.recordUnknownOutcome(request.offset, request.length, request.stamp, now);
            }
            unreachable(request);
        }
        connection.inFlight.clear();
    }

    /** When a disconnection is due, drops a connection with requests in flight, if there is one. */
    private void disconnectIfDue() {
        if (!pacing.takeDisconnect(now)) {
            return;
        }
        NbdLoadConnection connection = connections.firstBusy();
        if (connection != null) {
            actions.add(new NetAction.Close(connection.connectionId, true));
            connectionLost(connection, "left");
        }
    }

    // ---------------------------------------------------------------- requests

    private void sendRetriesDue() {
        while (!retries.isEmpty() && retries.firstKey() <= now) {
            retries.pollFirstEntry().getValue().forEach(this::send);
        }
    }

    private void sendNewDue() {
        while (pacing.takeRequest(now)) {
            LoadOperation operation = pickOperation();
            NbdLoadConnection connection = connections.pick(random);
            if (region.isFull()) {
                continue; // every slot has a request in flight
            }
            long offset = region.take(random);
            int length = settings.sizes().get(random.nextInt(settings.sizes().size()));
            long stamp = operation == LoadOperation.WRITE ? clientNumber << CLIENT_NUMBER_SHIFT | ++lastStamp : 0;
            sendNew(new LoadRequest(operation, offset, length, stamp, now, connection));
        }
    }

    private LoadOperation pickOperation() {
        if (random.nextDouble() < settings.readShare()) {
            return LoadOperation.READ;
        }
        return random.nextDouble() < settings.flushShare() ? LoadOperation.FLUSH : LoadOperation.WRITE;
    }

    private void sendNew(LoadRequest request) {
        tally(request).requests++;
        send(request);
    }

    private void send(LoadRequest request) {
        NbdLoadConnection connection = request.connection;
        if (!connection.ready) {
            unreachable(request);
            return;
        }
        request.attempts++;
        tally(request).attempts++;
        long tag = clientNumber << CLIENT_NUMBER_SHIFT | ++lastTag;
        LoadAttempt attempt = new LoadAttempt(request);
        connection.inFlight.put(tag, attempt);
        pendingReplies.add(tag, attempt, now + settings.deadlines().of(request.operation));
        trace(Kind.REQUEST, tag, request, Integer.toString(request.attempts - 1));
        actions.add(new NetAction.Write(connection.connectionId, encode(tag, request)));
    }

    private static ByteBuffer encode(long tag, LoadRequest request) {
        return switch (request.operation) {
            case FLUSH -> NbdClientCodec.encodeRequest(Nbd.CMD_FLUSH, 0, tag, 0, 0, null);
            case READ, VERIFY -> NbdClientCodec.encodeRequest(
                    Nbd.CMD_READ, 0, tag, request.offset, request.length, null);
            case WRITE -> NbdClientCodec.encodeRequest(
                    Nbd.CMD_WRITE,
                    0,
                    tag,
                    request.offset,
                    request.length,
                    ExpectedPages.pageContents(request.stamp, request.length));
        };
    }

    // ---------------------------------------------------------------- replies

    private void received(NbdLoadConnection connection, ByteBuffer data) {
        connection.input.add(data);
        try {
            NbdClientCodec.ServerMessage reply;
            while ((reply = connection.replies.next(connection.input)) != null) {
                if (reply instanceof ReplyChunk piece) {
                    received(connection, piece);
                } else {
                    connection.ready = true;
                }
            }
        } catch (ProtocolException e) {
            actions.add(new NetAction.Log(NetAction.Level.WARN, settings.name() + ": " + e.getMessage()));
            actions.add(new NetAction.Close(connection.connectionId, true));
            connectionLost(connection, "protocol broken: " + e.getMessage());
        }
    }

    private void received(NbdLoadConnection connection, ReplyChunk piece) throws ProtocolException {
        LoadAttempt attempt = connection.inFlight.get(piece.cookie());
        if (attempt == null) {
            trace(Kind.REPLY, connection, piece.cookie(), "", 0, 0, "unasked");
            throw new ProtocolException("a reply to cookie " + piece.cookie() + ", which nobody waits for");
        }
        attempt.add(piece);
        if (piece.last()) {
            connection.inFlight.remove(piece.cookie());
            pendingReplies.remove(piece.cookie());
            handleReply(piece.cookie(), attempt);
        }
    }

    private void handleReply(long tag, LoadAttempt attempt) {
        LoadRequest request = attempt.request;
        switch (attempt.error) {
            case 0 -> handleSuccess(tag, attempt);
            case Nbd.ENOMEM, Nbd.ESHUTDOWN -> {
                trace(Kind.REPLY, tag, request, "refused");
                if (!retry(attempt)) {
                    tally(request).rejected++;
                    abandon(request);
                }
            }
            default -> {
                trace(Kind.REPLY, tag, request, "failed");
                if (request.operation == LoadOperation.WRITE) {
                    expectedPages.recordUnknownOutcome(request.offset, request.length, request.stamp, now);
                }
                // The request may have been executed; only reads are safe to repeat.
                if (!request.operation.isRead() || !retry(attempt)) {
                    tally(request).failed++;
                    abandon(request);
                }
            }
        }
    }

    private void handleSuccess(long tag, LoadAttempt attempt) {
        LoadRequest request = attempt.request;
        Tally tally = tally(request);
        boolean inTime = now - request.createdAt <= settings.objectives().of(request.operation);
        trace(Kind.REPLY, tag, request, inTime ? "served" : "late");
        tally.served++;
        tally.inTime += inTime ? 1 : 0;
        if (request.operation == LoadOperation.WRITE) {
            expectedPages.recordAcknowledged(request.offset, request.length, request.stamp, now);
        } else if (request.operation.isRead()) {
            String mismatch = expectedPages.mismatch(request.offset, attempt.data);
            if (mismatch != null) {
                tally.mismatches++;
                trace(Kind.MISREAD, tag, request, mismatch);
            }
        }
        region.release(request.offset);
    }

    /** Schedules another attempt; returns false if the retries or the deadline are exhausted. */
    private boolean retry(LoadAttempt attempt) {
        LoadRequest request = attempt.request;
        long retryAt = now + retryDelay(attempt.message);
        long deadline = request.createdAt + settings.deadlines().of(request.operation);
        if (request.attempts > settings.maxRetries() || retryAt >= deadline) {
            return false;
        }
        retries.computeIfAbsent(retryAt, key -> new ArrayList<>()).add(request);
        return true;
    }

    private static long retryDelay(String message) {
        Matcher advice = RETRY_AFTER.matcher(message);
        long delay = advice.find() ? Long.parseLong(advice.group(1)) * 1000 : 0;
        return Math.max(MIN_RETRY_DELAY, Math.min(MAX_RETRY_DELAY, delay));
    }

    private void unreachable(LoadRequest request) {
        tally(request).unreachable++;
        abandon(request);
    }

    /** Ends a request without success; the slot of a verification is queued again. */
    private void abandon(LoadRequest request) {
        if (request.operation == LoadOperation.VERIFY) {
            slotsToVerify.add(request.offset);
        }
        region.release(request.offset);
    }

    // ---------------------------------------------------------------- verification

    /** After the load has ended, reads each written slot, again until a read succeeds. */
    private void sendVerifications() {
        if (!pacing.isVerifying(now)) {
            return;
        }
        if (!verifying) {
            verifying = true;
            slotsToVerify.addAll(expectedPages.writtenSlots(region.slotBytes()));
        }
        // At most one attempt per slot and call, as a slot whose connection is down returns to the queue.
        for (int left = slotsToVerify.size(); left > 0 && takeNextSlot(); left--) {
            long offset = slotsToVerify.poll();
            NbdLoadConnection connection = connections.forSlot(offset / region.slotBytes());
            sendNew(new LoadRequest(LoadOperation.VERIFY, offset, region.slotBytes(), 0, now, connection));
        }
    }

    /** Takes the next slot to verify; returns false if too many requests are in flight or the slot is not free. */
    private boolean takeNextSlot() {
        return pendingReplies.size() < MAX_VERIFY_IN_FLIGHT && region.take(slotsToVerify.peek());
    }

    /** Number of written slots that no read has confirmed. Call it after the client has ended. */
    public int unverified() {
        return verifying
                ? slotsToVerify.size()
                : expectedPages.writtenSlots(region.slotBytes()).size();
    }

    // ---------------------------------------------------------------- tallies and traces

    private Tally tally(LoadRequest request) {
        return tallies.computeIfAbsent(request.operation.label(), key -> new Tally());
    }

    /** Outcome counters by operation. Call it after the client has ended. */
    public Map<String, Tally> tallies() {
        return tallies;
    }

    private void trace(Kind kind, long tag, LoadRequest request, String outcome) {
        String op = request.operation.traceLabel();
        trace(kind, request.connection, tag, op, request.offset, request.length, outcome);
    }

    private void trace(
            Kind kind, NbdLoadConnection connection, long tag, String op, long offset, long length, String outcome) {
        String gateway = Integer.toString(connection.gateway);
        trace.add(TraceEvent.client(
                now, settings.name(), gateway, kind, tag, op, settings.volume(), offset, length, outcome));
    }

    @Override
    public long nextDeadline() {
        if (!pacing.isStarted()) {
            return now;
        }
        long next =
                Math.min(pacing.nextDeadline(now), Math.min(pendingReplies.nextDeadline(), connections.nextDeadline()));
        if (!verifying || !slotsToVerify.isEmpty()) {
            next = Math.min(next, Math.max(now + NbdLoadConnections.RECONNECT_DELAY, pacing.verifyAt()));
        }
        return retries.isEmpty() ? next : Math.min(next, retries.firstKey());
    }
}
