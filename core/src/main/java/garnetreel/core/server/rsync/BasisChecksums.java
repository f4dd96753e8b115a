package garnetreel.core.server.rsync;

import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.Rsync;
import garnetreel.core.Volume;
import garnetreel.files.FileEntry;
import garnetreel.files.FileEntry.Piece;
import java.security.MessageDigest;
import java.util.ArrayDeque;

/**
 * Reads the stored version of a file and writes the checksums of its blocks, so that the client sends only what it has
 * otherwise. A block that can't be read gets checksums that nothing matches: it is sent whole.
 */
final class BasisChecksums {
    private static final int READ = 128 << 10;
    private static final int READS_OUT = 4;
    /** Blocks of small files, and bounds of larger ones: about the square root of the size. */
    private static final int BLOCK_LEAST = 704;

    private static final int EIGHT = 8;

    private final RsyncSession session;
    private final Volume volume;
    private final FileEntry basis;
    private final int seed;
    private final int block;
    private final int strong;
    private final MessageDigest md5 = Checksums.md5();
    private final ArrayDeque<Object[]> reads = new ArrayDeque<>();
    private final byte[] held;
    private int filled;
    private long asked;
    private long summed;

    BasisChecksums(RsyncSession session, Volume volume, FileEntry basis, int seed) {
        this.session = session;
        this.volume = volume;
        this.basis = basis;
        this.seed = seed;
        this.block = block(basis.size());
        this.strong = strong(basis.size(), block);
        this.held = new byte[block];
        int count = (int) ((basis.size() + block - 1) / block);
        session.out.i32(count).i32(block).i32(strong).i32((int) (basis.size() % block));
    }

    static int block(long size) {
        long root = (long) Math.sqrt(size) / EIGHT * EIGHT;
        // No more blocks than a checksum header may tell.
        long least = Math.max(BLOCK_LEAST, (size >> 20) / EIGHT * EIGHT + EIGHT);
        return (int) Math.min(Rsync.BLOCK_MOST, Math.max(least, root));
    }

    /** Bytes of strong checksum that make a chance match over the whole file unlikely; the file's own sum finds the rest. */
    private static int strong(long size, int block) {
        int bits = 10 + 2 * (64 - Long.numberOfLeadingZeros(size)) - (32 - Integer.numberOfLeadingZeros(block));
        return Math.max(2, Math.min(Rsync.STRONG, (bits - 32 + 7) / 8));
    }

    /** Goes on; true when something was done. */
    boolean step() {
        boolean moved = false;
        while (asked < basis.size() && reads.size() < READS_OUT) {
            Piece piece = basis.locate(asked, READ);
            Object[] slot = {null, (int) piece.length()};
            reads.add(slot);
            asked += piece.length();
            moved = true;
            session.blocks.read(volume, piece.offset(), (int) piece.length(), done -> {
                slot[0] = done;
                session.pump();
            });
        }
        while (!reads.isEmpty() && reads.peek()[0] != null) {
            Object[] slot = reads.poll();
            BlockReader.Done done = (BlockReader.Done) slot[0];
            byte[] bytes = new byte[(int) slot[1]];
            if (done.ok()) {
                done.data().duplicate().get(bytes);
            }
            sum(bytes, done.ok());
            moved = true;
        }
        return moved;
    }

    private boolean spoiled;

    private void sum(byte[] bytes, boolean read) {
        for (int at = 0; at < bytes.length; ) {
            int part = Math.min(block - filled, bytes.length - at);
            System.arraycopy(bytes, at, held, filled, part);
            spoiled |= !read;
            filled += part;
            at += part;
            summed += part;
            if (filled == block || summed == basis.size()) {
                byte[] sum = Checksums.strong(md5, held, 0, filled, seed);
                if (spoiled) {
                    sum[0] ^= 0x5a;
                    sum[1] ^= 0x5a;
                }
                session.out.i32(Checksums.rolling(held, 0, filled)).bytes(sum, 0, strong);
                filled = 0;
                spoiled = false;
            }
        }
    }

    boolean done() {
        return summed == basis.size();
    }
}
