package garnetreel.cli.testing.soak;

import garnetreel.net.BackgroundStoreWriter;
import garnetreel.store.Journal;
import garnetreel.store.StateDirectory;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** A process that appends records to a journal and prints the number of each durable one, until it is killed. */
final class JournalWriter {
    private static final int RECORD_BYTES = 2_000;
    private static final int SNAPSHOT_INTERVAL = 40;

    private JournalWriter() {}

    public static void main(String[] arguments) throws Exception {
        Path directory = Path.of(arguments[0]);
        BackgroundStoreWriter journalWriter =
                new BackgroundStoreWriter(new StateDirectory(directory), new Journal(directory.resolve("journal")));
        for (long sequence = 1; ; sequence++) {
            CountDownLatch durable = new CountDownLatch(1);
            journalWriter.append(sequence, new byte[RECORD_BYTES], durable::countDown);
            durable.await();
            System.out.println("durable " + sequence);
            if (sequence % SNAPSHOT_INTERVAL == 0) {
                journalWriter.snapshot(sequence, new byte[RECORD_BYTES], SNAPSHOT_INTERVAL);
            }
        }
    }
}
