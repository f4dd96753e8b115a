package garnetreel.codec.node;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.LengthPrefixedFrames;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.node.NodeMessage.Answer;
import garnetreel.codec.node.NodeMessage.Cancel;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Hello;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.codec.node.NodeMessage.Probe;
import garnetreel.codec.node.NodeMessage.ProbeReply;
import garnetreel.codec.node.NodeMessage.Request;
import garnetreel.codec.node.NodeMessage.Result;
import garnetreel.codec.node.NodeMessage.Step;
import garnetreel.codec.node.NodeMessage.Welcome;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes and decodes {@link NodeMessage}s. */
public final class NodeCodec {
    private static final int HELLO = 1;
    private static final int REQUEST = 2;
    private static final int ANSWER = 3;
    private static final int CANCEL = 4;
    private static final int PROBE = 5;
    private static final int PROBE_REPLY = 6;
    private static final int WELCOME = 7;
    private static final int CONTROL_COMMAND = 8;
    private static final int COMMAND_REPORT = 9;
    /** Sizes of the fixed fields of a request and of an answer. */
    private static final int REQUEST_FIXED_BYTES = 8 + 2 + 8 + 1 + 1 + 8 + 8 + 4 + 4 + 8 + 8 + 8 + 4;

    private static final int ANSWER_FIXED_BYTES = 8 + 2 + 1 + 4 + 4 + 8;
    /**
     * Maximum number of metrics in a load report (as in the protocol of the HTTP platform), and of the bytes read as a
     * metric's name. A longer name is not rejected: its rest is read as the value.
     */
    private static final int MAX_LOAD_METRICS = 4;

    private static final int MAX_NAME_BYTES = 64;
    private static final Op[] OPS = Op.values();
    private static final Result[] RESULTS = Result.values();
    private static final Step[] STEPS = Step.values();

    private NodeCodec() {}

    /** The next message, or null until it has been received completely. */
    public static NodeMessage next(ByteQueue in) throws ProtocolException {
        LengthPrefixedFrames.Frame frame = LengthPrefixedFrames.next(in);
        if (frame == null) {
            return null;
        }
        ByteBuffer body = frame.body();
        try {
            NodeMessage message =
                    switch (frame.kind()) {
                        case HELLO -> new Hello(body.getInt(), body.getLong());
                        case REQUEST -> readRequest(body);
                        case ANSWER -> new Answer(
                                body.getLong(),
                                body.getShort() & 0xffff,
                                constant(RESULTS, body.get()),
                                body.getInt(),
                                body.getInt(),
                                body.getLong(),
                                readLoad(body),
                                remainder(body));
                        case CANCEL -> new Cancel(body.getLong(), body.getShort() & 0xffff);
                        case PROBE -> new Probe(body.getLong());
                        case PROBE_REPLY -> new ProbeReply(body.getLong(), body.getLong(), readLoad(body));
                        case CONTROL_COMMAND -> new ControlCommand(
                                body.getLong(),
                                constant(STEPS, body.get()),
                                body.getLong(),
                                body.getLong(),
                                body.getInt(),
                                body.getLong(),
                                body.getInt(),
                                remainder(body));
                        case COMMAND_REPORT -> new CommandReport(
                                body.getLong(),
                                body.get() != 0,
                                body.get() != 0,
                                body.getLong(),
                                body.getLong(),
                                remainder(body));
                        case WELCOME -> new Welcome(body.getLong(), body.getLong());
                        default -> throw new ProtocolException("node message of unknown kind " + frame.kind());
                    };
            if (body.hasRemaining()) {
                throw new ProtocolException("node message has " + body.remaining() + " trailing bytes");
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new ProtocolException("node message of kind " + frame.kind() + " is truncated");
        }
    }

    private static Request readRequest(ByteBuffer body) throws ProtocolException {
        long id = body.getLong();
        int attempt = body.getShort() & 0xffff;
        long tag = body.getLong();
        Op op = constant(OPS, body.get());
        int flags = body.get();
        Request request = new Request(
                id,
                attempt,
                tag,
                op,
                (flags & 1) != 0,
                (flags & 2) != 0,
                body.getLong(),
                body.getLong(),
                body.getInt(),
                body.getInt(),
                body.getLong(),
                body.getLong(),
                body.getLong(),
                body.getInt(),
                remainder(body));
        if (request.length() < 0 || request.offset() < 0 || request.units() < 0) {
            throw new ProtocolException("node request with a negative length, offset or unit count");
        }
        if (op == Op.WRITE
                ? request.data().remaining() != request.length()
                : request.data().hasRemaining()) {
            throw new ProtocolException("node request of length " + request.length() + " has a payload of size "
                    + request.data().remaining());
        }
        return request;
    }

    private static <T> T constant(T[] values, int code) throws ProtocolException {
        if (code < 0 || code >= values.length) {
            throw new ProtocolException("node message with unknown code " + code);
        }
        return values[code];
    }

    private static ByteBuffer remainder(ByteBuffer body) {
        ByteBuffer remainder = body.slice();
        body.position(body.limit());
        return remainder;
    }

    private static Map<String, Double> readLoad(ByteBuffer body) throws ProtocolException {
        int count = body.get();
        if (count < 0 || count > MAX_LOAD_METRICS) {
            throw new ProtocolException("load report claims " + count + " metrics");
        }
        Map<String, Double> load = count == 0 ? Map.of() : new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            byte[] name = new byte[Math.min(MAX_NAME_BYTES, body.get() & 0xff)];
            body.get(name);
            load.put(new String(name, StandardCharsets.UTF_8), body.getDouble());
        }
        return load;
    }

    /** Encodes a message as a frame. */
    public static ByteBuffer frame(NodeMessage message) {
        ByteBuffer frame;
        if (message instanceof Request r) {
            frame = LengthPrefixedFrames.begin(
                    REQUEST, REQUEST_FIXED_BYTES + r.data().remaining());
            frame.putLong(r.id())
                    .putShort((short) r.attempt())
                    .putLong(r.tag())
                    .put((byte) r.op().ordinal())
                    .put((byte) ((r.deduplicated() ? 1 : 0) | (r.sync() ? 2 : 0)))
                    .putLong(r.deadline())
                    .putLong(r.volume())
                    .putInt(r.shard())
                    .putInt(r.units())
                    .putLong(r.version())
                    .putLong(r.key())
                    .putLong(r.offset())
                    .putInt(r.length())
                    .put(r.data().duplicate());
        } else if (message instanceof Answer a) {
            frame = LengthPrefixedFrames.begin(
                    ANSWER,
                    ANSWER_FIXED_BYTES + encodedSize(a.load()) + a.data().remaining());
            frame.putLong(a.id())
                    .putShort((short) a.attempt())
                    .put((byte) a.result().ordinal())
                    .putInt(a.usage())
                    .putInt(a.unitsFromOtherGateways())
                    .putLong(a.incarnation());
            writeLoad(frame, a.load());
            frame.put(a.data().duplicate());
        } else if (message instanceof Hello h) {
            frame = LengthPrefixedFrames.begin(HELLO, 12).putInt(h.gatewayId()).putLong(h.incarnation());
        } else if (message instanceof ControlCommand o) {
            frame = LengthPrefixedFrames.begin(CONTROL_COMMAND, 41 + o.data().remaining())
                    .putLong(o.seq())
                    .put((byte) o.step().ordinal())
                    .putLong(o.volume())
                    .putLong(o.extent())
                    .putInt(o.extentBytes())
                    .putLong(o.version())
                    .putInt(o.maxBytes())
                    .put(o.data().duplicate());
        } else if (message instanceof CommandReport r) {
            frame = LengthPrefixedFrames.begin(COMMAND_REPORT, 26 + r.data().remaining())
                    .putLong(r.seq())
                    .put((byte) (r.ok() ? 1 : 0))
                    .put((byte) (r.hasMore() ? 1 : 0))
                    .putLong(r.incarnation())
                    .putLong(r.knownVersion())
                    .put(r.data().duplicate());
        } else if (message instanceof Welcome w) {
            frame = LengthPrefixedFrames.begin(WELCOME, 16)
                    .putLong(w.incarnation())
                    .putLong(w.clock());
        } else if (message instanceof Cancel c) {
            frame = LengthPrefixedFrames.begin(CANCEL, 10).putLong(c.id()).putShort((short) c.attempt());
        } else if (message instanceof Probe p) {
            frame = LengthPrefixedFrames.begin(PROBE, 8).putLong(p.id());
        } else {
            ProbeReply p = (ProbeReply) message;
            frame = LengthPrefixedFrames.begin(PROBE_REPLY, 16 + encodedSize(p.load()))
                    .putLong(p.id())
                    .putLong(p.incarnation());
            writeLoad(frame, p.load());
        }
        return LengthPrefixedFrames.finish(frame);
    }

    private static int encodedSize(Map<String, Double> load) {
        int size = 1;
        for (String name : load.keySet()) {
            size += 1 + name.getBytes(StandardCharsets.UTF_8).length + 8;
        }
        return size;
    }

    private static void writeLoad(ByteBuffer frame, Map<String, Double> load) {
        frame.put((byte) load.size());
        load.forEach((name, value) -> {
            byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
            frame.put((byte) bytes.length).put(bytes).putDouble(value);
        });
    }
}
