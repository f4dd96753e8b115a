package garnetreel.files;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A snapshot of a catalogue. Stored form: magic number, CRC-32C of all that follows, sequence number of the last
 * change, number of entries, entries, and if there are any, the write intents.
 *
 * @param seq sequence number of the last change that it includes
 */
record CatalogueSnapshot(long seq, Collection<FileEntry> entries, List<WriteIntent> intents) {
    /** "GRFC". */
    private static final int MAGIC = 0x47524643;

    private static final int CHECKSUM_OFFSET = 4;
    private static final int HEADER_BYTES = 8;

    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(MAGIC);
            out.writeInt(0);
            out.writeLong(seq);
            out.writeInt(entries.size());
            for (FileEntry entry : entries) {
                entry.write(out);
            }
            if (!intents.isEmpty()) {
                WriteIntent.writeAll(intents, out);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] encoded = bytes.toByteArray();
        ByteBuffer.wrap(encoded).putInt(CHECKSUM_OFFSET, checksum(encoded));
        return encoded;
    }

    /** @throws IllegalStateException if it is damaged */
    static CatalogueSnapshot decode(byte[] encoded) {
        ByteBuffer header = ByteBuffer.wrap(encoded);
        if (encoded.length < HEADER_BYTES
                || header.getInt(0) != MAGIC
                || header.getInt(CHECKSUM_OFFSET) != checksum(encoded)) {
            throw new IllegalStateException(
                    "the snapshot of the file catalogue is damaged: wrong magic number or checksum, or too short");
        }
        ByteArrayInputStream body = new ByteArrayInputStream(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES);
        try (DataInputStream in = new DataInputStream(body)) {
            long seq = in.readLong();
            List<FileEntry> entries = new ArrayList<>();
            for (int left = in.readInt(); left > 0; left--) {
                entries.add(FileEntry.read(in));
            }
            return new CatalogueSnapshot(seq, entries, WriteIntent.readAll(in));
        } catch (IOException e) {
            throw new IllegalStateException("the snapshot of the file catalogue is truncated", e);
        }
    }

    private static int checksum(byte[] encoded) {
        CRC32C crc = new CRC32C();
        crc.update(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES);
        return (int) crc.getValue();
    }
}
