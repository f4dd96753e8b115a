package garnetreel.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.Delta;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.MultiplexedFrames;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Encodings, file lists, deltas and frames of the rsync protocol. */
class RsyncTest {
    private static final int SEED = 0x12345;
    private final SplittableRandom random = new SplittableRandom(11);

    private static RsyncIn in(RsyncOut out) {
        RsyncIn in = new RsyncIn();
        ByteBuffer bytes = out.take();
        if (bytes != null) {
            in.add(bytes);
        }
        return in;
    }

    @Test
    void numbersRoundTripInTheirDocumentedEncodings() throws Exception {
        assertArrayEquals(new byte[] {0x7f}, new RsyncOut().varint(0x7f).take().array());
        assertArrayEquals(
                new byte[] {(byte) 0x80, (byte) 0x80},
                new RsyncOut().varint(0x80).take().array());
        assertArrayEquals(
                new byte[] {0, 0x10, 0x27},
                new RsyncOut().varlong(10_000, 3).take().array());
        for (int bits = 0; bits < 63; bits++) {
            for (long value : new long[] {
                1L << bits, (1L << bits) - 1, random.nextLong(1L << bits, (1L << bits) * 2 - 1 + (bits == 0 ? 1 : 0))
            }) {
                assertEquals(value, in(new RsyncOut().varlong(value, 3)).varlong(3), "bits " + bits);
                assertEquals(value, in(new RsyncOut().varlong(value, 4)).varlong(4), "bits " + bits);
                assertEquals((int) value, in(new RsyncOut().varint((int) value)).varint());
            }
        }
        RsyncOut out = new RsyncOut();
        int[] indexes = {0, 1, 254, 255, 600, 5, 40_000, Rsync.PHASE_END, 40_001, 1 << 24, 3, Integer.MAX_VALUE - 1};
        for (int index : indexes) {
            out.index(index);
        }
        RsyncIn in = in(out);
        for (int index : indexes) {
            assertEquals(index, in.index());
        }
        String text = "x".repeat(300);
        assertEquals(text, in(new RsyncOut().vstring(text)).vstring());
    }

    @Test
    void listOrderPutsFilesBeforeDirectoriesAndContentsAfterTheirDirectory() {
        List<FileItem> items = new ArrayList<>();
        for (String name : List.of(
                "./", "b", "b-c", "z", "a/", "a/x", "a/y", "a/k/", "a/k/1", "a-b/", "a-b/q", "b.d/", "c/", "c/d/",
                "c/d/e")) {
            boolean directory = name.endsWith("/");
            items.add(new FileItem(
                    directory ? name.substring(0, name.length() - 1) : name,
                    directory ? Rsync.DIRECTORY : Rsync.REGULAR,
                    0,
                    0,
                    "",
                    null));
        }
        // "a-b/" sorts before "a/" by byte value: '-' is less than '/'.
        items.sort(FileItem.ORDER);
        List<String> names = items.stream().map(FileItem::name).toList();
        assertEquals(
                List.of(
                        ".", "b", "b-c", "z", "a-b", "a-b/q", "a", "a/x", "a/y", "a/k", "a/k/1", "b.d", "c", "c/d",
                        "c/d/e"),
                names);
        Random shuffle = new Random(3);
        for (int i = 0; i < 50; i++) {
            List<FileItem> shuffled = new ArrayList<>(items);
            Collections.shuffle(shuffled, shuffle);
            shuffled.sort(FileItem.ORDER);
            assertEquals(names, shuffled.stream().map(FileItem::name).toList());
        }
    }

    @Test
    void fileListsRoundTripByteByByte() throws Exception {
        FileListCodec.Options options = new FileListCodec.Options(true, true, true, true);
        List<FileItem> items = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int kind = i % 3;
            String name = "dir/" + "\u00e9\n".repeat(i % 4) + "n".repeat(random.nextInt(1, 400)) + i;
            items.add(new FileItem(
                    name,
                    kind == 0 ? Rsync.REGULAR | 0644 : kind == 1 ? Rsync.DIRECTORY | 0755 : Rsync.SYMLINK | 0777,
                    random.nextLong(1L << 40),
                    random.nextInt(),
                    kind == 2 ? "../x" : "",
                    kind == 0 ? new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, (byte) i} : null));
        }
        RsyncOut out = new RsyncOut();
        FileListCodec writer = new FileListCodec(options);
        items.forEach(i -> writer.write(out, i));
        out.u8(0);
        byte[] bytes = out.take().array();
        RsyncIn in = new RsyncIn();
        FileListCodec reader = new FileListCodec(options);
        int read = 0;
        for (byte value : bytes) {
            in.add(ByteBuffer.wrap(new byte[] {value}));
            in.mark();
            try {
                FileItem item = reader.read(in);
                if (item != null) {
                    FileItem expected = items.get(read++);
                    assertEquals(expected.name(), item.name());
                    assertEquals(
                            List.of(
                                    expected.mode(),
                                    expected.size(),
                                    expected.modified() & 0xffffffffL,
                                    expected.target()),
                            List.of(item.mode(), item.size(), item.modified() & 0xffffffffL, item.target()));
                    assertTrue(Arrays.equals(expected.md5(), item.md5()));
                }
            } catch (RsyncIn.IncompleteInputException e) {
                in.reset();
            }
        }
        assertEquals(items.size(), read);
        assertTrue(reader.ended());
    }

    /** Rebuilds the contents from the tokens as a receiver does, and checks the file checksum. */
    private static byte[] applyTokens(RsyncIn in, byte[] basis, int blockLength) throws Exception {
        ByteArrayOutputStream rebuilt = new ByteArrayOutputStream();
        int token;
        while ((token = in.i32()) != 0) {
            if (token > 0) {
                rebuilt.writeBytes(in.take(token));
            } else {
                int from = -(token + 1) * blockLength;
                rebuilt.write(basis, from, Math.min(blockLength, basis.length - from));
            }
        }
        assertArrayEquals(Checksums.md5().digest(rebuilt.toByteArray()), in.take(Rsync.STRONG_SUM_LENGTH));
        return rebuilt.toByteArray();
    }

    private static Delta.Basis basis(byte[] basisContents, int blockLength, int strongLength) throws Exception {
        int count = (basisContents.length + blockLength - 1) / blockLength;
        Delta.Basis basis = new Delta.Basis(count, blockLength, strongLength, basisContents.length % blockLength);
        MessageDigest md5 = Checksums.md5();
        RsyncOut out = new RsyncOut();
        for (int i = 0; i < count; i++) {
            int length = Math.min(blockLength, basisContents.length - i * blockLength);
            out.i32(Checksums.rolling(basisContents, i * blockLength, length))
                    .bytes(Checksums.strong(md5, basisContents, i * blockLength, length, SEED), 0, strongLength);
        }
        RsyncIn in = in(out);
        while (!basis.isComplete()) {
            basis.read(in);
        }
        return basis;
    }

    @Test
    void deltasReproduceAnyContentsFromAnyBasisInAnyPieces() throws Exception {
        for (int run = 0; run < 300; run++) {
            byte[] basisContents = new byte[random.nextInt(1, 20_000)];
            random.nextBytes(basisContents);
            ByteArrayOutputStream edited = new ByteArrayOutputStream();
            int copiedRanges = 0;
            while (edited.size() < 20_000) {
                if (random.nextBoolean()) {
                    int from = random.nextInt(basisContents.length);
                    edited.write(basisContents, from, random.nextInt(basisContents.length - from + 1));
                    copiedRanges++;
                } else {
                    byte[] literal = new byte[random.nextInt(500)];
                    random.nextBytes(literal);
                    edited.writeBytes(literal);
                }
                if (copiedRanges > 4 && random.nextInt(4) == 0) {
                    break;
                }
            }
            byte[] newContents = run % 10 == 0 ? basisContents : edited.toByteArray();
            int blockLength = random.nextInt(8, 900);
            RsyncOut out = new RsyncOut();
            Delta delta = new Delta(basis(basisContents, blockLength, 16), SEED, out);
            for (int position = 0; position < newContents.length; ) {
                int length = Math.min(newContents.length - position, random.nextInt(1, 3_000));
                delta.add(newContents, position, length);
                position += length;
            }
            delta.end();
            long matched = delta.matched();
            assertArrayEquals(newContents, applyTokens(in(out), basisContents, blockLength));
            assertTrue(
                    run % 10 != 0 || matched == newContents.length,
                    "literals in the delta of an unchanged file: matched " + matched + " of " + newContents.length);
        }
    }

    @Test
    void invalidChecksumHeadersAreRejectedBeforeMemoryIsAllocated() {
        int[][] headers = {
            {1 << 31, 700, 16, 0},
            {Integer.MAX_VALUE, 700, 16, 0},
            {5, 0, 16, 0},
            {5, 700, 17, 0},
            {5, 700, 16, 701},
            {5, 700, 0, 0},
            {5, 1 << 20, 16, 0},
            {-1, 700, 16, 0},
            {5, 700, 16, -1}
        };
        for (int[] header : headers) {
            assertThrows(
                    ProtocolException.class,
                    () -> new Delta.Basis(header[0], header[1], header[2], header[3]),
                    Arrays.toString(header));
        }
    }

    @Test
    void framesAreDemultiplexedByteByByteAndLargeMessagesAreRejected() throws Exception {
        ByteBuffer data = RsyncOut.frame(Rsync.DATA, new byte[] {1, 2, 3}, 3);
        ByteBuffer info = RsyncOut.frame(Rsync.INFO, new byte[] {'h', 'i'}, 2);
        MultiplexedFrames frames = new MultiplexedFrames();
        RsyncIn in = new RsyncIn();
        List<String> messages = new ArrayList<>();
        for (ByteBuffer frame : List.of(data, RsyncOut.frame(Rsync.DATA, new byte[0], 0), info, data.duplicate())) {
            while (frame.hasRemaining()) {
                frames.add(
                        ByteBuffer.wrap(new byte[] {frame.get()}),
                        in,
                        (kind, body) -> messages.add(kind + new String(body)));
            }
        }
        assertEquals(6, in.size());
        assertEquals(List.of(Rsync.INFO + "hi"), messages);
        ByteBuffer large = ByteBuffer.wrap(new byte[] {0, 0, 2, Rsync.INFO + 7});
        assertThrows(
                ProtocolException.class, () -> new MultiplexedFrames().add(large, new RsyncIn(), (kind, body) -> {}));
    }

    /** On random bytes each parser throws a protocol error or needs more input, in bounded memory, and nothing else. */
    @Test
    void randomBytesEndInAnErrorOrNeedMoreInput() {
        int errors = 0;
        for (int run = 0; run < 20_000; run++) {
            byte[] bytes = new byte[random.nextInt(1, 200)];
            random.nextBytes(bytes);
            RsyncIn in = new RsyncIn();
            in.add(ByteBuffer.wrap(bytes));
            FileListCodec list = new FileListCodec(
                    new FileListCodec.Options(run % 2 == 0, run % 3 == 0, run % 5 == 0, run % 7 == 0));
            try {
                while (list.read(in) != null) {
                    in.mark();
                }
                new MultiplexedFrames().add(ByteBuffer.wrap(bytes), new RsyncIn(), (kind, body) -> {});
                new Delta.Basis(in.i32(), in.i32(), in.i32(), in.i32());
            } catch (RsyncIn.IncompleteInputException | ProtocolException e) {
                errors++;
            }
        }
        assertTrue(errors > 10_000);
    }
}
