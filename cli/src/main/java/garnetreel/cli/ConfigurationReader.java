package garnetreel.cli;

import garnetreel.core.platform.PlatformSettings;
import garnetreel.settings.JsonException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the configuration file on request. A single thread makes all reads in order: the JVM runs each signal's handler on
 * a new thread, and of two concurrent reads the one that began with the older file could finish last and win. A file that
 * can't be read may be half written, so a failed read is retried.
 */
final class ConfigurationReader implements AutoCloseable {
    /** Pause before a failed read is retried. */
    private static final long RETRY_MILLIS = 100;

    /** With the pauses about 3 s for one request; the HTTP platform takes a new configuration as known after 4 s. */
    private static final int MAX_ATTEMPTS = 30;

    private final Logger log = LoggerFactory.getLogger("garnetreel.platform");
    private final Path file;
    private final Consumer<PlatformSettings> consumer;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread daemon = new Thread(task, "configuration");
        daemon.setDaemon(true);
        return daemon;
    });
    /** Number of the latest request; retries for older ones are dropped. Confined to the reader's thread. */
    private long lastRequest;

    /** @param consumer receives each configuration that was read successfully, on the reader's thread */
    ConfigurationReader(Path file, Consumer<PlatformSettings> consumer) {
        this.file = file;
        this.consumer = consumer;
    }

    /**
     * Requests a read of the file and returns at once. A file that can't be read, or is not a valid configuration, is logged and
     * changes nothing.
     */
    void read() {
        thread.execute(() -> attempt(++lastRequest, 1));
    }

    private void attempt(long request, int attempt) {
        if (request != lastRequest) {
            return;
        }
        try {
            consumer.accept(load(file));
        } catch (IOException e) {
            boolean lastAttempt = attempt == MAX_ATTEMPTS;
            if (attempt == 1 || lastAttempt) {
                log.warn(
                        "{} can't be read, the configuration is unchanged: {} ({})",
                        file,
                        e.getMessage(),
                        lastAttempt ? "giving up" : "retrying for a while");
            }
            if (!lastAttempt) {
                thread.schedule(() -> attempt(request, attempt + 1), RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /**
     * Reads a configuration file once.
     *
     * @throws IOException when the file can't be read or is not a valid configuration; the message names the field
     */
    static PlatformSettings load(Path file) throws IOException {
        try {
            return PlatformSettings.read(Files.readAllBytes(file));
        } catch (JsonException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
