package garnetreel.codec.http;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Reads one message body: of a known length, chunked, or delimited by the end of the connection. In the last case the
 * caller has to know whether the connection was closed properly, which alone makes the body complete. The buffered
 * bytes are bounded.
 */
final class BodyReader {
    /** Limit of a chunk-size or trailer line; sizes have at most 8 digits, and the peers send no chunk extensions. */
    private static final int MAX_LINE_LENGTH = 256;

    private static final int MAX_TRAILERS = 16;
    private static final int MAX_SIZE_DIGITS = 8;
    private static final byte[] EMPTY = {};

    private enum State {
        DATA,
        UNTIL_CLOSE,
        CHUNK_LINE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private final int maxBytes;
    private final StringBuilder line = new StringBuilder();
    /** Grows with the bytes received, not with the announced length. */
    private byte[] body = EMPTY;

    private int size;
    private State state;
    private long remaining;
    private int trailers;

    private BodyReader(State state, long remaining, int maxBytes) throws ProtocolException {
        if (state == State.DATA && remaining > maxBytes) {
            throw new ProtocolException("body of " + remaining + " bytes, " + maxBytes + " at most");
        }
        this.state = state == State.DATA && remaining == 0 ? State.DONE : state;
        this.remaining = remaining;
        this.maxBytes = maxBytes;
    }

    static BodyReader ofLength(long length, int maxBytes) throws ProtocolException {
        return new BodyReader(State.DATA, length, maxBytes);
    }

    static BodyReader chunked(int maxBytes) throws ProtocolException {
        return new BodyReader(State.CHUNK_LINE, 0, maxBytes);
    }

    static BodyReader untilClose(int maxBytes) throws ProtocolException {
        return new BodyReader(State.UNTIL_CLOSE, Long.MAX_VALUE, maxBytes);
    }

    boolean endsWithConnection() {
        return state == State.UNTIL_CLOSE;
    }

    /** Consumes the bytes that belong to the body; true once it is complete. */
    boolean read(ByteBuffer in) throws ProtocolException {
        while (state != State.DONE && in.hasRemaining()) {
            switch (state) {
                case DATA, CHUNK_DATA -> {
                    remaining -= append(in, remaining);
                    if (remaining == 0) {
                        state = state == State.DATA ? State.DONE : State.CHUNK_END;
                    }
                }
                case UNTIL_CLOSE -> append(in, Long.MAX_VALUE);
                default -> {
                    if (readLine(in)) {
                        handleLine(line.toString());
                        line.setLength(0);
                    }
                }
            }
        }
        return state == State.DONE;
    }

    private long append(ByteBuffer in, long wanted) throws ProtocolException {
        int count = (int) Math.min(in.remaining(), wanted);
        int newSize = size + count;
        if (newSize > maxBytes) {
            throw new ProtocolException("body of more than " + maxBytes + " bytes");
        }
        if (newSize > body.length) {
            long limit = state == State.DATA ? size + wanted : maxBytes;
            body = Arrays.copyOf(body, (int) Math.min(limit, Math.max(newSize, 2L * body.length)));
        }
        in.get(body, size, count);
        size = newSize;
        return count;
    }

    private boolean readLine(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            char next = (char) (in.get() & 0xff);
            boolean afterReturn = line.length() > 0 && line.charAt(line.length() - 1) == '\r';
            if (afterReturn != (next == '\n') || line.length() == MAX_LINE_LENGTH) {
                throw new ProtocolException("line of a chunked body is too long or does not end with CRLF");
            }
            if (next == '\n') {
                line.setLength(line.length() - 1);
                return true;
            }
            line.append(next);
        }
        return false;
    }

    private void handleLine(String text) throws ProtocolException {
        if (state == State.CHUNK_END) {
            if (!text.isEmpty()) {
                throw new ProtocolException("chunk is longer than its size");
            }
            state = State.CHUNK_LINE;
        } else if (state == State.CHUNK_LINE) {
            int semicolon = text.indexOf(';');
            remaining = parseSize((semicolon < 0 ? text : text.substring(0, semicolon)).strip());
            state = remaining == 0 ? State.TRAILERS : State.CHUNK_DATA;
        } else if (text.isEmpty()) {
            state = State.DONE;
        } else if (++trailers > MAX_TRAILERS) {
            throw new ProtocolException("more than " + MAX_TRAILERS + " trailers");
        }
    }

    private static long parseSize(String digits) throws ProtocolException {
        if (digits.isEmpty()
                || digits.length() > MAX_SIZE_DIGITS
                || !digits.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 0x80)) {
            throw new ProtocolException("invalid chunk size");
        }
        return Long.parseLong(digits, 16);
    }

    /** Number of bytes received and not taken yet. */
    int bufferedBytes() {
        return size;
    }

    /** Memory that the body takes so far, in bytes. */
    int heldBytes() {
        return body.length;
    }

    /** Removes and returns the bytes received so far. */
    byte[] take() {
        byte[] bytes = size == body.length ? body : Arrays.copyOf(body, size);
        body = EMPTY;
        size = 0;
        return bytes;
    }
}
