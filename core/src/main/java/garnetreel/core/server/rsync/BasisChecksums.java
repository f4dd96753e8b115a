package garnetreel.core.server.rsync;

import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.Rsync;
import garnetreel.core.Volume;
import garnetreel.files.FileEntry;
import garnetreel.files.FileEntry.Piece;
import java.security.MessageDigest;
import java.util.ArrayDeque;

/**
 * Reads a basis file, the stored version of a file, and sends its block checksums, so that the client sends only what
 * differs. A block that can't be read gets a checksum that does not match, so that the client sends its contents.
 */
final class BasisChecksums {
    private static final int READ_LENGTH = 128 << 10;
    private static final int MAX_OUTSTANDING_READS = 4;
    /** Block length of small files in bytes; that of larger files is about the square root of their size. */
    private static final int MIN_BLOCK_LENGTH = 704;

    private static final int BLOCK_LENGTH_MULTIPLE = 8;

    private final RsyncSession session;
    private final Volume volume;
    private final FileEntry basis;
    private final int seed;
    private final int blockLength;
    private final int strongLength;
    private final MessageDigest md5 = Checksums.md5();
    private final ArrayDeque<Object[]> pendingReads = new ArrayDeque<>();
    private final byte[] blockBuffer;
    private int blockFilled;
    private long readOffset;
    private long checksummed;

    BasisChecksums(RsyncSession session, Volume volume, FileEntry basis, int seed) {
        this.session = session;
        this.volume = volume;
        this.basis = basis;
        this.seed = seed;
        this.blockLength = blockLength(basis.size());
        this.strongLength = strongLength(basis.size(), blockLength);
        this.blockBuffer = new byte[blockLength];
        int count = (int) ((basis.size() + blockLength - 1) / blockLength);
        session.out.i32(count).i32(blockLength).i32(strongLength).i32((int) (basis.size() % blockLength));
    }

    static int blockLength(long size) {
        long root = (long) Math.sqrt(size) / BLOCK_LENGTH_MULTIPLE * BLOCK_LENGTH_MULTIPLE;
        // Keeps the number of blocks within the limit of a checksum header.
        long min = Math.max(
                MIN_BLOCK_LENGTH, (size >> 20) / BLOCK_LENGTH_MULTIPLE * BLOCK_LENGTH_MULTIPLE + BLOCK_LENGTH_MULTIPLE);
        return (int) Math.min(Rsync.MAX_BLOCK_LENGTH, Math.max(min, root));
    }

    /**
     * Length in bytes of the strong block checksum that makes a false match within the file unlikely; the checksum of the
     * whole file detects the remaining ones.
     */
    private static int strongLength(long size, int blockLength) {
        // As in rsync's sum_sizes_sqroot: 10 bits and two per bit of the size, less those of the block length, of which
        // the rolling checksum provides 32.
        int bits = 10 + 2 * (64 - Long.numberOfLeadingZeros(size)) - (32 - Integer.numberOfLeadingZeros(blockLength));
        return Math.max(2, Math.min(Rsync.STRONG_SUM_LENGTH, (bits - 32 + 7) / 8));
    }

    /** Starts reads and sends the checksums of blocks that have been read; true if there was progress. */
    boolean step() {
        boolean progressed = false;
        while (readOffset < basis.size() && pendingReads.size() < MAX_OUTSTANDING_READS) {
            Piece piece = basis.locate(readOffset, READ_LENGTH);
            Object[] slot = {null, (int) piece.length()};
            pendingReads.add(slot);
            readOffset += piece.length();
            progressed = true;
            session.blockIo.read(volume, piece.offset(), (int) piece.length(), result -> {
                slot[0] = result;
                session.pump();
            });
        }
        while (!pendingReads.isEmpty() && pendingReads.peek()[0] != null) {
            Object[] slot = pendingReads.poll();
            BlockIo.Result result = (BlockIo.Result) slot[0];
            byte[] bytes = new byte[(int) slot[1]];
            if (result.ok()) {
                result.data().duplicate().get(bytes);
            }
            addBytes(bytes, result.ok());
            progressed = true;
        }
        return progressed;
    }

    private boolean unreadable;

    private void addBytes(byte[] bytes, boolean readable) {
        for (int position = 0; position < bytes.length; ) {
            int copied = Math.min(blockLength - blockFilled, bytes.length - position);
            System.arraycopy(bytes, position, blockBuffer, blockFilled, copied);
            unreadable |= !readable;
            blockFilled += copied;
            position += copied;
            checksummed += copied;
            if (blockFilled == blockLength || checksummed == basis.size()) {
                byte[] strongSum = Checksums.strong(md5, blockBuffer, 0, blockFilled, seed);
                if (unreadable) {
                    strongSum[0] ^= 0x5a;
                    strongSum[1] ^= 0x5a;
                }
                session.out.i32(Checksums.rolling(blockBuffer, 0, blockFilled)).bytes(strongSum, 0, strongLength);
                blockFilled = 0;
                unreadable = false;
            }
        }
    }

    boolean isComplete() {
        return checksummed == basis.size();
    }
}
