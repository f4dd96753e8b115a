package garnetreel.cli.map;

import garnetreel.cli.config.SettingsException;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.ParentCommand;

/** A command to the map service; each run opens its own connection. */
abstract class MapSubcommand implements Callable<Integer> {
    /** Pause between two polls of work in progress. */
    private static final long POLL_MILLIS = 500;

    @ParentCommand
    MapCommand mapCommand;

    @Override
    public Integer call() throws IOException, SettingsException {
        try (MapClient client = mapCommand.connect()) {
            return execute(client);
        }
    }

    /** Runs the command and returns its exit code. */
    abstract int execute(MapClient client) throws IOException;

    /** Waits until work in progress is to be polled again. */
    static void awaitNextPoll() throws InterruptedIOException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }
}
