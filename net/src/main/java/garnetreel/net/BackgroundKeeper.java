package garnetreel.net;

import garnetreel.store.Journal;
import garnetreel.store.StateDirectory;
import java.io.IOException;
import java.util.ArrayDeque;
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

    private record Record(long seq, byte[] data, int kept, Runnable durable) { }

    private final StateDirectory directory;
    private final Journal journal;
    private final ArrayDeque<Record> records = new ArrayDeque<>();
    private final Map<String, byte[]> waiting = new LinkedHashMap<>();
    private final Thread thread;
    private boolean closed;

    /** @param journal takes records and snapshots; null for a machine that writes none */
    public BackgroundKeeper(StateDirectory directory, Journal journal) {
        this.directory = directory;
        this.journal = journal;
        thread = new Thread(this::run, "keeper");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void keep(String name, byte[] data) {
        waiting.put(name, data);
        notifyAll();
    }

    @Override
    public synchronized void append(long seq, byte[] data, Runnable durable) {
        records.add(new Record(seq, data, -1, durable));
        notifyAll();
    }

    @Override
    public synchronized void snapshot(long seq, byte[] data, int kept) {
        records.add(new Record(seq, data, kept, null));
        notifyAll();
    }

    private void write(Record record) {
        if (record.durable() == null) {
            journal.snapshot(record.seq(), record.data(), record.kept());
        } else {
            journal.append(record.seq(), record.data());
            record.durable().run();
        }
    }

    private void run() {
        try {
            while (true) {
                String name = null;
                byte[] data = null;
                Record record;
                synchronized (this) {
                    while (waiting.isEmpty() && records.isEmpty()) {
                        if (closed) {
                            return;
                        }
                        wait();
                    }
                    record = records.poll();
                    if (record == null) {
                        name = waiting.keySet().iterator().next();
                        data = waiting.remove(name);
                    }
                }
                if (record != null) {
                    write(record);
                    continue;
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
        if (journal != null) {
            journal.close();
        }
    }
}
