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

    void add(ReplyChunk piece) {
        if (piece.error() != 0) {
            error = piece.error();
            message = piece.message();
        } else if (piece.data() != null) {
            int position = (int) (piece.offset() - request.offset);
            System.arraycopy(piece.data(), 0, data, position, piece.data().length);
        }
    }
}
