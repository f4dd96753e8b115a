package garnetreel.cli.testing.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Injects failing system calls and wall clock steps into one process through a preloaded library (faultshim.c).
 * Building the library needs a C compiler; without one the soak runs without these faults and prints a note.
 */
final class ProcessFaults {
    static final String VARIABLE = "GARNETREEL_FAULT_CONTROL";
    private static final int PAGE_BYTES = 4096;
    private static final int RATES_OFFSET = 8;
    private static final int COUNTS_OFFSET = 72;

    /** Calls that may fail, in the order of {@code enum fault} in faultshim.c. */
    enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        SHORT_READ,
        SHORT_WRITE,
        INTERRUPT,
        RESET_ERROR,
        FILE_WRITE,
        FILE_SYNC
    }

    final Path library;
    final Path control;
    /** Shared with the library: wall clock offset in nanoseconds, failure rates per million calls, failure counts. */
    private final MappedByteBuffer page;

    private ProcessFaults(Path library, Path control) throws IOException {
        this.library = library;
        this.control = control;
        Files.write(control, new byte[PAGE_BYTES]);
        try (FileChannel channel = FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            page = channel.map(FileChannel.MapMode.READ_WRITE, 0, PAGE_BYTES);
        }
        page.order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Builds the library; empty if there is no compiler or the build fails. */
    static Optional<Path> build(Path directory) throws IOException {
        Path source = directory.resolve("faultshim.c");
        Path library = directory.resolve("faultshim.so");
        try (InputStream resource = ProcessFaults.class.getResourceAsStream("faultshim.c")) {
            Files.copy(resource, source, StandardCopyOption.REPLACE_EXISTING);
        }
        try {
            Process compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
                    .redirectErrorStream(true)
                    .redirectOutput(directory.resolve("cc.log").toFile())
                    .start();
            boolean built = compiler.waitFor(60, TimeUnit.SECONDS) && compiler.exitValue() == 0;
            return built ? Optional.of(library) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Creates the control page of one process, with all faults off. */
    static ProcessFaults of(Path library, Path control) throws IOException {
        return new ProcessFaults(library, control);
    }

    /** Sets the offset of the wall clock of the process. */
    void stepWallClock(long nanos) {
        page.putLong(0, nanos);
    }

    void fail(Call call, double probability) {
        page.putInt(RATES_OFFSET + 4 * call.ordinal(), (int) (probability * 1_000_000));
    }

    /** The number of times that the library made this call fail. */
    long failureCount(Call call) {
        return page.getLong(COUNTS_OFFSET + 8 * call.ordinal());
    }
}
