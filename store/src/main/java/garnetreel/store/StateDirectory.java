package garnetreel.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * A directory of small named states, each in a file that is replaced atomically: after a crash of the writer at any
 * moment, a reader finds the last state that was written completely, or none.
 *
 * <p>A file holds a magic number, the length, a CRC32C and the bytes. It is written as {@code NAME.new}, synced to the
 * device and renamed; then the directory is synced. An invalid file counts as absent and is renamed to
 * {@code NAME.torn} for diagnosis.
 */
public final class StateDirectory {
    /** "GRST" in ASCII. */
    private static final int MAGIC = 0x47525354;

    private static final int HEADER = 16;
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,63}");

    private final Path directory;

    /** Opens a directory and creates it if it is missing. */
    public StateDirectory(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /** Replaces the state with a name; the new state is durable on return. */
    public void write(String name, byte[] bytes) throws IOException {
        Path file = file(name);
        Path temporary = directory.resolve(name + ".new");
        ByteBuffer header = ByteBuffer.allocate(HEADER)
                .putInt(MAGIC)
                .putInt(bytes.length)
                .putLong(crc(bytes, 0, bytes.length))
                .flip();
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            for (ByteBuffer part : new ByteBuffer[] {header, ByteBuffer.wrap(bytes)}) {
                while (part.hasRemaining()) {
                    channel.write(part);
                }
            }
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel parent = FileChannel.open(directory)) {
            parent.force(true);
        }
    }

    /** The last completely written state with a name; empty if there is none or the file is invalid. */
    public Optional<byte[]> read(String name) throws IOException {
        Path file = file(name);
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
        if (isValid(content)) {
            return Optional.of(Arrays.copyOfRange(content, HEADER, content.length));
        }
        Files.move(file, directory.resolve(name + ".torn"), StandardCopyOption.REPLACE_EXISTING);
        return Optional.empty();
    }

    private static boolean isValid(byte[] content) {
        ByteBuffer header = ByteBuffer.wrap(content);
        int length = content.length - HEADER;
        return length >= 0
                && header.getInt() == MAGIC
                && header.getInt() == length
                && header.getLong() == crc(content, HEADER, length);
    }

    private static long crc(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return crc.getValue();
    }

    private Path file(String name) {
        if (!NAME.matcher(name).matches()) {
            throw new IllegalArgumentException("invalid name of a state: " + name);
        }
        return directory.resolve(name);
    }
}
