package garnetreel.cli.testing.driven;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.codec.node.NodeMessage.Request;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A storage node of a {@link DrivenGateway} that executes requests at once, unless a test has it hang in the next
 * writes: such a write begins at once and takes effect, and is answered, when its time is over. The node keeps what
 * was not flushed in a cache that a restart loses.
 */
final class DrivenNode {
    private final String address;
    private final int shard;
    private final byte[] cached;
    private final byte[] durable;
    private ByteQueue input = new ByteQueue();
    private final Deque<Long> hangs = new ArrayDeque<>();
    private final List<DelayedWrite> delayedWrites = new ArrayList<>();
    private final List<Op> executed = new ArrayList<>();
    private final Set<Long> writtenOffsets = new HashSet<>();
    private long incarnation = 1;

    private record DelayedWrite(long doneAt, Request request) {}

    DrivenNode(int shard, int size) {
        this.address = "127.0.0.1:" + (9_000 + shard);
        this.shard = shard;
        this.cached = new byte[size];
        this.durable = new byte[size];
    }

    String address() {
        return address;
    }

    int shard() {
        return shard;
    }

    /** The next write that has no hang yet takes this time. */
    void hangInNextWrite(long micros) {
        hangs.add(micros);
    }

    /** Operations that were executed, in order. */
    List<Op> executed() {
        return executed;
    }

    /** Whether a write to this offset was executed. */
    boolean executedAt(long offset) {
        return writtenOffsets.contains(offset);
    }

    /** Whether the node holds these bytes at an offset. */
    boolean holds(int offset, byte[] bytes) {
        return Arrays.equals(bytes, 0, bytes.length, cached, offset, offset + bytes.length);
    }

    /** Loses what was not flushed and the work in progress, and begins a new incarnation. */
    void restart() {
        System.arraycopy(durable, 0, cached, 0, durable.length);
        delayedWrites.clear();
        incarnation++;
    }

    void gatewayDisconnected() {
        input = new ByteQueue();
    }

    void received(long now, ByteBuffer data, Consumer<ByteBuffer> reply) {
        input.add(data);
        try {
            NodeMessage message;
            while ((message = NodeCodec.next(input)) != null) {
                if (message instanceof NodeMessage.Hello) {
                    reply.accept(NodeCodec.frame(new NodeMessage.Welcome(incarnation, now)));
                } else if (message instanceof NodeMessage.Probe probe) {
                    reply.accept(NodeCodec.frame(new NodeMessage.ProbeReply(probe.id(), incarnation, Map.of())));
                } else if (message instanceof Request request) {
                    handle(now, request, reply);
                }
            }
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    private void handle(long now, Request request, Consumer<ByteBuffer> reply) {
        if (request.op() == Op.WRITE && !hangs.isEmpty()) {
            delayedWrites.add(new DelayedWrite(now + hangs.poll(), request));
        } else {
            reply.accept(execute(request));
        }
    }

    /** Ends the delayed writes whose time is over. */
    void runUntil(long now, Consumer<ByteBuffer> reply) {
        for (DelayedWrite write : List.copyOf(delayedWrites)) {
            if (write.doneAt() <= now) {
                delayedWrites.remove(write);
                reply.accept(execute(write.request()));
            }
        }
    }

    private ByteBuffer execute(Request request) {
        executed.add(request.op());
        int offset = (int) request.offset();
        ByteBuffer data = NodeMessage.noData();
        switch (request.op()) {
            case WRITE -> {
                writtenOffsets.add(request.offset());
                request.data().duplicate().get(cached, offset, request.length());
                if (request.sync()) {
                    System.arraycopy(cached, offset, durable, offset, request.length());
                }
            }
            case READ -> data = ByteBuffer.wrap(Arrays.copyOfRange(cached, offset, offset + request.length()));
            case FLUSH -> System.arraycopy(cached, 0, durable, 0, cached.length);
            default -> throw new IllegalStateException("not expected: " + request.op());
        }
        return NodeCodec.frame(new NodeMessage.Answer(
                request.id(), request.attempt(), NodeMessage.Result.OK, 0, 0, incarnation, Map.of(), data));
    }
}
