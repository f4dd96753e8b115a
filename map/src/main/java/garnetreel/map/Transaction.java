package garnetreel.map;

import garnetreel.codec.map.MapMessage.Change;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An atomic change of the map service's state, stored as one journal record.
 *
 * @param seq sequence number, from 1
 * @param epoch epoch of the maps after it
 * @param version version of the maps after it; it grows only if extents change
 * @param who initiator: the service itself, the rebalancer or an operator
 * @param when microseconds since 1970
 * @param why reason, shown in the history; the wording of stored reasons must not change
 * @param changes extents whose shard or version it changes
 * @param migration a migration with its state after it; null if none changes
 * @param drain start or end of draining a shard; null for none
 */
public record Transaction(
        long seq,
        long epoch,
        long version,
        String who,
        long when,
        String why,
        List<Change> changes,
        Migration migration,
        Drain drain) {

    /** Start ({@code on}) or end of draining a shard. */
    public record Drain(int shard, boolean on) {}

    /** Encodes the transaction as a journal record. */
    public byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(seq);
            out.writeLong(epoch);
            out.writeLong(version);
            out.writeUTF(who);
            out.writeLong(when);
            out.writeUTF(why);
            out.writeInt(changes.size());
            for (Change c : changes) {
                out.writeLong(c.volume());
                out.writeLong(c.extent());
                out.writeInt(c.shard());
                out.writeLong(c.version());
            }
            out.writeBoolean(migration != null);
            if (migration != null) {
                migration.write(out);
            }
            // Optional: records written before drains were stored end here.
            if (drain != null) {
                out.writeInt(drain.shard());
                out.writeBoolean(drain.on());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a journal record.
     *
     * @throws CorruptJournalException if it cannot be decoded
     */
    public static Transaction of(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            long seq = in.readLong();
            long epoch = in.readLong();
            long version = in.readLong();
            String who = in.readUTF();
            long when = in.readLong();
            String why = in.readUTF();
            int count = in.readInt();
            List<Change> changes = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                changes.add(new Change(in.readLong(), in.readLong(), in.readInt(), in.readLong()));
            }
            Migration migration = in.readBoolean() ? Migration.read(in) : null;
            Drain drain = in.available() > 0 ? new Drain(in.readInt(), in.readBoolean()) : null;
            return new Transaction(seq, epoch, version, who, when, why, changes, migration, drain);
        } catch (IOException e) {
            throw new CorruptJournalException("cannot decode a record of the map journal: " + e.getMessage(), e);
        }
    }
}
