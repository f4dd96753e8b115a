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
 * A file being received: assembles literals and blocks of the basis file, computes the checksum, and writes the contents
 * durably to newly reserved space. After an error the rest of the file is read and discarded to stay in sync with the
 * token stream.
 */
final class IncomingFile {
    private static final int WRITE_LENGTH = 128 << 10;
    /** Number of reads and writes of the session in progress from which no further token is processed. */
    private static final int MAX_OUTSTANDING_OPERATIONS = 4;

    /** Largest literal accepted in bytes; rsync clients send 32 KiB at a time. */
    private static final int MAX_ACCEPTED_LITERAL_LENGTH = 1 << 20;

    private final RsyncSession session;
    private final String module;
    private final Volume volume;
    private final FileEntry basis;
    private final int blockCount;
    private final int blockLength;
    private final int lastBlockLength;
    private final MessageDigest md5 = Checksums.md5();
    private final List<Piece> pieces = new ArrayList<>();
    private final byte[] buffer = new byte[WRITE_LENGTH];
    private int buffered;
    private long size;
    private int literalLeft;
    private boolean basisReadPending;
    private boolean endTokenRead;
    private byte[] expectedSum;
    private byte[] actualSum;
    private String error;
    private boolean spaceSettled;
    private int writesAwaitingIntents;

    IncomingFile(
            RsyncSession session,
            String module,
            FileItem item,
            FileEntry basis,
            int blockCount,
            int blockLength,
            int lastBlockLength)
            throws ProtocolException {
        this.session = session;
        this.module = module;
        this.volume = session.server.files.volume(module);
        this.basis = basis;
        this.blockCount = blockCount;
        this.blockLength = blockLength;
        this.lastBlockLength = lastBlockLength;
        if (blockCount > 0
                && (basis == null
                        || (long) (blockCount - 1) * blockLength
                                        + (lastBlockLength == 0 ? blockLength : lastBlockLength)
                                != basis.size())) {
            throw new ProtocolException("blocks of a file that has none, or others: " + item.name());
        }
    }

    /** Number of reads and writes in progress, or that wait until they may be sent. */
    private int outstanding() {
        return session.blockIo.outstanding() + writesAwaitingIntents;
    }

    /** Processes the next token or part of a literal; false while it waits for input or block operations. */
    boolean step() throws RsyncIn.IncompleteInputException, ProtocolException {
        if (basisReadPending || error == null && outstanding() >= MAX_OUTSTANDING_OPERATIONS) {
            return false;
        }
        if (endTokenRead) {
            return expectedSum == null ? readFileSum() : outstanding() == 0;
        }
        if (literalLeft > 0) {
            int chunk = Math.min(literalLeft, Math.min(session.in.size(), WRITE_LENGTH - buffered));
            if (chunk == 0) {
                return false;
            }
            append(session.in.take(chunk));
            literalLeft -= chunk;
            return true;
        }
        int token = session.in.i32();
        if (token > MAX_ACCEPTED_LITERAL_LENGTH) {
            throw new ProtocolException("a literal of " + token + " bytes");
        }
        if (token > 0) {
            literalLeft = token;
        } else if (token == 0) {
            endTokenRead = true;
        } else {
            copyBlock(-(token + 1));
        }
        return true;
    }

    private boolean readFileSum() throws RsyncIn.IncompleteInputException {
        expectedSum = session.in.take(16);
        actualSum = md5.digest();
        if (buffered > 0) {
            flushBuffer();
        }
        return true;
    }

    private void copyBlock(int index) throws ProtocolException {
        if (index >= blockCount) {
            throw new ProtocolException("block " + index + " of " + blockCount);
        }
        int length = index == blockCount - 1 && lastBlockLength > 0 ? lastBlockLength : blockLength;
        readBasis((long) index * blockLength, length);
    }

    private void readBasis(long offset, int length) {
        if (error != null) {
            return;
        }
        Piece piece = basis.locate(offset, length);
        basisReadPending = true;
        session.blockIo.read(volume, piece.offset(), (int) piece.length(), result -> {
            basisReadPending = false;
            if (!result.ok()) {
                error = "the stored version can't be read: " + result.error();
            } else {
                byte[] bytes = new byte[result.data().remaining()];
                result.data().duplicate().get(bytes);
                append(bytes);
                if (piece.length() < length) {
                    readBasis(offset + piece.length(), length - (int) piece.length());
                }
            }
            session.pump();
        });
    }

    private void append(byte[] bytes) {
        md5.update(bytes);
        for (int position = 0; position < bytes.length; ) {
            int chunk = Math.min(WRITE_LENGTH - buffered, bytes.length - position);
            System.arraycopy(bytes, position, buffer, buffered, chunk);
            buffered += chunk;
            position += chunk;
            if (buffered == WRITE_LENGTH) {
                flushBuffer();
            }
        }
    }

    private void flushBuffer() {
        byte[] data = Arrays.copyOf(buffer, buffered);
        buffered = 0;
        if (error != null) {
            return;
        }
        List<Piece> space = session.server.files.reserve(module, data.length);
        if (space == null) {
            error = session.server.files.noSpaceMessage();
            return;
        }
        size += data.length;
        pieces.addAll(space);
        writesAwaitingIntents++;
        session.server.files.whenWritable(module, space, () -> {
            writesAwaitingIntents--;
            if (!spaceSettled) { // else the client has disconnected
                write(space, data);
            }
        });
    }

    private void write(List<Piece> space, byte[] data) {
        int position = 0;
        for (Piece piece : space) {
            byte[] chunk = Arrays.copyOfRange(data, position, position + (int) piece.length());
            position += chunk.length;
            session.blockIo.write(volume, piece.offset(), chunk, result -> {
                if (!result.ok() && error == null) {
                    error = result.error();
                }
                session.pump();
            });
        }
    }

    /** Whether the whole file has been received and no write is outstanding. */
    boolean isComplete() {
        return expectedSum != null && outstanding() == 0;
    }

    String error() {
        return error;
    }

    boolean sumMatches() {
        return Arrays.equals(expectedSum, actualSum);
    }

    byte[] actualSum() {
        return actualSum;
    }

    long size() {
        return size;
    }

    /** Hands over the pieces that hold the contents, adjacent ones merged; from now on the caller has to release them. */
    List<Piece> takePieces() {
        spaceSettled = true;
        List<Piece> joined = new ArrayList<>();
        for (Piece piece : pieces) {
            Piece previous = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (previous != null && previous.offset() + previous.length() == piece.offset()) {
                joined.set(joined.size() - 1, new Piece(previous.offset(), previous.length() + piece.length()));
            } else {
                joined.add(piece);
            }
        }
        return joined;
    }

    /** Discards the contents and releases their space. */
    void discard() {
        if (!spaceSettled) {
            spaceSettled = true;
            session.server.files.catalogue().release(module, pieces);
        }
    }
}
