package garnetreel.core.server;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.nbd.HandshakeParser;
import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdRequestParser;
import garnetreel.codec.nbd.NbdRequestParser.Header;
import garnetreel.codec.nbd.NbdWriter;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
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
    /** Maximum number of options, after which the connection is closed; clients send a few, or a few per export. */
    private static final int MAX_OPTIONS = 2048;
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
        PAYLOAD,
        /** No further request is read; the connection ends after the last reply. */
        CLOSING,
        /** The connection has ended. */
        ENDED
    }

    private final NbdServer server;
    private final ByteBudget byteBudget;
    private final GatewaySettings.Bounds bounds;
    private final ByteQueue receivedBytes = new ByteQueue();
    private final HandshakeParser handshake = new HandshakeParser();
    private final NbdRequestParser requests = new NbdRequestParser();
    private final Set<NbdRequest> inProgress = new LinkedHashSet<>();
    private final OptionHandler options;
    private Phase phase = Phase.HANDSHAKE;
    private boolean noZeroes;
    private int optionCount;
    /** The export in use; null during the handshake. */
    private Volume volume;
    /** Set together with the export, when negotiation is complete. */
    private RequestValidator validator;
    /** Header of the request whose payload is awaited, or that waits for capacity; null if there is none. */
    private Header header;

    private boolean reading = true;
    private boolean processing;
    /** Bytes reserved in the byte budget for requests in progress. */
    private long reserved;
    /** Bytes written and not yet sent, which are reserved in the byte budget too. */
    private long outbound;

    private final StallDetector stalls = new StallDetector();

    NbdSession(NbdServer server, long connectionId, boolean rejected, long handshakeDeadline) {
        super(connectionId, rejected, handshakeDeadline);
        this.server = server;
        this.byteBudget = server.byteBudget();
        this.bounds = server.settings().bounds();
        this.options = new OptionHandler(server, this);
    }

    @Override
    public void greet() {
        write(NbdWriter.greeting());
    }

    @Override
    public void received(ByteBuffer data) {
        stalls.received(server.time());
        receivedBytes.add(data);
        processReceived();
    }

    @Override
    public void written(int bytes) {
        stalls.sent(server.time());
        outbound -= bytes;
        byteBudget.release(bytes);
        processReceived();
    }

    @Override
    public void capacityAvailable() {
        processReceived();
    }

    // ---------------------------------------------------------------- end of the connection

    @Override
    public void disconnected() {
        phase = Phase.ENDED;
        for (NbdRequest request : List.copyOf(inProgress)) {
            server.backend.abandon(request.operation);
        }
        inProgress.clear();
        byteBudget.release(reserved + outbound);
        reserved = 0;
        outbound = 0;
        server.sessionEnded(this);
    }

    @Override
    public void end(boolean abort) {
        if (phase != Phase.ENDED) {
            server.emit(new NetAction.Close(connectionId, abort));
            disconnected();
        }
    }

    @Override
    public void closeGracefully() {
        if (phase == Phase.HANDSHAKE && volume == null) {
            end(false);
            return;
        }
        if (phase == Phase.PAYLOAD || phase == Phase.REQUEST) {
            phase = Phase.CLOSING;
        }
        endIfIdle();
    }

    private void endIfIdle() {
        if (phase == Phase.CLOSING && inProgress.isEmpty()) {
            end(false);
        }
    }

    // ---------------------------------------------------------------- stalls

    /** The process was held up, so the times of stalls begin anew. */
    void restartStallTimes() {
        stalls.restart(server.time());
    }

    /** Ends the connection if its client has stopped within a request, or holds up others that wait for capacity. */
    void endIfStalled() {
        boolean othersWait = byteBudget.hasWaiting();
        if (phase == Phase.PAYLOAD
                && stalls.payloadStalled(server.time(), requests.receivedPayloadBytes(), othersWait)) {
            endStalled("sends a payload too slowly");
        } else if (othersWait && outbound > 0 && stalls.repliesStalled(server.time())) {
            endStalled("does not read its replies");
        }
    }

    private void endStalled(String reason) {
        server.emit(new NetAction.Log(NetAction.Level.INFO, "NBD client " + reason + "; connection closed"));
        end(true);
    }

    // ---------------------------------------------------------------- reading and writing

    void write(ByteBuffer data) {
        int bytes = data.remaining();
        if (outbound == 0) {
            stalls.sent(server.time());
        }
        outbound += bytes;
        // A negative release reserves the bytes even beyond the limit: replies are bounded by their requests.
        byteBudget.release(-bytes);
        server.emit(new NetAction.Write(connectionId, data));
    }

    /** Processes received bytes as far as the limits allow, then updates whether the socket is read. */
    private void processReceived() {
        if (processing || phase == Phase.ENDED) {
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
            end(true);
        } finally {
            processing = false;
        }
        endIfIdle();
        if (phase != Phase.ENDED) {
            updateReadInterest();
        }
    }

    /** Processes the next message as far as it has been received; false if more bytes or capacity are needed. */
    private boolean advance() throws ProtocolException {
        return switch (phase) {
            case HANDSHAKE -> hasCapacity() && option();
            case REQUEST -> hasCapacity() && request();
            case PAYLOAD -> payload();
            case CLOSING, ENDED -> false;
        };
    }

    private boolean hasCapacity() {
        return inProgress.size() < bounds.connectionRequests() && reserved + outbound < bounds.connectionBytes();
    }

    private void updateReadInterest() {
        if (phase == Phase.CLOSING) {
            receivedBytes.skip(receivedBytes.size());
        }
        boolean read = shouldRead();
        if (read != reading) {
            reading = read;
            server.emit(new NetAction.SetReadInterest(connectionId, read));
        }
    }

    private boolean shouldRead() {
        return switch (phase) {
            case HANDSHAKE -> hasCapacity();
            case REQUEST -> hasCapacity() && header == null;
            case PAYLOAD, CLOSING -> true;
            case ENDED -> false;
        };
    }

    // ---------------------------------------------------------------- handshake

    private boolean option() throws ProtocolException {
        HandshakeParser.ClientMessage message = handshake.next(receivedBytes);
        if (message == null) {
            return false;
        }
        if (message instanceof HandshakeParser.Flags clientFlags) {
            acceptFlags(clientFlags.flags());
            return true;
        }
        if (++optionCount > MAX_OPTIONS) {
            throw new ProtocolException("more than " + MAX_OPTIONS + " options");
        }
        options.handle((HandshakeParser.Option) message);
        return phase == Phase.HANDSHAKE || phase == Phase.REQUEST;
    }

    private void acceptFlags(int clientFlags) throws ProtocolException {
        if ((clientFlags & ~(Nbd.FIXED_NEWSTYLE | Nbd.NO_ZEROES)) != 0) {
            throw new ProtocolException("unknown client flags 0x" + Integer.toHexString(clientFlags));
        }
        noZeroes = (clientFlags & Nbd.NO_ZEROES) != 0;
    }

    /** Answers EXPORT_NAME; the specification has no error reply to it, so an unknown export closes the connection. */
    void exportName(Volume export) {
        if (export == null) {
            end(false);
            return;
        }
        write(NbdWriter.exportName(export.size(), transmissionFlags(export), !noZeroes));
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
            phase = Phase.CLOSING;
            return false;
        }
        boolean hasPayload = header.type() == Nbd.CMD_WRITE;
        RequestError error = validator.validate(header);
        if (error != null) {
            if (hasPayload) {
                requests.skipPayload(header.length());
                beginPayload();
            } else {
                reject(error);
            }
            return true;
        }
        long bytes = bytesOf(header);
        if (!byteBudget.tryReserve(bytes, reserved + outbound == 0, this)) {
            return false;
        }
        reserved += bytes;
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
        if (data != null) {
            start(data);
        } else {
            reject(validator.validate(header)); // only the payload of an invalid request is skipped
        }
        return true;
    }

    private void reject(RequestError error) {
        long cookie = header.cookie();
        header = null;
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
        reserved -= request.reservedBytes;
        byteBudget.release(request.reservedBytes);
        processReceived();
        endIfIdle();
    }

    /** Writes an error reply in the negotiated form. */
    void error(long cookie, int code, String message, long offset) {
        write(
                options.structuredReplies()
                        ? NbdWriter.errorChunk(cookie, code, message, offset)
                        : NbdWriter.simpleReply(code, cookie, 0).flip());
    }
}
