package garnetreel.map;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage.Snapshot;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The map service's state after one transaction, without its history. Stored form, big-endian:
 *
 * <pre>
 * u32 magic "GRMS"   u32 CRC32C of all that follows
 * u64 seq   u64 last migration   u32 migrations, each as in a transaction   u32 draining shards, u32 each
 * u32 length and bytes of a snapshot frame (docs/extent-map.md)
 * </pre>
 */
record MapSnapshot(long seq, long lastMigration, Snapshot maps, List<Migration> migrations, List<Integer> draining) {
    private static final int MAGIC = 0x47524d53;
    private static final int CRC_OFFSET = 4;
    private static final int HEADER = 8;

    byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(MAGIC);
            out.writeInt(0);
            out.writeLong(seq);
            out.writeLong(lastMigration);
            out.writeInt(migrations.size());
            for (Migration migration : migrations) {
                migration.write(out);
            }
            out.writeInt(draining.size());
            for (int shard : draining) {
                out.writeInt(shard);
            }
            ByteBuffer frame = MapCodec.frame(maps);
            out.writeInt(frame.remaining());
            out.write(frame.array(), frame.arrayOffset() + frame.position(), frame.remaining());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] encoded = bytes.toByteArray();
        ByteBuffer.wrap(encoded).putInt(CRC_OFFSET, crc(encoded));
        return encoded;
    }

    private static int crc(byte[] encoded) {
        CRC32C crc = new CRC32C();
        crc.update(encoded, HEADER, encoded.length - HEADER);
        return (int) crc.getValue();
    }

    /** @throws CorruptJournalException if it is damaged; the message says how */
    static MapSnapshot of(byte[] encoded) {
        if (encoded.length < HEADER
                || ByteBuffer.wrap(encoded).getInt(0) != MAGIC
                || ByteBuffer.wrap(encoded).getInt(CRC_OFFSET) != crc(encoded)) {
            throw new CorruptJournalException(
                    "the snapshot of the map journal is damaged: wrong magic number or checksum, or too short ("
                            + encoded.length + " bytes)");
        }
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(encoded, HEADER, encoded.length - HEADER))) {
            long seq = in.readLong();
            long lastMigration = in.readLong();
            List<Migration> migrations = new ArrayList<>();
            for (int left = in.readInt(); left > 0; left--) {
                migrations.add(Migration.read(in));
            }
            List<Integer> draining = new ArrayList<>();
            for (int left = in.readInt(); left > 0; left--) {
                draining.add(in.readInt());
            }
            ByteQueue frame = new ByteQueue();
            frame.add(ByteBuffer.wrap(in.readNBytes(in.readInt())));
            if (MapCodec.next(frame) instanceof Snapshot maps) {
                return new MapSnapshot(seq, lastMigration, maps, migrations, draining);
            }
            throw new CorruptJournalException("the snapshot of the map journal holds another message than a map");
        } catch (IOException | ProtocolException e) {
            throw new CorruptJournalException("cannot decode the snapshot of the map journal: " + e.getMessage(), e);
        }
    }
}
