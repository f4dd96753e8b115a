package garnetreel.codec.rsync;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;

/** Demultiplexes frames: passes data on and delivers messages. */
public final class MultiplexedFrames {
    /** Longest message in bytes; data frames are limited only by their 24-bit length, as they are passed on in pieces. */
    private static final int MAX_MESSAGE_LENGTH = 64 << 10;

    /** Receives the messages of the peer. */
    public interface MessageHandler {
        /** A message has arrived. */
        void message(int kind, byte[] body) throws ProtocolException;
    }

    private final RsyncIn input = new RsyncIn();
    private int kind;
    private int remaining;

    /** Processes bytes received from the socket; the contents of data frames are added to {@code data}. */
    public void add(ByteBuffer bytes, RsyncIn data, MessageHandler messageHandler) throws ProtocolException {
        input.add(bytes);
        try {
            while (input.size() > 0) {
                if (remaining == 0) {
                    input.mark();
                    int header = input.i32();
                    kind = (header >>> 24) - Rsync.KIND_BASE;
                    remaining = header & Rsync.MAX_FRAME_LENGTH;
                    if (kind < 0 || kind != Rsync.DATA && remaining > MAX_MESSAGE_LENGTH) {
                        throw new ProtocolException("a frame of kind " + kind + " and " + remaining + " bytes");
                    }
                    if (remaining == 0 && kind != Rsync.DATA) {
                        messageHandler.message(kind, new byte[0]);
                    }
                } else if (kind == Rsync.DATA) {
                    int chunk = Math.min(remaining, input.size());
                    input.mark();
                    data.add(ByteBuffer.wrap(input.take(chunk)));
                    remaining -= chunk;
                } else {
                    input.mark();
                    byte[] body = input.take(remaining);
                    remaining = 0;
                    messageHandler.message(kind, body);
                }
            }
        } catch (RsyncIn.IncompleteInputException e) {
            input.reset();
        }
    }
}
