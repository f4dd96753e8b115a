package garnetreel.codec.rsync;

import garnetreel.codec.ProtocolException;

/**
 * Encodes and decodes the entries of one file list. An entry omits the fields that equal those of the previous one, so
 * that an instance serves one list only.
 */
public final class FileListCodec {
    private static final int MAX_ONE_BYTE_LENGTH = 255;

    /** The negotiated options that determine which fields an entry has. */
    public record Options(boolean links, boolean owner, boolean group, boolean sums) {}

    private final Options options;
    private String previousName = "";
    private int previousMode;
    private long previousTime;
    private boolean first = true;
    private boolean ended;
    private boolean ioError;

    /** A codec at the start of a list. */
    public FileListCodec(Options options) {
        this.options = options;
    }

    /** Writes an entry. Ownership is not stored: all user and group ids are sent as 0. */
    public void write(RsyncOut out, FileItem item) {
        int flags = item.name().equals(".") ? Rsync.TOP_DIR : 0;
        int prefixLength = 0;
        int maxPrefix = Math.min(
                MAX_ONE_BYTE_LENGTH, Math.min(previousName.length(), item.name().length()));
        while (prefixLength < maxPrefix
                && previousName.charAt(prefixLength) == item.name().charAt(prefixLength)) {
            prefixLength++;
        }
        int suffixLength = item.name().length() - prefixLength;
        flags |= prefixLength > 0 ? Rsync.SAME_NAME : 0;
        flags |= suffixLength > MAX_ONE_BYTE_LENGTH ? Rsync.LONG_NAME : 0;
        flags |= !first && item.mode() == previousMode ? Rsync.SAME_MODE : 0;
        flags |= !first && item.modified() == previousTime ? Rsync.SAME_TIME : 0;
        flags |= !options.owner() || !first ? Rsync.SAME_UID : 0;
        flags |= !options.group() || !first ? Rsync.SAME_GID : 0;
        if (flags == 0 && !item.isDirectory()) {
            flags |= Rsync.TOP_DIR; // flags may not be 0, and this flag has no meaning for a file
        }
        if (flags == 0) {
            out.u16(flags | Rsync.EXTENDED);
        } else {
            out.u8(flags);
        }
        if (prefixLength > 0) {
            out.u8(prefixLength);
        }
        if (suffixLength > MAX_ONE_BYTE_LENGTH) {
            out.varint(suffixLength);
        } else {
            out.u8(suffixLength);
        }
        out.text(item.name().substring(prefixLength)).varlong(item.size(), 3);
        if ((flags & Rsync.SAME_TIME) == 0) {
            out.varlong(item.modified(), 4);
        }
        if ((flags & Rsync.SAME_MODE) == 0) {
            out.i32(item.mode());
        }
        if ((flags & Rsync.SAME_UID) == 0) {
            out.varint(0);
        }
        if ((flags & Rsync.SAME_GID) == 0) {
            out.varint(0);
        }
        if (options.links() && item.isSymbolicLink()) {
            out.varint(item.target().length()).text(item.target());
        }
        if (options.sums() && item.isRegularFile()) {
            out.bytes(item.md5() == null ? new byte[Rsync.STRONG_SUM_LENGTH] : item.md5());
        }
        setPrevious(item.name(), item.mode(), item.modified());
    }

    private void setPrevious(String name, int mode, long time) {
        previousName = name;
        previousMode = mode;
        previousTime = time;
        first = false;
    }

    /** Reads an entry; returns null at the end of the list. */
    public FileItem read(RsyncIn in) throws RsyncIn.IncompleteInputException, ProtocolException {
        int flags = in.u8();
        if (flags == 0) {
            ended = true;
            return null;
        }
        if ((flags & Rsync.EXTENDED) != 0) {
            flags |= in.u8() << 8;
        }
        if (flags == (Rsync.EXTENDED | Rsync.IO_ERROR_END)) {
            in.varint();
            ended = true;
            ioError = true;
            return null;
        }
        if ((flags & Rsync.HARD_LINKED) != 0) {
            throw new ProtocolException("hard links are not offered");
        }
        int prefixLength = (flags & Rsync.SAME_NAME) != 0 ? in.u8() : 0;
        int suffixLength = (flags & Rsync.LONG_NAME) != 0 ? in.varint() : in.u8();
        if (prefixLength > previousName.length()
                || suffixLength < 0
                || prefixLength + suffixLength > Rsync.MAX_NAME_LENGTH) {
            throw new ProtocolException("a name of " + prefixLength + " and " + suffixLength + " bytes");
        }
        String name = previousName.substring(0, prefixLength) + in.text(suffixLength);
        long size = in.varlong(3);
        long time = (flags & Rsync.SAME_TIME) != 0 ? previousTime : in.varlong(4);
        int mode = (flags & Rsync.SAME_MODE) != 0 ? previousMode : in.i32();
        if (options.owner() && (flags & Rsync.SAME_UID) == 0) {
            skipOwner(in, (flags & Rsync.USER_NAME) != 0);
        }
        if (options.group() && (flags & Rsync.SAME_GID) == 0) {
            skipOwner(in, (flags & Rsync.GROUP_NAME) != 0);
        }
        String target = "";
        if (options.links() && (mode & Rsync.FILE_TYPE_MASK) == Rsync.SYMLINK) {
            int length = in.varint();
            if (length <= 0 || length > Rsync.MAX_NAME_LENGTH) {
                throw new ProtocolException("a link's target of " + length + " bytes");
            }
            target = in.text(length);
        }
        byte[] sum = options.sums() && (mode & Rsync.FILE_TYPE_MASK) == Rsync.REGULAR
                ? in.take(Rsync.STRONG_SUM_LENGTH)
                : null;
        if (size < 0) {
            throw new ProtocolException("a file of " + size + " bytes");
        }
        setPrevious(name, mode, time);
        return new FileItem(name, mode, size, time, target, sum);
    }

    private static void skipOwner(RsyncIn in, boolean withName)
            throws RsyncIn.IncompleteInputException, ProtocolException {
        in.varint();
        if (withName) {
            in.text(in.u8());
        }
    }

    /** Whether the list has been read to its end. */
    public boolean ended() {
        return ended;
    }

    /** Whether the sender reported an I/O error, so that the list may be incomplete. */
    public boolean hasIoError() {
        return ioError;
    }
}
