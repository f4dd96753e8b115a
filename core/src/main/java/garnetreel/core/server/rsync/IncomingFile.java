package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.core.Volume;
import garnetreel.files.FileEntry;
import garnetreel.files.FileEntry.Piece;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One file as its contents come: literals and blocks of the stored version, put together, summed, and written durably to
 * room of its own. After an error the rest is read past, so that the stream can be followed.
 */
final class IncomingFile {
    private static final int WRITE = 128 << 10;
    private static final int WRITES_OUT = 4;
    /** Longest literal taken; clients send 32 KiB at a time. */
    private static final int LITERAL_MOST = 1 << 20;

    private final RsyncSession session;
    private final String module;
    private final Volume volume;
    private final FileEntry basis;
    private final int count;
    private final int block;
    private final int rest;
    private final MessageDigest md5 = Checksums.md5();
    private final List<Piece> pieces = new ArrayList<>();
    private final byte[] buffer = new byte[WRITE];
    private int filled;
    private long size;
    private int literal;
    private boolean reading;
    private boolean ended;
    private byte[] expected;
    private byte[] sum;
    private String error;
    private boolean kept;

    IncomingFile(RsyncSession session, String module, FileItem item, FileEntry basis, int count, int block, int rest)
            throws ProtocolException {
        this.session = session;
        this.module = module;
        this.volume = session.front.files.volume(module);
        this.basis = basis;
        this.count = count;
        this.block = block;
        this.rest = rest;
        if (count > 0 && (basis == null || (long) (count - 1) * block + (rest == 0 ? block : rest) != basis.size())) {
            throw new ProtocolException("blocks of a file that has none, or others: " + item.name());
        }
    }

    /** Goes one token on; false when bytes or blocks are waited for. */
    boolean step() throws RsyncIn.Short, ProtocolException {
        if (reading || error == null && session.blocks.out() >= WRITES_OUT) {
            return false;
        }
        if (ended) {
            return expected == null ? last() : session.blocks.out() == 0;
        }
        if (literal > 0) {
            int part = Math.min(literal, Math.min(session.in.size(), WRITE - filled));
            if (part == 0) {
                return false;
            }
            add(session.in.take(part));
            literal -= part;
            return true;
        }
        int token = session.in.i32();
        if (token > LITERAL_MOST) {
            throw new ProtocolException("a literal of " + token + " bytes");
        }
        if (token > 0) {
            literal = token;
        } else if (token == 0) {
            ended = true;
        } else {
            copy(-(token + 1));
        }
        return true;
    }

    private boolean last() throws RsyncIn.Short {
        expected = session.in.take(16);
        sum = md5.digest();
        if (filled > 0) {
            write();
        }
        return true;
    }

    private void copy(int index) throws ProtocolException {
        if (index >= count) {
            throw new ProtocolException("block " + index + " of " + count);
        }
        int length = index == count - 1 && rest > 0 ? rest : block;
        read((long) index * block, length);
    }

    private void read(long offset, int length) {
        if (error != null) {
            return;
        }
        Piece piece = basis.locate(offset, length);
        reading = true;
        session.blocks.read(volume, piece.offset(), (int) piece.length(), done -> {
            reading = false;
            if (!done.ok()) {
                error = "the stored version can't be read: " + done.error();
            } else {
                byte[] bytes = new byte[done.data().remaining()];
                done.data().duplicate().get(bytes);
                add(bytes);
                if (piece.length() < length) {
                    read(offset + piece.length(), length - (int) piece.length());
                }
            }
            session.pump();
        });
    }

    private void add(byte[] bytes) {
        md5.update(bytes);
        for (int at = 0; at < bytes.length; ) {
            int part = Math.min(WRITE - filled, bytes.length - at);
            System.arraycopy(bytes, at, buffer, filled, part);
            filled += part;
            at += part;
            if (filled == WRITE) {
                write();
            }
        }
    }

    private void write() {
        byte[] data = Arrays.copyOf(buffer, filled);
        filled = 0;
        if (error != null) {
            return;
        }
        List<Piece> room = session.front.files.catalogue().reserve(module, data.length);
        if (room == null) {
            error = "No space left on device (28)";
            return;
        }
        size += data.length;
        int at = 0;
        for (Piece piece : room) {
            pieces.add(piece);
            byte[] part = Arrays.copyOfRange(data, at, at + (int) piece.length());
            at += part.length;
            session.blocks.write(volume, piece.offset(), part, done -> {
                if (!done.ok() && error == null) {
                    error = done.error();
                }
                session.pump();
            });
        }
    }

    /** All has come, and nothing is being written any more. */
    boolean complete() {
        return expected != null && session.blocks.out() == 0;
    }

    String error() {
        return error;
    }

    boolean matches() {
        return Arrays.equals(expected, sum);
    }

    byte[] sum() {
        return sum;
    }

    long size() {
        return size;
    }

    /** The contents' places, which from now on are somebody else's to give back. Neighbours become one. */
    List<Piece> keep() {
        kept = true;
        List<Piece> joined = new ArrayList<>();
        for (Piece piece : pieces) {
            Piece last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (last != null && last.offset() + last.length() == piece.offset()) {
                joined.set(joined.size() - 1, new Piece(last.offset(), last.length() + piece.length()));
            } else {
                joined.add(piece);
            }
        }
        return joined;
    }

    /** The contents are not kept: their room is given back, after a rest where a write may still be on its way. */
    void discard() {
        if (kept) {
            return;
        }
        kept = true;
        if (session.blocks.unsettled()) {
            session.front.files.releaseLater(module, pieces);
        } else {
            session.front.files.catalogue().release(module, pieces);
        }
    }
}
