package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the time since the start of the case. */
public final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Milliseconds since the start of the case. */
    public long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    public synchronized void line(String format, Object... arguments) {
        String text = (arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments))
                .replaceAll("[^ -~]", ".");
        long ms = millis();
        out.printf(Locale.ROOT, "%3d.%03d %s%n", ms / 1000, ms % 1000, text);
    }

    @Override
    public void close() {
        out.close();
    }
}
