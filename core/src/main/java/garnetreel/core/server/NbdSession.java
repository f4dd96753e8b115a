package garnetreel.core.server;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdRequestParser;
import garnetreel.codec.nbd.NbdRequestParser.Header;
import garnetreel.codec.nbd.NbdWriter;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.ending.ConnectionEnding;
import garnetreel.core.ending.DrainTimes;
import garnetreel.core.io.NetAction;
import garnetreel.core.server.RequestValidator.RequestError;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One NBD connection, from the greeting to its end. As the specification requires, an invalid option or request is
 * answered with an error and the connection stays open; a connection whose stream can no longer be parsed is closed.
 */
final class NbdSession extends ProtocolServer.Session {
    /** Bytes reserved in the byte budget for each request in addition to its payload. */
    private static final int REQUEST_OVERHEAD_BYTES = 64;
    /** Stands for the offset of an error that is not about an offset. */
    static final long NO_OFFSET = -1;

    private enum Phase {
        /** Options are negotiated. */
        HANDSHAKE,
        /** The next request's header is awaited, or its request waits for capacity. */
        REQUEST,
        /** A write's payload is read or skipped. */
        PAYLOAD
    }

    private final NbdServer server;
    private final GatewaySettings.Bounds bounds;
    private final ByteQueue receivedBytes = new ByteQueue();
    private final NbdRequestParser requests = new NbdRequestParser();
    private final Set<NbdRequest> inProgress = new LinkedHashSet<>();
    private final OptionHandler options;
    private final NbdHandshake handshake;
    private Phase phase = Phase.HANDSHAKE;
    /** The export in use; null during the handshake. */
    private Volume volume;
    /** Set together with the export, when negotiation is complete. */
    private RequestValidator validator;
    /** Header of the request whose payload is awaited, or that waits for capacity; null if there is none. */
    private Header header;
    /** The error that answers the request of the header; null if it is to be run. */
    private RequestError rejection;

    private boolean reading = true;
    private boolean processing;
    private final ConnectionBytes bytes;
    private final StallDetector stalls = new StallDetector();

    NbdSession(NbdServer server, long connectionId, boolean rejected, long handshakeDeadline) {
        super(server, connectionId, rejected, handshakeDeadline);
        this.server = server;
        this.bounds = server.settings().bounds();
        this.bytes = new ConnectionBytes(server.byteBudget(), bounds.connectionBytes());
        this.options = new OptionHandler(server, this);
        this.handshake = new NbdHandshake(options);
    }

    @Override
    public void greet() {
        write(NbdWriter.greeting());
    }

    @Override
    protected void received(ByteBuffer data) {
        stalls.received(server.time());
        receivedBytes.add(data);
        processReceived();
    }

    @Override
    public void written(int count) {
        stalls.sent(server.time());
        bytes.replySent(count);
        processReceived();
    }

    @Override
    public void capacityAvailable() {
        processReceived();
    }

    // ---------------------------------------------------------------- end of the connection

    @Override
    protected void endingBegan() {
        if (ending.refusesRequests()) {
            processReceived(); // refuses what waits for capacity
        } else {
            answerPartialRequest();
        }
    }

    @Override
    protected boolean isSettled() {
        return inProgress.isEmpty()
                && bytes.unsent() == 0
                && !ending.awaitsInput(server.time(), lastReceivedAt(), hasPartialMessage());
    }

    private boolean hasPartialMessage() {
        return header != null || receivedBytes.size() > 0;
    }

    @Override
    protected void writeLastWords() {
        answerPartialRequest();
    }

    /** Answers a request whose payload has not been received completely, and will not be received. */
    private void answerPartialRequest() {
        if (header == null) {
            return;
        }
        RequestError error = rejection == null ? RequestError.ofPartialRequest(ending.cause()) : rejection;
        if (requests.takePayload() != null) {
            bytes.release(bytesOf(header));
        }
        phase = Phase.REQUEST;
        reject(error);
    }

    @Override
    protected boolean repliesUnreadFor(long micros) {
        return bytes.unsent() > 0 && stalls.nothingSentFor(server.time(), micros);
    }

    @Override
    protected void failRequestsInProgress() {
        for (NbdRequest request : List.copyOf(inProgress)) {
            server.backend.abandon(request.operation);
            error(request.header.cookie(), Nbd.EIO, "the gateway has shut down; the effect is not known", NO_OFFSET);
        }
        inProgress.clear();
    }

    @Override
    protected int unansweredRequests() {
        boolean transmission = phase == Phase.REQUEST;
        int waiting = transmission ? NbdRequestParser.countRequests(receivedBytes) : 0;
        return inProgress.size() + waiting + (transmission && header != null ? 1 : 0);
    }

    @Override
    protected void release() {
        for (NbdRequest request : List.copyOf(inProgress)) {
            server.backend.abandon(request.operation);
        }
        inProgress.clear();
        bytes.releaseAll();
    }

    // ---------------------------------------------------------------- stalls

    /** The process was held up, so the times of stalls begin anew. */
    void restartStallTimes() {
        stalls.restart(server.time());
    }

    /** Ends the connection if its client has stopped within a request, or holds up others that wait for capacity. */
    void endIfStalled() {
        boolean othersWait = server.byteBudget().hasWaiting();
        boolean stalled = phase == Phase.PAYLOAD
                && stalls.payloadStalled(server.time(), requests.receivedPayloadBytes(), othersWait);
        if (stalled && !ending.discardsInput()) {
            endStalled(ConnectionEnding.STALLED, "sends a payload too slowly");
        } else if (othersWait && repliesUnreadFor(StallDetector.TIMEOUT_MICROS)
                || ending.hasBegun() && repliesUnreadFor(DrainTimes.UNREAD_REPLIES_MICROS)) {
            endStalled(ConnectionEnding.REPLIES_UNREAD, "does not read its replies");
        }
    }

    private void endStalled(ConnectionEnding cause, String reason) {
        server.emit(new NetAction.Log(NetAction.Level.INFO, "NBD client " + reason + "; connection closed"));
        end(cause);
    }

    // ---------------------------------------------------------------- reading and writing

    void write(ByteBuffer data) {
        if (bytes.unsent() == 0) {
            stalls.sent(server.time());
        }
        bytes.replyWritten(data.remaining());
        server.emit(new NetAction.Write(connectionId, data));
    }

    /** Processes received bytes as far as the limits allow, then updates whether the socket is read. */
    private void processReceived() {
        if (processing || isClosed()) {
            return; // a nested call, from a reply written within the loop below, or the connection has ended
        }
        processing = true;
        try {
            boolean advanced;
            do {
                advanced = advance();
            } while (advanced);
        } catch (ProtocolException e) {
            server.emit(
                    new NetAction.Log(NetAction.Level.DEBUG, "NBD client: " + e.getMessage() + "; connection closed"));
            end(ConnectionEnding.PROTOCOL_ERROR);
        } finally {
            processing = false;
        }
        closeIfSettled();
        if (!isClosed()) {
            updateReadInterest();
        }
    }

    /** Processes the next message as far as it has been received; false if more bytes or capacity are needed. */
    private boolean advance() throws ProtocolException {
        if (isClosed()) {
            return false;
        }
        if (ending.discardsInput()) {
            receivedBytes.skip(receivedBytes.size());
            return false;
        }
        return switch (phase) {
            case HANDSHAKE -> hasCapacity() && handshake.advance(receivedBytes);
            case REQUEST -> hasCapacity() && request();
            case PAYLOAD -> payload();
        };
    }

    private boolean hasCapacity() {
        return ending.refusesRequests()
                ? bytes.hasReplyCapacity()
                : inProgress.size() < bounds.connectionRequests() && bytes.hasCapacity();
    }

    private void updateReadInterest() {
        boolean read = shouldRead();
        if (read != reading) {
            reading = read;
            server.emit(new NetAction.SetReadInterest(connectionId, read));
        }
    }

    private boolean shouldRead() {
        if (ending.discardsInput()) {
            return true;
        }
        boolean acceptsInput =
                switch (phase) {
                    case HANDSHAKE -> hasCapacity();
                    case REQUEST -> hasCapacity() && header == null;
                    case PAYLOAD -> true;
                };
        return acceptsInput && ending.readsSocket(server.time(), !inProgress.isEmpty());
    }

    // ---------------------------------------------------------------- handshake

    /** Answers EXPORT_NAME; the specification has no error reply to it, so an unknown export closes the connection. */
    void exportName(Volume export) {
        if (export == null) {
            end(ConnectionEnding.COMPLETED);
            return;
        }
        write(NbdWriter.exportName(export.size(), transmissionFlags(export), !handshake.noZeroes()));
        beginTransmission(export);
    }

    /** Enters the transmission phase. */
    void beginTransmission(Volume export) {
        volume = export;
        validator = new RequestValidator(export, bounds.maxPayload(), options);
        phase = Phase.REQUEST;
        server.handshakeCompleted(this);
    }

    /** Transmission flags of an export. */
    int transmissionFlags(Volume export) {
        return Nbd.HAS_FLAGS
                | Nbd.SEND_FLUSH
                | Nbd.SEND_FUA
                | Nbd.CAN_MULTI_CONN
                | Nbd.SEND_CACHE
                | (export.readOnly() ? Nbd.READ_ONLY : Nbd.SEND_TRIM | Nbd.SEND_WRITE_ZEROES)
                | (options.structuredReplies() ? Nbd.SEND_DF : 0);
    }

    // ---------------------------------------------------------------- transmission

    private boolean request() throws ProtocolException {
        if (header == null) {
            header = requests.readHeader(receivedBytes);
        }
        if (header == null) {
            return false;
        }
        if (header.type() == Nbd.CMD_DISC) {
            header = null;
            end(ConnectionEnding.COMPLETED);
            return false;
        }
        rejection = ending.refusesRequests() ? RequestError.SHUTTING_DOWN : validator.validate(header);
        boolean hasPayload = header.type() == Nbd.CMD_WRITE;
        if (rejection != null) {
            if (hasPayload) {
                requests.skipPayload(header.length());
                beginPayload();
            } else {
                reject(rejection);
            }
            return true;
        }
        if (!bytes.tryReserve(bytesOf(header), this)) {
            return false;
        }
        if (hasPayload) {
            requests.beginPayload((int) header.length());
            beginPayload();
        } else {
            start(null);
        }
        return true;
    }

    private static long bytesOf(Header header) {
        boolean carriesData = header.type() == Nbd.CMD_READ || header.type() == Nbd.CMD_WRITE;
        return REQUEST_OVERHEAD_BYTES + (carriesData ? header.length() : 0);
    }

    private void beginPayload() {
        phase = Phase.PAYLOAD;
        stalls.payloadBegan(server.time());
    }

    private boolean payload() {
        if (!requests.readPayload(receivedBytes)) {
            return false;
        }
        phase = Phase.REQUEST;
        byte[] data = requests.takePayload();
        if (data == null) {
            reject(rejection); // only the payload of a rejected request is skipped
        } else if (ending.refusesRequests()) {
            bytes.release(bytesOf(header));
            reject(RequestError.SHUTTING_DOWN);
        } else {
            start(data);
        }
        return true;
    }

    private void reject(RequestError error) {
        long cookie = header.cookie();
        header = null;
        rejection = null;
        error(cookie, error.code(), error.message(), NO_OFFSET);
    }

    private void start(byte[] data) {
        NbdRequest request = new NbdRequest(this, header, bytesOf(header), options.structuredReplies());
        header = null;
        inProgress.add(request);
        request.operation = server.backend.submit(
                volume,
                request.op(),
                request.header.offset(),
                request.header.length(),
                data,
                (request.header.flags() & Nbd.FLAG_FUA) != 0,
                request.header.cookie(),
                request);
    }

    /** Called when a request's reply has been written. */
    void replied(NbdRequest request) {
        inProgress.remove(request);
        bytes.release(request.reservedBytes);
        processReceived();
    }

    /** Writes an error reply in the negotiated form. */
    void error(long cookie, int code, String message, long offset) {
        write(
                options.structuredReplies()
                        ? NbdWriter.errorChunk(cookie, code, message, offset)
                        : NbdWriter.simpleReply(code, cookie, 0).flip());
    }
}
