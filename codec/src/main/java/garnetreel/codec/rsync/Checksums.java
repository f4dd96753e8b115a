package garnetreel.codec.rsync;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The rolling and the strong checksum of blocks, and the MD5 checksum of whole files. */
public final class Checksums {
    private Checksums() {}

    /** The digest that protocol version 30 requires; it protects against corruption, not against tampering. */
    public static MessageDigest md5() {
        try {
            return MessageDigest.getInstance("MD5");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK provides MD5
        }
    }

    /**
     * Strong checksum of a block: the MD5 of its bytes followed by the checksum seed of the session unless that is 0.
     */
    public static byte[] strong(MessageDigest md5, byte[] data, int offset, int length, int seed) {
        md5.reset();
        md5.update(data, offset, length);
        if (seed != 0) {
            md5.update(new byte[] {(byte) seed, (byte) (seed >> 8), (byte) (seed >> 16), (byte) (seed >> 24)});
        }
        return md5.digest();
    }

    /** Rolling checksum of a block: the sum of its bytes as signed numbers, and the sum of the partial sums. */
    public static int rolling(byte[] data, int offset, int length) {
        int byteSum = 0;
        int weightedSum = 0;
        for (int i = 0; i < length; i++) {
            byteSum += data[offset + i];
            weightedSum += byteSum;
        }
        return byteSum & 0xffff | weightedSum << 16;
    }

    /** The rolling checksum of the block that begins one byte further on. */
    public static int roll(int sum, byte out, byte in, int length) {
        int byteSum = (sum & 0xffff) - out + in;
        int weightedSum = (sum >>> 16) - length * out + byteSum;
        return byteSum & 0xffff | weightedSum << 16;
    }
}
