package garnetreel.core.server;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.nbd.HandshakeParser;
import garnetreel.codec.nbd.Nbd;

/** The handshake of one connection: the client's flags, then its options, each answered when it is complete. */
final class NbdHandshake {
    /** Maximum number of options, after which the connection is closed; clients send a few, or a few per export. */
    private static final int MAX_OPTIONS = 2048;

    private final HandshakeParser parser = new HandshakeParser();
    private final OptionHandler options;
    private boolean noZeroes;
    private int optionCount;

    NbdHandshake(OptionHandler options) {
        this.options = options;
    }

    /** Whether the client has asked not to get the padding after the reply to EXPORT_NAME. */
    boolean noZeroes() {
        return noZeroes;
    }

    /** Handles the next message; false until it has been received completely. */
    boolean advance(ByteQueue in) throws ProtocolException {
        HandshakeParser.ClientMessage message = parser.next(in);
        if (message == null) {
            return false;
        }
        if (message instanceof HandshakeParser.Flags clientFlags) {
            acceptFlags(clientFlags.flags());
            return true;
        }
        if (++optionCount > MAX_OPTIONS) {
            throw new ProtocolException("more than " + MAX_OPTIONS + " options");
        }
        options.handle((HandshakeParser.Option) message);
        return true;
    }

    private void acceptFlags(int clientFlags) throws ProtocolException {
        if ((clientFlags & ~(Nbd.FIXED_NEWSTYLE | Nbd.NO_ZEROES)) != 0) {
            throw new ProtocolException("unknown client flags 0x" + Integer.toHexString(clientFlags));
        }
        noZeroes = (clientFlags & Nbd.NO_ZEROES) != 0;
    }
}
