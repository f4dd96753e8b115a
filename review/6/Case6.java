import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import review2.Rsync;
import review2.Rsync.File;
import review2.Service;

/**
 * Three ward offices push at once: the first a folder of many files whose permissions it has changed, the second a new
 * version of a register, the third its copy of the register's old version with other permissions. All three are told
 * that everything is stored. Then a fourth pushes another file, and the register is pulled. Without trouble the pushes
 * come one after the other.
 */
public final class Case6 extends Service {
    private static final int LENGTH = 64 << 10;
    /** How long the journal shall be busy with the first push, estimated from the push that made the folder. */
    private static final int BUSY_MILLIS = 14_000;
    private static final int FIRST_FILES = 1000;
    private static final int MOST_FILES = 150_000;

    public static void main(String[] arguments) throws Exception {
        new Case6().main();
    }

    @Override
    protected boolean run() throws Exception {
        startService(RSYNC_MODULE);
        node.quiet(true);
        byte[] old = contents("register, version 1", LENGTH);
        byte[] changed = contents("register, version 2", LENGTH);
        byte[] other = contents("another office's file", LENGTH);
        push("office 2", List.of(new File("register", 0644, 1000, old)));
        List<File> folder = folder(FIRST_FILES, 0644);
        long begin = record.millis();
        push("office 1", folder);
        double perFile = Math.max(0.02, (record.millis() - begin) / (double) FIRST_FILES);
        int files = FIRST_FILES;
        for (int round = 0; round < 2; round++) { // the first files take longer
            int more = (int) Math.min(MOST_FILES, BUSY_MILLIS / perFile) - files;
            if (more > 0) {
                begin = record.millis();
                push("office 1", folder(files + more, 0644));
                perFile = Math.max(0.02, (record.millis() - begin) / (double) more);
                files += more;
            }
        }
        record.line("the folder has %d files, %.2f ms each", files, perFile);

        CompletableFuture<Boolean> first = office("office 1", folder(files, 0640));
        await(first);
        Thread.sleep(trouble ? 1000 : 0); // its list is read, and most of its changes are queued
        CompletableFuture<Boolean> second = office("office 2", List.of(new File("register", 0644, 2000, changed)));
        await(second);
        awaitWritten(changed);
        Thread.sleep(100);
        CompletableFuture<Boolean> third = office("office 3", List.of(new File("register", 0600, 1000, old)));
        for (CompletableFuture<Boolean> push : List.of(first, second, third)) {
            if (!push.get()) {
                throw new IllegalStateException("a push was not stored");
            }
        }
        push("office 4", List.of(new File("other", 0644, 3000, other)));
        Rsync.Pulled pulled = Rsync.pull(record, "pull", rsyncPort, "registers", "register");
        byte[] register = pulled.files().get("register");
        boolean held = Arrays.equals(register, changed) || Arrays.equals(register, old);
        record.line("the register has %s", Arrays.equals(register, changed) ? "version 2"
                : Arrays.equals(register, old) ? "version 1"
                : register == null ? "contents that can't be pulled" : "other contents");
        restart();
        return held;
    }

    /** Starts the gateway anew, to see whether it does. */
    private void restart() throws Exception {
        gateway.destroy();
        gateway.waitFor();
        record.line("gateway: ended with %d after SIGTERM", gateway.exitValue());
        try {
            startGateway();
            Thread.sleep(1500);
            Rsync.pull(record, "pull after a restart", rsyncPort, "registers", "register");
        } catch (IllegalStateException e) {
            record.line("gateway: does not start again, %s", e.getMessage());
        }
    }

    private void await(CompletableFuture<Boolean> push) throws Exception {
        if (!trouble) {
            push.get();
        }
    }

    private void awaitWritten(byte[] contents) throws InterruptedException {
        for (int tries = 0; tries < 3000; tries++) {
            if (node.writes().stream().anyMatch(write -> Arrays.equals(write.data(), contents))) {
                return;
            }
            Thread.sleep(10);
        }
        throw new IllegalStateException("a file's contents did not come to the node");
    }

    private static List<File> folder(int files, int permissions) {
        List<File> folder = new ArrayList<>();
        for (int i = 0; i < files; i++) {
            folder.add(new File(String.format("entry-%06d", i), permissions, 1000, new byte[0]));
        }
        return folder;
    }

    private CompletableFuture<Boolean> office(String name, List<File> files) {
        record.line("%s: begins to push %s", name, files.size() > 1 ? files.size() + " files" : files.get(0).name());
        return CompletableFuture.supplyAsync(() -> Rsync.push(record, name, rsyncPort, "registers", files),
                task -> new Thread(task).start());
    }

    private void push(String name, List<File> files) throws Exception {
        if (!office(name, files).get()) {
            throw new IllegalStateException("the push of " + name + " was not stored");
        }
    }
}
