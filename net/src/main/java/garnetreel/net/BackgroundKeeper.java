package garnetreel.net;

import garnetreel.store.StateDirectory;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes states to a directory on a thread of its own, so that no turn waits for a disk. Only the newest of a name
 * waits; what it overtook is never written. A failed write is logged, and the next one of that name tries again.
 */
public final class BackgroundKeeper implements Driver.Keeper, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(BackgroundKeeper.class);

    private final StateDirectory directory;
    private final Map<String, byte[]> waiting = new LinkedHashMap<>();
    private final Thread thread;
    private boolean closed;

    public BackgroundKeeper(StateDirectory directory) {
        this.directory = directory;
        thread = new Thread(this::run, "keeper");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void keep(String name, byte[] data) {
        waiting.put(name, data);
        notifyAll();
    }

    private void run() {
        try {
            while (true) {
                String name;
                byte[] data;
                synchronized (this) {
                    while (waiting.isEmpty()) {
                        if (closed) {
                            return;
                        }
                        wait();
                    }
                    name = waiting.keySet().iterator().next();
                    data = waiting.remove(name);
                }
                try {
                    directory.write(name, data);
                } catch (IOException e) {
                    LOG.warn("state {} could not be kept: {}", name, e.getMessage());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what waits, then ends. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
