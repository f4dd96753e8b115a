package garnetreel.codec.nbd;

/**
 * Constants of the NBD protocol, from its published specification (doc/proto.md of the NBD project: "Values", "Option
 * types", "Option reply types", "Request types", "Reply flags and types", "Error values").
 */
public final class Nbd {
    /** "NBDMAGIC". */
    public static final long MAGIC = 0x4e42444d41474943L;

    /** "IHAVEOPT". */
    public static final long OPTION_MAGIC = 0x49484156454F5054L;

    public static final long OPTION_REPLY_MAGIC = 0x3e889045565a9L;
    public static final int REQUEST_MAGIC = 0x25609513;
    public static final int SIMPLE_REPLY_MAGIC = 0x67446698;
    public static final int CHUNK_MAGIC = 0x668e33ef;

    // Handshake flags; server and client use the same values.

    public static final int FIXED_NEWSTYLE = 1;

    public static final int NO_ZEROES = 2;

    public static final int OPT_EXPORT_NAME = 1;
    public static final int OPT_ABORT = 2;
    public static final int OPT_LIST = 3;
    public static final int OPT_STARTTLS = 5;
    public static final int OPT_INFO = 6;
    public static final int OPT_GO = 7;
    public static final int OPT_STRUCTURED_REPLY = 8;
    public static final int OPT_LIST_META_CONTEXT = 9;
    public static final int OPT_SET_META_CONTEXT = 10;

    public static final int REP_ACK = 1;
    public static final int REP_SERVER = 2;
    public static final int REP_INFO = 3;
    public static final int REP_META_CONTEXT = 4;
    private static final int REP_ERROR = 1 << 31;
    public static final int REP_ERR_UNSUP = REP_ERROR | 1;
    public static final int REP_ERR_POLICY = REP_ERROR | 2;
    public static final int REP_ERR_INVALID = REP_ERROR | 3;
    public static final int REP_ERR_UNKNOWN = REP_ERROR | 6;
    public static final int REP_ERR_SHUTDOWN = REP_ERROR | 7;
    public static final int REP_ERR_TOO_BIG = REP_ERROR | 9;

    public static final int INFO_EXPORT = 0;
    public static final int INFO_NAME = 1;
    public static final int INFO_DESCRIPTION = 2;
    public static final int INFO_BLOCK_SIZE = 3;

    // Transmission flags.

    public static final int HAS_FLAGS = 1;

    public static final int READ_ONLY = 1 << 1;
    public static final int SEND_FLUSH = 1 << 2;
    public static final int SEND_FUA = 1 << 3;
    public static final int SEND_TRIM = 1 << 5;
    public static final int SEND_WRITE_ZEROES = 1 << 6;
    public static final int SEND_DF = 1 << 7;
    public static final int CAN_MULTI_CONN = 1 << 8;
    public static final int SEND_CACHE = 1 << 10;

    public static final int CMD_READ = 0;
    public static final int CMD_WRITE = 1;
    public static final int CMD_DISC = 2;
    public static final int CMD_FLUSH = 3;
    public static final int CMD_TRIM = 4;
    public static final int CMD_CACHE = 5;
    public static final int CMD_WRITE_ZEROES = 6;
    public static final int CMD_BLOCK_STATUS = 7;

    public static final int FLAG_FUA = 1;
    public static final int FLAG_NO_HOLE = 1 << 1;
    public static final int FLAG_DF = 1 << 2;
    public static final int FLAG_REQ_ONE = 1 << 3;

    public static final int CHUNK_DONE = 1;
    public static final int CHUNK_NONE = 0;
    public static final int CHUNK_DATA = 1;
    public static final int CHUNK_HOLE = 2;
    public static final int CHUNK_BLOCK_STATUS = 5;
    public static final int CHUNK_ERROR = 1 << 15 | 1;
    public static final int CHUNK_ERROR_OFFSET = 1 << 15 | 2;

    public static final int EPERM = 1;
    public static final int EIO = 5;
    public static final int ENOMEM = 12;
    public static final int EINVAL = 22;
    public static final int ENOSPC = 28;
    public static final int EOVERFLOW = 75;
    public static final int ENOTSUP = 95;
    public static final int ESHUTDOWN = 108;

    // Status flags of the metadata context base:allocation.

    public static final int STATE_HOLE = 1;

    public static final int STATE_ZERO = 2;
    public static final String BASE_ALLOCATION = "base:allocation";

    /** Maximum length of names and descriptions, in bytes of UTF-8. */
    public static final int MAX_STRING_BYTES = 4096;
    /** Maximum payload of a request unless client and server have negotiated block sizes. */
    public static final int DEFAULT_MAX_PAYLOAD = 32 << 20;

    private Nbd() {}
}
