package garnetreel.codec.nbd;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;

/**
 * Parses a client's handshake: its flags, then options. One instance per connection.
 *
 * <p>The data of an option longer than {@link #MAX_OPTION_BYTES} is skipped, and the option is returned without data.
 * One longer than {@link #MAX_SKIPPED_BYTES} is a protocol error, as skipping up to gigabytes would take too long.
 */
public final class HandshakeParser {
    /**
     * Maximum bytes of an option that are kept: a SET_META_CONTEXT with a name of full length and a dozen long queries.
     */
    public static final int MAX_OPTION_BYTES = 64 << 10;
    /** Maximum bytes of an option that are skipped. */
    public static final int MAX_SKIPPED_BYTES = 1 << 20;

    private static final int OPTION_HEADER_BYTES = 16;

    private enum State {
        FLAGS,
        OPTION,
        SKIP
    }

    /** A message of the client. */
    public sealed interface ClientMessage {}

    /** The client's handshake flags. */
    public record Flags(int flags) implements ClientMessage {}

    /** An option; {@code data} is null if it was too long to keep. */
    public record Option(int code, byte[] data) implements ClientMessage {}

    private State state = State.FLAGS;
    private int code;
    private int remaining;

    /** The next message, or null until it has been received completely. */
    public ClientMessage next(ByteQueue in) throws ProtocolException {
        switch (state) {
            case FLAGS -> {
                if (in.size() < 4) {
                    return null;
                }
                state = State.OPTION;
                return new Flags((int) in.takeU32());
            }
            case OPTION -> {
                if (in.size() < 8) {
                    return null;
                }
                if (in.peekInt(0, 8) != Nbd.OPTION_MAGIC) {
                    throw new ProtocolException("invalid option magic 0x" + Long.toHexString(in.peekInt(0, 8)));
                }
                if (in.size() < OPTION_HEADER_BYTES) {
                    return null;
                }
                long length = in.peekInt(12, 4);
                if (length > MAX_SKIPPED_BYTES) {
                    throw new ProtocolException(
                            "option of " + length + " bytes exceeds the maximum of " + MAX_SKIPPED_BYTES + " bytes");
                }
                if (length <= MAX_OPTION_BYTES) {
                    if (in.size() < OPTION_HEADER_BYTES + length) {
                        return null;
                    }
                    in.skip(8);
                    int option = (int) in.takeU32();
                    in.skip(4);
                    return new Option(option, in.take((int) length));
                }
                in.skip(8);
                code = (int) in.takeU32();
                remaining = (int) in.takeU32();
                state = State.SKIP;
                return next(in);
            }
            default -> {
                remaining -= in.skip(remaining);
                if (remaining > 0) {
                    return null;
                }
                state = State.OPTION;
                return new Option(code, null);
            }
        }
    }
}
