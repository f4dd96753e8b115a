package garnetreel.cli.testing.soak;

import garnetreel.net.BackgroundStoreWriter;
import garnetreel.store.Journal;
import garnetreel.store.StateDirectory;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** A process that adds record after record to a journal, and says which are durable. Ended by a kill. */
final class JournalWriter {
    private static final int RECORD = 2_000;
    private static final int SNAPSHOT_EVERY = 40;

    private JournalWriter() {}

    public static void main(String[] arguments) throws Exception {
        Path directory = Path.of(arguments[0]);
        BackgroundStoreWriter keeper =
                new BackgroundStoreWriter(new StateDirectory(directory), new Journal(directory.resolve("journal")));
        for (long seq = 1; ; seq++) {
            CountDownLatch durable = new CountDownLatch(1);
            keeper.append(seq, new byte[RECORD], durable::countDown);
            durable.await();
            System.out.println("durable " + seq);
            if (seq % SNAPSHOT_EVERY == 0) {
                keeper.snapshot(seq, new byte[RECORD], SNAPSHOT_EVERY);
            }
        }
    }
}
