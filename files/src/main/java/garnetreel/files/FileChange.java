package garnetreel.files;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An atomic change of the catalogue: names that are removed, entries that are added or replaced, and regions that writes
 * may be sent to. Stored as one journal record.
 *
 * @param seq sequence number, from 1
 * @param removed names that are removed, before any entry is put
 * @param put entries that are added, or that replace the entry with the same name
 * @param clearsIntents whether all write intents recorded so far are over
 * @param intents write intents that are added after that
 */
public record FileChange(
        long seq, List<Name> removed, List<FileEntry> put, boolean clearsIntents, List<WriteIntent> intents) {

    /** A change of entries alone. */
    public FileChange(long seq, List<Name> removed, List<FileEntry> put) {
        this(seq, removed, put, false, List.of());
    }

    /** Module and path of a file; ordered by module, then by path. */
    public record Name(String module, String path) implements Comparable<Name> {
        @Override
        public int compareTo(Name other) {
            int byModule = module.compareTo(other.module);
            return byModule != 0 ? byModule : path.compareTo(other.path);
        }
    }

    /** Encodes the change as a journal record. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(seq);
            out.writeInt(removed.size());
            for (Name name : removed) {
                out.writeUTF(name.module());
                out.writeUTF(name.path());
            }
            out.writeInt(put.size());
            for (FileEntry entry : put) {
                entry.write(out);
            }
            if (clearsIntents || !intents.isEmpty()) { // else the record is as older versions wrote it
                WriteIntent.writeAll(intents, out);
                out.writeBoolean(clearsIntents);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a journal record.
     *
     * @throws IllegalStateException if it cannot be decoded
     */
    public static FileChange decode(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            long seq = in.readLong();
            List<Name> removed = new ArrayList<>();
            for (int left = in.readInt(); left > 0; left--) {
                removed.add(new Name(in.readUTF(), in.readUTF()));
            }
            List<FileEntry> put = new ArrayList<>();
            for (int left = in.readInt(); left > 0; left--) {
                put.add(FileEntry.read(in));
            }
            List<WriteIntent> intents = WriteIntent.readAll(in);
            boolean clearsIntents = in.available() > 0 && in.readBoolean();
            return new FileChange(seq, removed, put, clearsIntents, intents);
        } catch (IOException e) {
            throw new IllegalStateException("cannot decode a record of the file catalogue: " + e.getMessage(), e);
        }
    }
}
