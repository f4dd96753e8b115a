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
 * Persists states and journal records on a separate thread, so that no turn of the event loop waits for a disk. Of the
 * states of one name only the newest is queued; one that is superseded before it is written is never written. A write
 * that fails is logged and retried until it succeeds, journal records in order: a disk may fail temporarily, and
 * accepted records must become durable. At shutdown the number of retries is limited.
 */
public final class BackgroundJournalWriter implements EventLoop.DurableStore, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(BackgroundJournalWriter.class);
    /** Delay before a failed write is retried. */
    private static final long RETRY_MILLIS = 200;
    /** Most retries after {@link #close} was called. */
    private static final int MAX_RETRIES_AT_CLOSE = 25;

    /** A journal record, or if {@code durable} is null a snapshot that retains some records. */
    private record JournalEntry(long sequence, byte[] data, int retainedRecords, Runnable durable) {
        boolean isSnapshot() {
            return durable == null;
        }
    }

    private final StateDirectory directory;
    private final Journal journal;
    private final ArrayDeque<JournalEntry> journalEntries = new ArrayDeque<>();
    /** Queued states by name, the longest queued first. */
    private final Map<String, byte[]> states = new LinkedHashMap<>();

    private final Thread thread;
    private boolean closed;
    private int retriesAtClose;

    /**
     * Starts the writer's thread.
     *
     * @param directory for states
     * @param journal for records and snapshots; closed with the writer, null if no records are written
     */
    public BackgroundJournalWriter(StateDirectory directory, Journal journal) {
        this.directory = directory;
        this.journal = journal;
        thread = new Thread(this::run, "journal-writer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void persist(String name, byte[] data) {
        states.put(name, data);
        notifyAll();
    }

    @Override
    public synchronized void append(long sequence, byte[] data, Runnable durable) {
        journalEntries.add(new JournalEntry(sequence, data, -1, durable));
        notifyAll();
    }

    @Override
    public synchronized void snapshot(long sequence, byte[] data, int retainedRecords) {
        journalEntries.add(new JournalEntry(sequence, data, retainedRecords, null));
        notifyAll();
    }

    private void run() {
        try {
            boolean previousFailed = false;
            while (awaitWork()) {
                boolean failed = !writeNext(previousFailed);
                if (failed && !awaitRetry()) {
                    LOG.error(
                            "discarded {} journal records and {} states at shutdown, as writing them still fails",
                            journalEntries.size(),
                            states.size());
                    return;
                }
                if (previousFailed && !failed) {
                    LOG.info("writing to the disk succeeds again");
                }
                previousFailed = failed;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until an entry or a state is queued; false if the writer is closed and none is. */
    private synchronized boolean awaitWork() throws InterruptedException {
        while (states.isEmpty() && journalEntries.isEmpty()) {
            if (closed) {
                return false;
            }
            wait();
        }
        return true;
    }

    /** Writes the next journal entry, or if there is none the next state; false if that failed, and it stays queued. */
    private boolean writeNext(boolean previousFailed) {
        JournalEntry entry = firstJournalEntry();
        return entry == null ? writeState(previousFailed) : writeJournalEntry(entry, previousFailed);
    }

    private synchronized JournalEntry firstJournalEntry() {
        return journalEntries.peek();
    }

    private boolean writeJournalEntry(JournalEntry entry, boolean previousFailed) {
        try {
            if (entry.isSnapshot()) {
                journal.snapshot(entry.sequence(), entry.data(), entry.retainedRecords());
            } else {
                journal.append(entry.sequence(), entry.data());
                entry.durable().run();
            }
        } catch (IOException e) {
            logFailure("journal entry " + entry.sequence(), e, previousFailed);
            return false;
        }
        synchronized (this) {
            journalEntries.remove();
        }
        return true;
    }

    private boolean writeState(boolean previousFailed) {
        String name;
        byte[] data;
        synchronized (this) {
            name = states.keySet().iterator().next();
            data = states.get(name);
        }
        try {
            directory.write(name, data);
        } catch (IOException e) {
            logFailure("state " + name, e, previousFailed);
            return false;
        }
        synchronized (this) {
            states.remove(name, data); // a newer state queued meanwhile stays
        }
        return true;
    }

    /** Logs a failed write, unless the previous one failed too. */
    private static void logFailure(String what, IOException cause, boolean previousFailed) {
        if (!previousFailed) {
            LOG.warn("writing {} failed, retrying: {}", what, cause.getMessage());
        }
    }

    /** Waits before a retry; false if no retries are left. */
    private synchronized boolean awaitRetry() throws InterruptedException {
        if (closed && ++retriesAtClose > MAX_RETRIES_AT_CLOSE) {
            return false;
        }
        wait(RETRY_MILLIS);
        return true;
    }

    /** Writes all queued entries and states, as long as retries are left, then closes the journal. */
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
