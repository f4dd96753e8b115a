package garnetreel.codec.nbd;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;

/**
 * Parses requests of the transmission phase in two steps, so that the caller can delay reading a payload until there is
 * capacity for it: {@link #readHeader} first, then, for a write, {@link #readPayload} until it is complete. One
 * instance per connection.
 */
public final class NbdRequestParser {
    private static final int HEADER_BYTES = 28;
    private static final int TYPE_OFFSET = 6;
    private static final int LENGTH_OFFSET = 24;
    /**
     * Maximum payload that is skipped so that its request can be answered with an error; a longer one is a protocol
     * error.
     */
    public static final int MAX_SKIPPED_BYTES = 64 << 20;

    /** Header of a request. */
    public record Header(int flags, int type, long cookie, long offset, long length) {}

    private byte[] payload;
    private int receivedBytes;
    private long bytesToSkip;

    /** The next header, or null until it has been received completely. To be called between requests only. */
    public Header readHeader(ByteQueue in) throws ProtocolException {
        if (in.size() >= 4 && (int) in.peekInt(0, 4) != Nbd.REQUEST_MAGIC) {
            throw new ProtocolException("invalid request magic 0x" + Long.toHexString(in.peekInt(0, 4)));
        }
        if (in.size() < HEADER_BYTES) {
            return null;
        }
        in.skip(4);
        return new Header(in.takeU16(), in.takeU16(), in.takeLong(), in.takeLong(), in.takeU32());
    }

    /** Number of requests that are complete in {@code in}, up to the first that is not; consumes nothing. */
    public static int countRequests(ByteQueue in) {
        int count = 0;
        long end = 0;
        while (in.size() - end >= HEADER_BYTES && (int) in.peekInt((int) end, 4) == Nbd.REQUEST_MAGIC) {
            boolean hasPayload = in.peekInt((int) end + TYPE_OFFSET, 2) == Nbd.CMD_WRITE;
            end += HEADER_BYTES + (hasPayload ? in.peekInt((int) end + LENGTH_OFFSET, 4) : 0);
            count += end <= in.size() ? 1 : 0;
        }
        return count;
    }

    /** Begins a payload to be kept. */
    public void beginPayload(int length) {
        payload = new byte[length];
        receivedBytes = 0;
    }

    /** Begins a payload to be skipped, as its request is answered with an error. */
    public void skipPayload(long length) throws ProtocolException {
        if (length > MAX_SKIPPED_BYTES) {
            throw new ProtocolException(
                    "payload of " + length + " bytes exceeds the maximum of " + MAX_SKIPPED_BYTES + " bytes");
        }
        payload = null;
        bytesToSkip = length;
    }

    /** Consumes received bytes of the payload; true once it is complete. */
    public boolean readPayload(ByteQueue in) {
        if (payload == null) {
            bytesToSkip -= in.skip((int) bytesToSkip);
            return bytesToSkip == 0;
        }
        receivedBytes += in.take(payload, receivedBytes, payload.length - receivedBytes);
        return receivedBytes == payload.length;
    }

    /** Number of bytes received of the payload that is kept. */
    public int receivedPayloadBytes() {
        return receivedBytes;
    }

    /** Removes and returns the payload; null if it was skipped. */
    public byte[] takePayload() {
        byte[] complete = payload;
        payload = null;
        return complete;
    }
}
