package garnetreel.testbed.client;

import garnetreel.codec.nbd.NbdClientCodec.ReplyChunk;

/** One attempt of a request, and the part of its reply that has arrived. */
final class LoadAttempt {
    final LoadRequest request;
    /** The data read; null for operations that read none. */
    final byte[] data;

    int error;
    String message = "";

    LoadAttempt(LoadRequest request) {
        this.request = request;
        this.data = request.operation.isRead() ? new byte[request.length] : null;
    }

    void add(ReplyChunk chunk) {
        if (chunk.error() != 0) {
            error = chunk.error();
            message = chunk.message();
        } else if (chunk.data() != null) {
            int position = (int) (chunk.offset() - request.offset);
            System.arraycopy(chunk.data(), 0, data, position, chunk.data().length);
        }
    }
}
