package garnetreel.files;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One version of a file, directory or symbolic link. Immutable: {@link Catalogue#plan} creates copies with higher
 * versions.
 *
 * @param module module that contains it
 * @param path path within the module: components separated by slashes, one character for each byte
 * @param version number of the version, unique across all modules; a replacement has a higher one
 * @param mode file type and permissions, as in POSIX
 * @param size length of the contents in bytes; for a symbolic link that of the target, for a directory 0
 * @param modified modification time, in seconds since 1970
 * @param md5 MD5 of the contents; empty unless it is a regular file
 * @param pieces location of the contents on the volume, in order
 * @param target target of a symbolic link; empty for other types
 */
public record FileEntry(
        String module,
        String path,
        long version,
        int mode,
        long size,
        long modified,
        byte[] md5,
        List<Piece> pieces,
        String target) {

    private static final int TYPE_MASK = 0170000;
    private static final int REGULAR = 0100000;
    private static final int DIRECTORY = 0040000;

    /** A contiguous range of a volume, in bytes. */
    public record Piece(long offset, long length) {}

    /** Creates an entry for a directory with version 0; {@link Catalogue#plan} creates a copy that has one. */
    public static FileEntry directory(String module, String path, int mode, long modified) {
        return new FileEntry(module, path, 0, DIRECTORY | mode & 07777, 0, modified, new byte[0], List.of(), "");
    }

    /** Creates an entry for a symbolic link with version 0; {@link Catalogue#plan} creates a copy that has one. */
    public static FileEntry link(String module, String path, int mode, long modified, String target) {
        return new FileEntry(module, path, 0, mode, target.length(), modified, new byte[0], List.of(), target);
    }

    /** Whether it is a directory. */
    public boolean isDirectory() {
        return (mode & TYPE_MASK) == DIRECTORY;
    }

    /** Whether it is a regular file. */
    public boolean isRegularFile() {
        return (mode & TYPE_MASK) == REGULAR;
    }

    FileChange.Name name() {
        return new FileChange.Name(module, path);
    }

    FileEntry withVersion(long newVersion) {
        return new FileEntry(module, path, newVersion, mode, size, modified, md5, pieces, target);
    }

    /** A copy with other attributes, and the same contents and version. */
    public FileEntry withAttributes(int newMode, long newModified) {
        return new FileEntry(module, path, version, newMode, size, newModified, md5, pieces, target);
    }

    /**
     * Locates a range of the contents on the volume.
     *
     * @return the first part of the range that is contiguous on the volume, {@code maxLength} bytes at most
     * @throws IllegalArgumentException if the contents end before {@code offset}
     */
    public Piece locate(long offset, long maxLength) {
        long before = 0;
        for (Piece piece : pieces) {
            if (offset < before + piece.length()) {
                long within = offset - before;
                return new Piece(piece.offset() + within, Math.min(maxLength, piece.length() - within));
            }
            before += piece.length();
        }
        throw new IllegalArgumentException(path + " has no data at offset " + offset);
    }

    void write(DataOutputStream out) throws IOException {
        out.writeUTF(module);
        out.writeUTF(path);
        out.writeLong(version);
        out.writeInt(mode);
        out.writeLong(size);
        out.writeLong(modified);
        out.writeByte(md5.length);
        out.write(md5);
        out.writeInt(pieces.size());
        for (Piece piece : pieces) {
            out.writeLong(piece.offset());
            out.writeLong(piece.length());
        }
        out.writeUTF(target);
    }

    static FileEntry read(DataInputStream in) throws IOException {
        String module = in.readUTF();
        String path = in.readUTF();
        long version = in.readLong();
        int mode = in.readInt();
        long size = in.readLong();
        long modified = in.readLong();
        byte[] sum = in.readNBytes(in.readUnsignedByte());
        int count = in.readInt();
        List<Piece> pieces = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            pieces.add(new Piece(in.readLong(), in.readLong()));
        }
        return new FileEntry(module, path, version, mode, size, modified, sum, pieces, in.readUTF());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FileEntry e
                && module.equals(e.module)
                && path.equals(e.path)
                && version == e.version
                && mode == e.mode
                && size == e.size
                && modified == e.modified
                && Arrays.equals(md5, e.md5)
                && pieces.equals(e.pieces)
                && target.equals(e.target);
    }

    @Override
    public int hashCode() {
        return path.hashCode() * 31 + Long.hashCode(version);
    }
}
