package garnetreel.codec.rsync;

import garnetreel.codec.ProtocolException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes a delta: searches new contents, which are added in pieces, for blocks of a basis file, and writes literals
 * and block references. Buffers one block, one piece and one literal at most, regardless of the size of the file.
 */
public final class Delta {
    /** Maximum number of blocks of a basis; for a larger file the peer has to use larger blocks. */
    public static final int MAX_BLOCKS = 1 << 20;

    /** The block checksums that a receiver sent of its basis file. */
    public static final class Basis {
        final int count;
        final int blockLength;
        final int strongLength;
        final int lastBlockLength;
        private final int[] rollingSums;
        private final byte[] strongSums;
        private final Map<Integer, Integer> firstIndexByRolling = new HashMap<>();
        private final int[] nextIndexWithSameRolling;
        private int blocksRead;

        /**
         * Starts from a checksum header; the block checksums follow.
         *
         * @param count number of blocks
         * @param blockLength length of a block in bytes
         * @param strongLength length of a strong checksum in bytes
         * @param lastBlockLength length of the last block in bytes; 0 if it is as long as the others
         * @throws ProtocolException if the values are invalid
         */
        public Basis(int count, int blockLength, int strongLength, int lastBlockLength) throws ProtocolException {
            if (count < 0
                    || count > MAX_BLOCKS
                    || blockLength < 0
                    || blockLength > Rsync.MAX_BLOCK_LENGTH
                    || strongLength < 0
                    || strongLength > Rsync.STRONG_SUM_LENGTH
                    || lastBlockLength < 0
                    || lastBlockLength > blockLength
                    || count > 0 && (blockLength == 0 || strongLength == 0)) {
                throw new ProtocolException("a checksum header of " + count + " blocks of " + blockLength + " bytes, "
                        + strongLength + " bytes of checksum each, the last of " + lastBlockLength);
            }
            this.count = count;
            this.blockLength = blockLength;
            this.strongLength = strongLength;
            this.lastBlockLength = lastBlockLength;
            rollingSums = new int[count];
            nextIndexWithSameRolling = new int[count];
            strongSums = new byte[count * strongLength];
        }

        /** Reads the checksums of the next block; true if it was the last one. */
        public boolean read(RsyncIn in) throws RsyncIn.IncompleteInputException {
            rollingSums[blocksRead] = in.i32();
            System.arraycopy(in.take(strongLength), 0, strongSums, blocksRead * strongLength, strongLength);
            blocksRead++;
            if (isComplete()) {
                for (int i = count - 1; i >= 0; i--) {
                    Integer next = firstIndexByRolling.put(rollingSums[i], i);
                    nextIndexWithSameRolling[i] = next == null ? -1 : next;
                }
            }
            return isComplete();
        }

        /** Whether the checksums of all blocks have been read. */
        public boolean isComplete() {
            return blocksRead == count;
        }

        int length(int index) {
            return index == count - 1 && lastBlockLength > 0 ? lastBlockLength : blockLength;
        }

        /** Writes the checksum header, which the sender echoes to the receiver. */
        public void writeHeader(RsyncOut out) {
            out.i32(count).i32(blockLength).i32(strongLength).i32(lastBlockLength);
        }
    }

    private final Basis basis;
    private final int seed;
    private final RsyncOut out;
    private final MessageDigest fileDigest = Checksums.md5();
    private final MessageDigest blockDigest = Checksums.md5();
    private byte[] window = new byte[0];
    /** Start of the bytes in the window that are not yet sent. */
    private int literalStart;

    /** Start of the bytes in the window that are not yet searched. */
    private int searchStart;

    private int end;
    private int rollingSum;
    private boolean rollingSumValid;
    private long matchedBytes;

    /** A delta against a basis whose checksums have all been read. */
    public Delta(Basis basis, int seed, RsyncOut out) {
        this.basis = basis;
        this.seed = seed;
        this.out = out;
    }

    /** Adds the next piece of the new contents. */
    public void add(byte[] data, int from, int length) {
        fileDigest.update(data, from, length);
        if (basis.count == 0) {
            writeLiteral(data, from, length);
            return;
        }
        int pending = end - literalStart;
        byte[] next = window.length >= pending + length ? window : new byte[pending + length + basis.blockLength];
        System.arraycopy(window, literalStart, next, 0, pending);
        System.arraycopy(data, from, next, pending, length);
        searchStart -= literalStart;
        window = next;
        literalStart = 0;
        end = pending + length;
        searchBlocks(basis.blockLength);
    }

    private void searchBlocks(int size) {
        while (end - searchStart >= size && size > 0) {
            if (!rollingSumValid) {
                rollingSum = Checksums.rolling(window, searchStart, size);
                rollingSumValid = true;
            }
            int index = findBlock(size);
            if (index >= 0) {
                writeLiteral(window, literalStart, searchStart - literalStart);
                out.i32(-(index + 1));
                matchedBytes += size;
                searchStart += size;
                literalStart = searchStart;
                rollingSumValid = false;
            } else {
                if (end - searchStart > size) {
                    rollingSum = Checksums.roll(rollingSum, window[searchStart], window[searchStart + size], size);
                } else {
                    rollingSumValid = false;
                }
                searchStart++;
                if (searchStart - literalStart >= Rsync.MAX_LITERAL_LENGTH) {
                    writeLiteral(window, literalStart, searchStart - literalStart);
                    literalStart = searchStart;
                }
            }
        }
    }

    private int findBlock(int size) {
        byte[] blockSum = null;
        for (Integer candidate = basis.firstIndexByRolling.get(rollingSum);
                candidate != null && candidate >= 0;
                candidate = basis.nextIndexWithSameRolling[candidate]) {
            if (basis.length(candidate) != size) {
                continue;
            }
            blockSum = blockSum == null ? Checksums.strong(blockDigest, window, searchStart, size, seed) : blockSum;
            if (Arrays.equals(
                    blockSum,
                    0,
                    basis.strongLength,
                    basis.strongSums,
                    candidate * basis.strongLength,
                    (candidate + 1) * basis.strongLength)) {
                return candidate;
            }
        }
        return -1;
    }

    private void writeLiteral(byte[] data, int from, int length) {
        for (int written = 0; written < length; ) {
            int chunk = Math.min(Rsync.MAX_LITERAL_LENGTH, length - written);
            out.i32(chunk).bytes(data, from + written, chunk);
            written += chunk;
        }
    }

    /** Ends the contents: writes the remaining literals, the end token and the file checksum, which is returned. */
    public byte[] end() {
        if (basis.count > 0 && basis.lastBlockLength > 0 && end - searchStart >= basis.lastBlockLength) {
            // The last block is shorter than the others and can match only the end of the contents.
            int lastBlockStart = end - basis.lastBlockLength;
            int searchedTo = searchStart;
            searchStart = lastBlockStart;
            rollingSumValid = false;
            if (lastBlockStart >= searchedTo) {
                searchBlocks(basis.lastBlockLength);
            }
        }
        writeLiteral(window, literalStart, end - literalStart);
        out.i32(0);
        byte[] fileSum = fileDigest.digest();
        out.bytes(fileSum);
        return fileSum;
    }

    /** Number of bytes that were found in the basis. */
    public long matched() {
        return matchedBytes;
    }
}
