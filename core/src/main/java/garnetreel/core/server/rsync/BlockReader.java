package garnetreel.core.server.rsync;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.Volume;
import garnetreel.core.request.BlockBackend;
import garnetreel.core.request.BlockBackend.ReplyStatus;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads and writes of one session through the head's desk. What is refused is asked for again after the time that the
 * refusal names, as a new request, within a stated patience; so is a read or a write that failed, since a file's room is
 * nobody else's and the bytes are the same.
 */
final class BlockReader {
    /** Time for which one block is asked for again before its file ends with an error. */
    static final long PATIENCE = 30_000_000;
    /** The least rest between two tries of a block. */
    private static final long REST = 20_000;

    /** How a block ended: its bytes for a read (empty for a write), or why not. */
    record Done(ByteBuffer data, String error) {
        boolean ok() {
            return error == null;
        }
    }

    private final class Ask implements BlockBackend.Callback {
        final Volume volume;
        final Op op;
        final long offset;
        final int length;
        final byte[] data;
        final long until;
        final Consumer<Done> done;
        BlockBackend.OperationHandle ticket;
        boolean answered;

        Ask(Volume volume, Op op, long offset, int length, byte[] data, Consumer<Done> done) {
            this.volume = volume;
            this.op = op;
            this.offset = offset;
            this.length = length;
            this.data = data;
            this.until = front.time() + PATIENCE;
            this.done = done;
        }

        void go() {
            answered = false;
            asks.add(this);
            BlockBackend.OperationHandle taken =
                    front.backend.submit(volume, op, offset, length, data, op == Op.WRITE, front.nextTag(), this);
            ticket = answered ? null : taken;
        }

        @Override
        public void completed(BlockBackend.Reply answer) {
            answered = true;
            ticket = null;
            asks.remove(this);
            if (answer.status() == ReplyStatus.SERVED) {
                done.accept(new Done(answer.data() == null ? ByteBuffer.allocate(0) : answer.data(), null));
                return;
            }
            unsettled |= op == Op.WRITE && answer.status() == ReplyStatus.FAILED;
            long rest = Math.max(REST, answer.status() == ReplyStatus.REJECTED ? answer.retryAfter() : REST);
            if (front.time() + rest >= until) {
                done.accept(new Done(null, answer.message()));
                return;
            }
            waiting.add(this);
            front.later(rest, () -> {
                if (waiting.remove(this)) {
                    go();
                }
            });
        }
    }

    private final RsyncServer front;
    private final Set<Ask> asks = new LinkedHashSet<>();
    private final Set<Ask> waiting = new LinkedHashSet<>();
    private boolean unsettled;

    BlockReader(RsyncServer front) {
        this.front = front;
    }

    void read(Volume volume, long offset, int length, Consumer<Done> done) {
        new Ask(volume, Op.READ, offset, length, null, done).go();
    }

    /** Writes durably. */
    void write(Volume volume, long offset, byte[] data, Consumer<Done> done) {
        new Ask(volume, Op.WRITE, offset, data.length, data, done).go();
    }

    /** Blocks under way. */
    int out() {
        return asks.size() + waiting.size();
    }

    /** Whether a write of this session may still take effect, though nobody waits for it. */
    boolean unsettled() {
        return unsettled;
    }

    /** Nobody waits any more. */
    void abandon() {
        waiting.clear();
        for (Ask ask : List.copyOf(asks)) {
            unsettled |= ask.op == Op.WRITE;
            if (ask.ticket != null) {
                front.backend.abandon(ask.ticket);
            }
        }
        asks.clear();
    }
}
