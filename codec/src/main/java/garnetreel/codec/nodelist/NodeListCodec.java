package garnetreel.codec.nodelist;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.LengthPrefixedFrames;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.Failed;
import garnetreel.codec.nodelist.NodeListMessage.Fetch;
import garnetreel.codec.nodelist.NodeListMessage.Kind;
import garnetreel.codec.nodelist.NodeListMessage.NodeListUpdate;
import garnetreel.codec.nodelist.NodeListMessage.Register;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.codec.nodelist.NodeListMessage.Subscribe;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes {@link NodeListMessage}s. A gateway caches the node list on disk in the same encoding. */
public final class NodeListCodec {
    private static final int SUBSCRIBE = 33;
    private static final int FETCH = 34;
    private static final int UPDATE = 35;
    private static final int FAILED = 36;
    private static final int REGISTER = 37;
    private static final State[] STATES = State.values();

    private NodeListCodec() {}

    /** The next message, or null until it has been received completely. */
    public static NodeListMessage next(ByteQueue in) throws ProtocolException {
        LengthPrefixedFrames.Frame frame = LengthPrefixedFrames.next(in);
        if (frame == null) {
            return null;
        }
        ByteBuffer body = frame.body();
        try {
            return switch (frame.kind()) {
                case SUBSCRIBE -> new Subscribe(body.getInt(), body.get() != 0, body.getLong());
                case FETCH -> new Fetch(body.getInt());
                case UPDATE -> readUpdate(body);
                case FAILED -> new Failed(readText(body));
                case REGISTER -> new Register(readEntry(body));
                default -> throw new ProtocolException("node list message of unknown kind " + frame.kind());
            };
        } catch (BufferUnderflowException e) {
            throw new ProtocolException("node list message of kind " + frame.kind() + " is truncated");
        }
    }

    private static NodeListUpdate readUpdate(ByteBuffer body) throws ProtocolException {
        Kind kind = body.get() == 0 ? Kind.DELTA : Kind.SNAPSHOT;
        long since = body.getLong();
        long version = body.getLong();
        int count = body.getInt();
        if (count < 0 || count > body.remaining()) {
            throw new ProtocolException("node list update claims " + count + " entries");
        }
        List<Entry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(readEntry(body));
        }
        return new NodeListUpdate(kind, since, version, List.copyOf(entries));
    }

    private static Entry readEntry(ByteBuffer body) throws ProtocolException {
        String address = readText(body);
        String zone = readText(body);
        int shard = body.getInt();
        int state = body.get();
        if (state < 0 || state >= STATES.length) {
            throw new ProtocolException("node list entry with unknown state code " + state);
        }
        return new Entry(address, zone, shard, STATES[state], body.getDouble(), body.getLong());
    }

    private static String readText(ByteBuffer body) {
        byte[] bytes = new byte[body.getShort() & 0xffff];
        body.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Encodes a message as a frame. */
    public static ByteBuffer frame(NodeListMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        int kind;
        try {
            if (message instanceof Subscribe s) {
                kind = SUBSCRIBE;
                out.writeInt(s.gatewayId());
                out.writeByte(s.active() ? 1 : 0);
                out.writeLong(s.version());
            } else if (message instanceof Fetch f) {
                kind = FETCH;
                out.writeInt(f.gatewayId());
            } else if (message instanceof NodeListUpdate update) {
                kind = UPDATE;
                out.writeByte(update.kind().ordinal());
                out.writeLong(update.since());
                out.writeLong(update.version());
                out.writeInt(update.entries().size());
                for (Entry entry : update.entries()) {
                    writeEntry(out, entry);
                }
            } else if (message instanceof Failed f) {
                kind = FAILED;
                out.writeUTF(f.reason());
            } else {
                kind = REGISTER;
                writeEntry(out, ((Register) message).entry());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return LengthPrefixedFrames.finish(
                LengthPrefixedFrames.begin(kind, bytes.size()).put(bytes.toByteArray()));
    }

    private static void writeEntry(DataOutputStream out, Entry entry) throws IOException {
        out.writeUTF(entry.address());
        out.writeUTF(entry.zone());
        out.writeInt(entry.shard());
        out.writeByte(entry.state().ordinal());
        out.writeDouble(entry.weight());
        out.writeLong(entry.startedAt());
    }
}
