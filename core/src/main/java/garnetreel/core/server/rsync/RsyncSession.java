package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.MultiplexedFrames;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;
import garnetreel.core.GatewaySettings;
import garnetreel.core.ending.ConnectionEnding;
import garnetreel.core.ending.DrainTimes;
import garnetreel.core.io.NetAction;
import garnetreel.core.server.ProtocolServer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One rsync connection in daemon mode: greeting, module, authentication if the module has users, arguments, then a
 * {@link Transfer}. A protocol error closes the connection with a message; an error with a single file does not.
 */
final class RsyncSession extends ProtocolServer.Session {
    /** Limit in bytes of unsent output, past which no more is produced. */
    static final int MAX_OUTBOUND = 1 << 20;

    /** Limit in bytes of unprocessed input, past which the socket is not read. */
    private static final int MAX_INBOUND = 1 << 20;
    /**
     * Maximum number of steps in one turn; each processes a message, a block, a filter rule or a received list entry,
     * or sends some hundred list entries.
     */
    private static final int MAX_STEPS_PER_TURN = 32;

    private static final String SHUTTING_DOWN = "this gateway is shutting down -- try again later or another one";
    /** Idle time after which a connection is closed; a peer may be busy with its own disk during a transfer. */
    private static final long IDLE_TIMEOUT_US = 600_000_000;
    /** Time without output after which a keep-alive is sent, for example while a rejected block is retried. */
    private static final long KEEP_ALIVE_INTERVAL_US = 15_000_000;

    private enum State {
        NEGOTIATION,
        TRANSFER,
        /** The last message has been written. */
        CLOSING
    }

    final RsyncServer server;
    final RsyncIn in = new RsyncIn();
    final RsyncOut out = new RsyncOut();
    final BlockIo blockIo;
    private final MultiplexedFrames demultiplexer = new MultiplexedFrames();
    private final RsyncHandshake handshake;
    private State state = State.NEGOTIATION;
    private Transfer transfer;
    private boolean readInterest = true;
    private boolean pumping;
    private boolean pumpAgain;
    private int steps;
    private boolean continuationScheduled;
    private long outbound;
    private long inbound;
    private long receivedBytes;
    private long sentBytes;
    private long lastSentAt;
    /** When bytes were last taken by the client, or the first ones written. */
    private long lastTakenAt;

    private boolean peerIoError;

    RsyncSession(RsyncServer server, long conn, boolean rejected, long handshakeDeadline) {
        super(server, conn, rejected, handshakeDeadline);
        this.server = server;
        this.blockIo = new BlockIo(server);
        this.handshake = new RsyncHandshake(this);
        lastSentAt = server.time();
    }

    @Override
    public void greet() {
        if (rejected) {
            writeError("max connections (" + server.settings().bounds().connections() + ") reached -- try again later");
            end(ConnectionEnding.EVICTED);
        } else {
            sendText("@RSYNCD: " + Rsync.VERSION + ".0\n");
        }
    }

    @Override
    protected void received(ByteBuffer data) {
        receivedBytes += data.remaining();
        if (state == State.CLOSING) {
            return;
        }
        try {
            if (state == State.TRANSFER) {
                demultiplexer.add(data, in, this::handleMessage);
            } else {
                in.add(data);
            }
        } catch (ProtocolException e) {
            fail(e.getMessage());
        }
        pump();
    }

    private void handleMessage(int kind, byte[] body) {
        if (kind == Rsync.IO_ERROR) {
            peerIoError = true;
        }
        if (kind == Rsync.ERROR || kind == Rsync.ERROR_XFER) {
            server.emit(new NetAction.Log(
                    NetAction.Level.DEBUG, "rsync client: " + new String(body, StandardCharsets.ISO_8859_1).strip()));
        }
    }

    /** Whether the peer reported an I/O error: its file list may be incomplete, so nothing may be deleted. */
    boolean peerIoError() {
        return peerIoError;
    }

    @Override
    public void written(int bytes) {
        lastTakenAt = server.time();
        outbound -= bytes;
        server.byteBudget().release(bytes);
        pump();
        closeIfSettled();
    }

    @Override
    public void capacityAvailable() {
        pump();
    }

    @Override
    protected boolean isSettled() {
        return state == State.CLOSING && outbound == 0;
    }

    /** A transfer in progress goes on after a shutdown began, until {@link #endTransfer}. */
    @Override
    protected void endingBegan() {
        if (ending.cause() == ConnectionEnding.IDLE) {
            writeError("timeout: nothing was received for too long");
        } else if (ending.cause() == ConnectionEnding.SHUTDOWN && state == State.NEGOTIATION) {
            writeError(SHUTTING_DOWN);
        }
    }

    /** Ends a transfer in progress, as the time for the shutdown is over. */
    void endTransfer() {
        writeError(SHUTTING_DOWN);
    }

    @Override
    protected void writeLastWords() {}

    @Override
    protected boolean repliesUnreadFor(long micros) {
        return outbound > 0 && server.time() - lastTakenAt >= micros;
    }

    @Override
    protected void failRequestsInProgress() {
        endTransfer();
    }

    @Override
    protected int unansweredRequests() {
        return state == State.TRANSFER ? 1 : 0;
    }

    @Override
    protected void release() {
        blockIo.abandon();
        if (transfer != null) {
            transfer.disconnected();
        }
        server.byteBudget().release(outbound + inbound);
        outbound = 0;
        inbound = 0;
    }

    /** Called once a second: closes a connection that is idle or not read, or sends a keep-alive if one is due. */
    void checkIdle() {
        if (ending.hasBegun() && repliesUnreadFor(DrainTimes.UNREAD_REPLIES_MICROS)) {
            end(ConnectionEnding.REPLIES_UNREAD);
        } else if (server.time() - lastReceivedAt() > IDLE_TIMEOUT_US) {
            server.emit(new NetAction.Log(
                    NetAction.Level.INFO,
                    "rsync client idle for " + IDLE_TIMEOUT_US / 1_000_000 + " s; connection closed"));
            end(ConnectionEnding.IDLE);
        } else if (state == State.TRANSFER && server.time() - lastSentAt > KEEP_ALIVE_INTERVAL_US) {
            write(RsyncOut.frame(Rsync.DATA, new byte[0], 0));
        }
    }

    // ---------------------------------------------------------------- output

    private void write(ByteBuffer data) {
        if (data != null && !isClosed()) {
            lastTakenAt = outbound == 0 ? server.time() : lastTakenAt;
            outbound += data.remaining();
            sentBytes += data.remaining();
            server.byteBudget().release(-data.remaining()); // acquires budget for the output
            lastSentAt = server.time();
            server.emit(new NetAction.Write(connectionId, data));
        }
    }

    void sendText(String text) {
        write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Writes an error that clients print, as the last message, in the form that they expect at this point. */
    private void writeError(String text) {
        if (state == State.NEGOTIATION && !handshake.readsArguments()) {
            sendText("@ERROR: " + text + "\n");
        } else if (state != State.CLOSING) {
            if (state == State.NEGOTIATION) {
                beginMultiplexing();
            }
            sendMessage(Rsync.ERROR, "garnetreel: " + text + "\n");
        }
        state = State.CLOSING;
    }

    /** Bytes received from the peer so far. */
    long bytesReceived() {
        return receivedBytes;
    }

    /** Bytes produced for the peer so far, unsent ones included. */
    long bytesSent() {
        return sentBytes + out.size();
    }

    /** Whether there is capacity for more output. */
    boolean canWrite() {
        return outbound + out.size() < MAX_OUTBOUND;
    }

    /** Sends the collected output as one frame of data. */
    void flush() {
        write(out.takeFrame());
    }

    /** Sends a multiplexed message with a text, after the output collected so far. */
    void sendMessage(int kind, String text) {
        flush();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        write(RsyncOut.frame(kind, bytes, bytes.length));
    }

    /** Sends a multiplexed message with a number, after the output collected so far. */
    void sendMessage(int kind, int number) {
        flush();
        write(RsyncOut.frame(
                kind,
                new byte[] {(byte) number, (byte) (number >> 8), (byte) (number >> 16), (byte) (number >> 24)},
                4));
    }

    /** Closes the connection after a protocol error, with a message that clients print. */
    private void fail(String reason) {
        server.emit(new NetAction.Log(NetAction.Level.DEBUG, "rsync: " + reason + "; connection closed"));
        if (!isClosed() && state != State.CLOSING) {
            writeError(reason);
            end(ConnectionEnding.PROTOCOL_ERROR);
        }
    }

    /** Ends a completed transfer: closes the connection once all output has been sent. */
    void finish() {
        flush();
        state = State.CLOSING;
        end(ConnectionEnding.COMPLETED);
    }

    // ---------------------------------------------------------------- input

    /** Runs steps as far as input, block operations and limits allow, then sets whether the socket is read. */
    void pump() {
        if (pumping) {
            pumpAgain = true;
            return;
        }
        pumping = true;
        steps = continuationScheduled ? steps : 0;
        try {
            do {
                pumpAgain = false;
                boolean progressed = true;
                while (progressed && !isClosed() && state != State.CLOSING && steps < MAX_STEPS_PER_TURN) {
                    progressed = step();
                    steps++;
                }
                if (progressed && steps >= MAX_STEPS_PER_TURN) {
                    scheduleContinuation();
                    break;
                }
            } while (pumpAgain);
        } catch (ProtocolException e) {
            fail(e.getMessage());
        } finally {
            pumping = false;
        }
        if (!isClosed()) {
            flush();
            server.byteBudget().release(inbound - in.size());
            inbound = in.size();
            boolean read = in.size() < MAX_INBOUND && server.byteBudget().hasCapacity(this);
            if (read != readInterest) {
                readInterest = read;
                server.emit(new NetAction.SetReadInterest(connectionId, read));
            }
        }
    }

    /**
     * Schedules the remaining steps in a turn of their own, so that a client with much buffered input does not delay
     * the others: a list of 200,000 names held them up for half a second. It costs that client a turn for every
     * {@link #MAX_STEPS_PER_TURN} steps.
     */
    private void scheduleContinuation() {
        if (!continuationScheduled) {
            continuationScheduled = true;
            server.schedule(1, () -> {
                continuationScheduled = false;
                steps = 0;
                if (!isClosed()) {
                    pump();
                }
            });
        }
    }

    private boolean step() throws ProtocolException {
        return switch (state) {
            case NEGOTIATION -> negotiate();
            case TRANSFER -> transfer.step();
            case CLOSING -> false;
        };
    }

    private boolean negotiate() throws ProtocolException {
        if (!handshake.step()) {
            return false;
        }
        if (handshake.isComplete()) {
            beginTransfer();
        }
        return true;
    }

    private void beginTransfer() throws ProtocolException {
        server.handshakeCompleted(this);
        state = State.TRANSFER;
        int seed = beginMultiplexing();
        RsyncIn demultiplexed = new RsyncIn();
        byte[] buffered = takeInput();
        TransferOptions options = TransferOptions.parse(handshake.arguments());
        GatewaySettings.Module module = handshake.module();
        if (!options.sender && module.readOnly()) {
            throw new ProtocolException("module " + module.name() + " is read only");
        }
        transfer = options.sender
                ? new FileSender(this, module, options, seed)
                : new FileReceiver(this, module, options, seed);
        demultiplexer.add(ByteBuffer.wrap(buffered), demultiplexed, this::handleMessage);
        in.add(ByteBuffer.wrap(takeAll(demultiplexed)));
    }

    /**
     * Sends what clients expect in reply to their arguments; after it, all output is multiplexed. No compatibility flag
     * is set: no incremental file list and no negotiated checksums, so that MD5 and the encodings of protocol version
     * 30 apply.
     *
     * @return the seed of checksums
     */
    private int beginMultiplexing() {
        int seed = ByteBuffer.wrap(server.nonce()).getInt() | 1;
        out.varint(0).i32(seed);
        write(out.take());
        return seed;
    }

    private byte[] takeInput() {
        return takeAll(in);
    }

    private static byte[] takeAll(RsyncIn from) {
        try {
            return from.take(from.size());
        } catch (RsyncIn.IncompleteInputException e) {
            throw new IllegalStateException(e);
        }
    }
}
