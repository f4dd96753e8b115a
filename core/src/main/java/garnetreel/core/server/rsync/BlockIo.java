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
 * Reads and writes of volume data by one session. A rejected operation is retried as a new request after the delay that
 * the rejection gives, until a time-out. Failed reads and writes are retried as well: the space belongs to one file,
 * and a repeated write carries the same bytes.
 */
final class BlockIo {
    /** Time during which an operation is retried; after it the transfer of the file fails. */
    static final long RETRY_TIMEOUT_US = 30_000_000;
    /** Minimum delay between two attempts of an operation. */
    private static final long MIN_RETRY_DELAY_US = 20_000;

    /** Result of an operation: the bytes read (none for a write), or the error text. */
    record Result(ByteBuffer data, String error) {
        boolean ok() {
            return error == null;
        }
    }

    private final class Operation implements BlockBackend.Callback {
        final Volume volume;
        final Op op;
        final long offset;
        final int length;
        final byte[] data;
        final long retryDeadline;
        final Consumer<Result> callback;
        BlockBackend.OperationHandle handle;
        boolean replied;

        Operation(Volume volume, Op op, long offset, int length, byte[] data, Consumer<Result> callback) {
            this.volume = volume;
            this.op = op;
            this.offset = offset;
            this.length = length;
            this.data = data;
            this.retryDeadline = server.time() + RETRY_TIMEOUT_US;
            this.callback = callback;
        }

        void submit() {
            replied = false;
            inProgress.add(this);
            BlockBackend.OperationHandle submitted =
                    server.backend.submit(volume, op, offset, length, data, op == Op.WRITE, server.nextTag(), this);
            handle = replied ? null : submitted;
        }

        @Override
        public void completed(BlockBackend.Reply reply) {
            replied = true;
            handle = null;
            inProgress.remove(this);
            if (reply.status() == ReplyStatus.SERVED) {
                callback.accept(new Result(reply.data() == null ? ByteBuffer.allocate(0) : reply.data(), null));
                return;
            }
            long delay = Math.max(
                    MIN_RETRY_DELAY_US,
                    reply.status() == ReplyStatus.REJECTED ? reply.retryAfter() : MIN_RETRY_DELAY_US);
            if (server.time() + delay >= retryDeadline) {
                callback.accept(new Result(null, reply.message()));
                return;
            }
            awaitingRetry.add(this);
            server.schedule(delay, () -> {
                if (awaitingRetry.remove(this)) {
                    submit();
                }
            });
        }
    }

    private final RsyncServer server;
    private final Set<Operation> inProgress = new LinkedHashSet<>();
    private final Set<Operation> awaitingRetry = new LinkedHashSet<>();

    BlockIo(RsyncServer server) {
        this.server = server;
    }

    void read(Volume volume, long offset, int length, Consumer<Result> callback) {
        new Operation(volume, Op.READ, offset, length, null, callback).submit();
    }

    /** Writes data; the result is given once it is durable. */
    void write(Volume volume, long offset, byte[] data, Consumer<Result> callback) {
        new Operation(volume, Op.WRITE, offset, data.length, data, callback).submit();
    }

    /** Number of operations in progress or awaiting a retry. */
    int outstanding() {
        return inProgress.size() + awaitingRetry.size();
    }

    /** Abandons all operations; no callback is invoked any more. */
    void abandon() {
        awaitingRetry.clear();
        for (Operation operation : List.copyOf(inProgress)) {
            if (operation.handle != null) {
                server.backend.abandon(operation.handle);
            }
        }
        inProgress.clear();
    }
}
