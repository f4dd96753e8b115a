package garnetreel.net;

import garnetreel.core.io.NetEvent;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * One connection. What is read is handed over in pieces, a few at a time: a machine that is behind is not sent more.
 * Writes are tried at the end of a turn, as most fit into the socket at once; what does not fit goes when the socket
 * has room.
 */
final class Wire {
    /** Pieces read and not yet handled by the machine; past it the socket is not read. */
    static final int CREDITS = 4;
    /** Largest piece; also the size of an I/O thread's buffer. */
    static final int PIECE = 128 << 10;
    private static final int GATHER = 64;
    private static final ThreadLocal<ByteBuffer> BUFFER = ThreadLocal.withInitial(
            () -> ByteBuffer.allocateDirect(PIECE));

    final long conn;
    private final Inbox inbox;
    private final StreamConnection stream;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    /** All below is guarded by this object's lock. */
    private int credits = CREDITS;
    private boolean wanted = true;
    private boolean ended;
    private boolean closing;
    private boolean writing;
    private int drained;

    Wire(long conn, StreamConnection stream, Inbox inbox) {
        this.conn = conn;
        this.inbox = inbox;
        this.stream = stream;
        this.source = stream.getSourceChannel();
        this.sink = stream.getSinkChannel();
    }

    void start() {
        source.setReadListener(any -> readable());
        sink.setWriteListener(any -> writable());
        source.resumeReads();
    }

    // ---------------------------------------------------------------- reading

    private void readable() {
        ByteBuffer buffer = BUFFER.get();
        while (true) {
            synchronized (this) {
                if (ended || !wanted || credits == 0) {
                    source.suspendReads();
                    return;
                }
            }
            buffer.clear();
            int got;
            try {
                got = source.read(buffer);
            } catch (IOException e) {
                over(e.getMessage());
                return;
            }
            if (got == 0) {
                return;
            }
            if (got < 0) {
                over("closed by the peer");
                return;
            }
            ByteBuffer piece = ByteBuffer.allocate(got);
            piece.put(buffer.flip()).flip();
            synchronized (this) {
                if (ended) {
                    return;
                }
                credits--;
            }
            inbox.add(new NetEvent.Received(conn, piece));
        }
    }

    /** The machine has handled a piece. */
    void handled() {
        synchronized (this) {
            if (credits++ == 0 && wanted && !ended) {
                source.resumeReads();
            }
        }
    }

    /** Whether the machine wants to be told more. */
    void reading(boolean on) {
        synchronized (this) {
            wanted = on;
            if (on && credits > 0 && !ended) {
                source.resumeReads();
            }
        }
    }

    // ---------------------------------------------------------------- writing

    void write(ByteBuffer data) {
        synchronized (this) {
            if (!ended && !closing) {
                out.add(data);
            }
        }
    }

    /** Writes what fits; called once after a turn that wrote. Gives the bytes that have left since it was last asked. */
    int flush() {
        synchronized (this) {
            if (!writing && !ended) {
                push();
            }
            return takeDrained();
        }
    }

    private int takeDrained() {
        int bytes = drained;
        drained = 0;
        return bytes;
    }

    private void writable() {
        int bytes;
        synchronized (this) {
            if (ended) {
                sink.suspendWrites();
                return;
            }
            push();
            bytes = takeDrained();
        }
        if (bytes > 0) {
            inbox.add(new NetEvent.Drained(conn, bytes));
        }
    }

    /** Writes until the socket is full or nothing is left; only under the lock. */
    private void push() {
        try {
            while (!out.isEmpty()) {
                ByteBuffer[] some = new ByteBuffer[Math.min(GATHER, out.size())];
                int count = 0;
                for (ByteBuffer one : out) {
                    if (count == some.length) {
                        break;
                    }
                    some[count++] = one;
                }
                long wrote = count == 1 ? writePart(some[0]) : sink.write(some, 0, count);
                drained += (int) wrote;
                while (!out.isEmpty() && !out.peek().hasRemaining()) {
                    out.poll();
                }
                if (wrote == 0) {
                    break;
                }
            }
            if (!out.isEmpty()) {
                if (!writing) {
                    writing = true;
                    sink.resumeWrites();
                }
            } else {
                if (writing) {
                    writing = false;
                    sink.suspendWrites();
                }
                if (closing) {
                    ended = true;
                    sink.shutdownWrites();
                    sink.flush();
                    IoUtils.safeClose(stream);
                }
            }
        } catch (IOException e) {
            over(e.getMessage());
        }
    }

    /** Writes a part that a direct buffer of the JDK's may copy: it makes one as large as what it is given, and keeps it. */
    private int writePart(ByteBuffer data) throws IOException {
        int limit = data.limit();
        data.limit(Math.min(limit, data.position() + PIECE));
        try {
            return sink.write(data);
        } finally {
            data.limit(limit);
        }
    }

    // ---------------------------------------------------------------- the end

    /** The machine ends the connection. */
    void close(boolean abort) {
        synchronized (this) {
            if (ended || closing) {
                return;
            }
            closing = true;
            if (abort) {
                ended = true;
                out.clear();
                IoUtils.safeClose(stream);
            } else if (!writing) {
                push();
            }
        }
    }

    /** The connection ended by itself. */
    private void over(String why) {
        boolean tell;
        synchronized (this) {
            tell = !ended && !closing;
            ended = true;
            out.clear();
        }
        IoUtils.safeClose(stream);
        if (tell) {
            inbox.add(new NetEvent.Closed(conn, true, why == null ? "broken" : why));
        }
    }
}
