package garnetreel.codec.rsync;

/** Constants of the rsync protocol, version 30. */
public final class Rsync {
    /** The protocol version offered. */
    public static final int VERSION = 30;

    /** The oldest protocol version accepted. */
    public static final int MIN_VERSION = 30;

    /** Sent instead of a file index: the end of a phase. */
    public static final int PHASE_END = -1;

    // Flags of a file list entry.

    /** The directory is at the top of the transfer. */
    public static final int TOP_DIR = 1;

    /** The mode is that of the previous entry. */
    public static final int SAME_MODE = 1 << 1;
    /** A second byte of flags follows. */
    public static final int EXTENDED = 1 << 2;
    /** The user id is that of the previous entry, or not sent. */
    public static final int SAME_UID = 1 << 3;
    /** The group id is that of the previous entry, or not sent. */
    public static final int SAME_GID = 1 << 4;
    /** The name shares a prefix with the previous one. */
    public static final int SAME_NAME = 1 << 5;
    /** The length of the name has more than one byte. */
    public static final int LONG_NAME = 1 << 6;
    /** The modification time is that of the previous entry. */
    public static final int SAME_TIME = 1 << 7;
    /** The file has hard links in the transfer. */
    public static final int HARD_LINKED = 1 << 9;
    /** The name of the user follows its id. */
    public static final int USER_NAME = 1 << 10;
    /** The name of the group follows its id. */
    public static final int GROUP_NAME = 1 << 11;
    /** Ends a list whose sender had an I/O error. */
    public static final int IO_ERROR_END = 1 << 12;

    // Item flags, sent with a file index.

    /** The type of the basis file follows. */
    public static final int ITEM_BASIS = 1 << 11;

    /** An alternate name of the basis file follows. */
    public static final int ITEM_XNAME = 1 << 12;
    /** The receiver does not have the file yet. */
    public static final int ITEM_NEW = 1 << 13;
    /** The file is changed on the receiver without a transfer. */
    public static final int ITEM_LOCAL = 1 << 14;
    /** The contents of the file are transferred. */
    public static final int ITEM_TRANSFER = 1 << 15;

    // Kinds of multiplexed frames.

    /** Data of the stream. */
    public static final int DATA = 0;

    /** An error text for a file that was not transferred. */
    public static final int ERROR_XFER = 1;
    /** An informational text. */
    public static final int INFO = 2;
    /** An error text. */
    public static final int ERROR = 3;
    /** A warning text. */
    public static final int WARNING = 4;
    /** The sender had an I/O error; the body holds its flags. */
    public static final int IO_ERROR = 22;
    /** A keep-alive. */
    public static final int NOOP = 42;
    /** The peer exits because of an error. */
    public static final int ERROR_EXIT = 86;
    /** A file was received successfully. */
    public static final int SUCCESS = 100;
    /** A file was deleted on the receiver. */
    public static final int DELETED = 101;
    /** The sender could not send a requested file. */
    public static final int NO_SEND = 102;
    /** Added to the kind of a frame in its header. */
    static final int KIND_BASE = 7;
    /** Longest frame in bytes; its length field has 24 bits. */
    static final int MAX_FRAME_LENGTH = (1 << 24) - 1;

    /** Bits of a mode that hold the file type. */
    public static final int FILE_TYPE_MASK = 0170000;

    /** Type of a regular file. */
    public static final int REGULAR = 0100000;
    /** Type of a directory. */
    public static final int DIRECTORY = 0040000;
    /** Type of a symbolic link. */
    public static final int SYMLINK = 0120000;

    /** Length of a full strong checksum in bytes: that of MD5. */
    public static final int STRONG_SUM_LENGTH = 16;
    /** Longest name in bytes. */
    public static final int MAX_NAME_LENGTH = 4096;

    /** Longest literal of a token in bytes. */
    public static final int MAX_LITERAL_LENGTH = 32 << 10;
    /** Largest block length in bytes that a checksum header may have; it is that of the reference implementation. */
    public static final int MAX_BLOCK_LENGTH = 1 << 17;

    private Rsync() {}
}
