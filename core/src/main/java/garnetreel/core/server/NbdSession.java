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
 * One NBD connection, from the greeting to its end. As the specification has it, an option or request that is wrong in
 * itself gets an error and the connection goes on; a stream that can't be followed any more is closed.
 */
final class NbdSession extends ProtocolServer.Session {
    /** More options than a client that asks about every export would send; then the connection is closed. */
    private static final int MAX_OPTIONS = 2048;
    /** Bytes that a request without payload counts for against the byte budget. */
    private static final int REQUEST_OVERHEAD_BYTES = 64;
    /** In place of an offset, where an error is not about one. */
    static final long NO_OFFSET = -1;

    private enum Phase {
        /** Options are negotiated. */
        HANDSHAKE,
        /** The next request's header is awaited, or waits for capacity. */
        REQUEST,
        /** A write's payload is read or skipped. */
        PAYLOAD,
        /** No request is read any more; the connection ends with the last reply. */
        CLOSING,
        /** The connection is over. */
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
    /** Set with the export, when nothing is negotiated any more. */
    private RequestValidator validator;
    /** The request whose payload is awaited, or that waits for capacity. */
    private Header header;

    private boolean reading = true;
    private boolean pumping;
    /** Bytes reserved of the byte budget for requests in progress. */
    private long reserved;
    /** Bytes written that have not left; they count in the byte budget too. */
    private long outbound;

    NbdSession(NbdServer server, long conn, boolean rejected, long handshakeDeadline) {
        super(conn, rejected, handshakeDeadline);
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
        receivedBytes.add(data);
        pump();
    }

    @Override
    public void drained(int bytes) {
        outbound -= bytes;
        byteBudget.release(bytes);
        pump();
    }

    @Override
    public void capacityAvailable() {
        pump();
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
        server.ended(this);
    }

    @Override
    public void end(boolean abort) {
        if (phase != Phase.ENDED) {
            server.emit(new NetAction.Close(conn, abort));
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
        endIfQuiet();
    }

    private void endIfQuiet() {
        if (phase == Phase.CLOSING && inProgress.isEmpty()) {
            end(false);
        }
    }

    // ---------------------------------------------------------------- reading and writing

    void write(ByteBuffer data) {
        int bytes = data.remaining();
        outbound += bytes;
        // Replies are bounded by their requests, so their bytes are reserved without asking.
        byteBudget.release(-bytes);
        server.emit(new NetAction.Write(conn, data));
    }

    /** Parses as far as bytes and bounds allow, then sets whether the socket is read. */
    private void pump() {
        if (pumping || phase == Phase.ENDED) {
            return; // a reply within the loop below calls this again, and so does the end of the connection
        }
        pumping = true;
        try {
            boolean advanced;
            do {
                advanced = advance();
            } while (advanced);
        } catch (ProtocolException e) {
            server.emit(new NetAction.Log(NetAction.Level.DEBUG, "client: " + e.getMessage() + "; connection closed"));
            end(true);
        } finally {
            pumping = false;
        }
        endIfQuiet();
        if (phase != Phase.ENDED) {
            updateReadInterest();
        }
    }

    /** Handles one message, or as much of it as there is; false when it needs more bytes or capacity. */
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
        boolean read = wantsBytes();
        if (read != reading) {
            reading = read;
            server.emit(new NetAction.SetReadInterest(conn, read));
        }
    }

    private boolean wantsBytes() {
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

    /** Answers EXPORT_NAME, to which the specification has no negative answer but to close. */
    void exportName(Volume chosen) {
        if (chosen == null) {
            end(false);
            return;
        }
        write(NbdWriter.exportName(chosen.size(), transmissionFlags(chosen), !noZeroes));
        beginTransmission(chosen);
    }

    /** Enters the transmission phase. */
    void beginTransmission(Volume chosen) {
        volume = chosen;
        validator = new RequestValidator(chosen, bounds.maxPayload(), options);
        phase = Phase.REQUEST;
        server.handshakeCompleted(this);
    }

    /** What clients may do with an export. */
    int transmissionFlags(Volume chosen) {
        return Nbd.HAS_FLAGS
                | Nbd.SEND_FLUSH
                | Nbd.SEND_FUA
                | Nbd.CAN_MULTI_CONN
                | Nbd.SEND_CACHE
                | (chosen.readOnly() ? Nbd.READ_ONLY : Nbd.SEND_TRIM | Nbd.SEND_WRITE_ZEROES)
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
                phase = Phase.PAYLOAD;
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
            phase = Phase.PAYLOAD;
        } else {
            start(null);
        }
        return true;
    }

    private static long bytesOf(Header header) {
        boolean carriesData = header.type() == Nbd.CMD_READ || header.type() == Nbd.CMD_WRITE;
        return REQUEST_OVERHEAD_BYTES + (carriesData ? header.length() : 0);
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
            reject(validator.validate(header)); // only the payload of an invalid request is not kept
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

    /** A request's reply is written. */
    void replied(NbdRequest request) {
        inProgress.remove(request);
        reserved -= request.reservedBytes;
        byteBudget.release(request.reservedBytes);
        pump();
        endIfQuiet();
    }

    /** Writes an error in the form that was negotiated. */
    void error(long cookie, int code, String message, long offset) {
        write(
                options.structuredReplies()
                        ? NbdWriter.errorChunk(cookie, code, message, offset)
                        : NbdWriter.simpleReply(code, cookie, 0).flip());
    }
}
