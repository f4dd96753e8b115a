package garnetreel.codec.map;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.LengthPrefixedFrames;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapMessage.Busy;
import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Command;
import garnetreel.codec.map.MapMessage.MovedExtent;
import garnetreel.codec.map.MapMessage.Result;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.Subscribe;
import garnetreel.codec.map.MapMessage.VolumeMap;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes {@link MapMessage}s. Gateways cache the maps on disk in the same encoding, and the map service
 * writes its snapshots in it.
 */
public final class MapCodec {
    private static final int SUBSCRIBE = 65;
    private static final int SNAPSHOT = 66;
    private static final int CHANGES = 67;
    private static final int BUSY = 68;
    private static final int COMMAND = 69;
    private static final int RESULT = 70;
    /** Maximum size of a body: a snapshot of three million extents that have all moved. */
    private static final int MAX_BODY_BYTES = 64 << 20;

    private static final int MOVED_BYTES = 20;
    private static final int CHANGE_BYTES = 28;

    private MapCodec() {}

    /** The next message, or null until it has been received completely. */
    public static MapMessage next(ByteQueue in) throws ProtocolException {
        LengthPrefixedFrames.Frame frame = LengthPrefixedFrames.next(in, MAX_BODY_BYTES);
        if (frame == null) {
            return null;
        }
        ByteBuffer body = frame.body();
        try {
            return switch (frame.kind()) {
                case SUBSCRIBE -> new Subscribe(body.getInt(), body.getLong(), body.getLong());
                case SNAPSHOT -> readSnapshot(body);
                case CHANGES -> readChanges(body);
                case BUSY -> new Busy(body.getLong());
                case COMMAND -> new Command(readText(body), readText(body));
                case RESULT -> new Result(body.get() != 0, readText(body));
                default -> throw new ProtocolException("map message of unknown kind " + frame.kind());
            };
        } catch (BufferUnderflowException e) {
            throw new ProtocolException("map message of kind " + frame.kind() + " is truncated");
        }
    }

    private static int readCount(ByteBuffer body, int entryBytes) throws ProtocolException {
        int count = body.getInt();
        if (count < 0 || (long) count * entryBytes > body.remaining()) {
            throw new ProtocolException("map message claims " + count + " entries in " + body.remaining() + " bytes");
        }
        return count;
    }

    private static Snapshot readSnapshot(ByteBuffer body) throws ProtocolException {
        long epoch = body.getLong();
        long version = body.getLong();
        int count = readCount(body, 28);
        List<VolumeMap> volumes = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long volume = body.getLong();
            long extents = body.getLong();
            int extentBytes = body.getInt();
            int shardCount = readCount(body, 4);
            List<Integer> shards = new ArrayList<>(shardCount);
            for (int n = 0; n < shardCount; n++) {
                shards.add(body.getInt());
            }
            int movedCount = readCount(body, MOVED_BYTES);
            List<MovedExtent> moved = new ArrayList<>(movedCount);
            for (int n = 0; n < movedCount; n++) {
                moved.add(new MovedExtent(body.getLong(), body.getInt(), body.getLong()));
            }
            if (extents <= 0 || extentBytes <= 0 || shards.isEmpty()) {
                throw new ProtocolException("map of volume " + volume + " has no extents or shards");
            }
            volumes.add(new VolumeMap(volume, extents, extentBytes, shards, moved));
        }
        return new Snapshot(epoch, version, volumes);
    }

    private static Changes readChanges(ByteBuffer body) throws ProtocolException {
        long epoch = body.getLong();
        long since = body.getLong();
        long version = body.getLong();
        int count = readCount(body, CHANGE_BYTES);
        List<Change> changes = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            changes.add(new Change(body.getLong(), body.getLong(), body.getInt(), body.getLong()));
        }
        return new Changes(epoch, since, version, changes);
    }

    private static String readText(ByteBuffer body) throws ProtocolException {
        byte[] bytes = new byte[readCount(body, 1)];
        body.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Encodes a message as a frame. */
    public static ByteBuffer frame(MapMessage message) {
        ByteBuffer frame;
        if (message instanceof Subscribe s) {
            frame = LengthPrefixedFrames.begin(SUBSCRIBE, 20)
                    .putInt(s.gatewayId())
                    .putLong(s.epoch())
                    .putLong(s.version());
        } else if (message instanceof Snapshot w) {
            int size = 20;
            for (VolumeMap v : w.volumes()) {
                size += 28
                        + 4 * v.shards().size()
                        + MOVED_BYTES * v.movedExtents().size();
            }
            frame = LengthPrefixedFrames.begin(SNAPSHOT, size)
                    .putLong(w.epoch())
                    .putLong(w.version())
                    .putInt(w.volumes().size());
            for (VolumeMap v : w.volumes()) {
                frame.putLong(v.volume())
                        .putLong(v.extents())
                        .putInt(v.extentBytes())
                        .putInt(v.shards().size());
                v.shards().forEach(frame::putInt);
                frame.putInt(v.movedExtents().size());
                v.movedExtents()
                        .forEach(
                                m -> frame.putLong(m.extent()).putInt(m.shard()).putLong(m.version()));
            }
        } else if (message instanceof Changes c) {
            frame = LengthPrefixedFrames.begin(
                            CHANGES, 28 + CHANGE_BYTES * c.changes().size())
                    .putLong(c.epoch())
                    .putLong(c.since())
                    .putLong(c.version())
                    .putInt(c.changes().size());
            c.changes().forEach(x -> frame.putLong(x.volume())
                    .putLong(x.extent())
                    .putInt(x.shard())
                    .putLong(x.version()));
        } else if (message instanceof Busy b) {
            frame = LengthPrefixedFrames.begin(BUSY, 8).putLong(b.retryAfterMicros());
        } else if (message instanceof Command c) {
            byte[] who = c.operator().getBytes(StandardCharsets.UTF_8);
            byte[] text = c.text().getBytes(StandardCharsets.UTF_8);
            frame = LengthPrefixedFrames.begin(COMMAND, 8 + who.length + text.length)
                    .putInt(who.length)
                    .put(who)
                    .putInt(text.length)
                    .put(text);
        } else {
            Result r = (Result) message;
            byte[] text = r.json().getBytes(StandardCharsets.UTF_8);
            frame = LengthPrefixedFrames.begin(RESULT, 5 + text.length)
                    .put((byte) (r.ok() ? 1 : 0))
                    .putInt(text.length)
                    .put(text);
        }
        return LengthPrefixedFrames.finish(frame);
    }
}
