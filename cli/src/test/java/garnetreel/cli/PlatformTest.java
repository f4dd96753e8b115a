package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.cli.lifecycle.ProcessSignals;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The platform's gateway as a process, over sockets; time limits only end a test that hangs. */
class PlatformTest {
    @TempDir
    Path directory;

    /** The class-data archive training: starts from a file, reloads it, serves and rejects requests, and shuts down. */
    @Test
    @Timeout(60)
    void gatewayStartsReloadsServesAndStops() throws Exception {
        Path file = directory.resolve("config.json");
        assertEquals(ExitCode.OK, ClassDataArchiveTraining.run(file));
        assertTrue(Files.notExists(file));
    }

    /** A signal handler stays installed after the first signal; without one, SIGHUP would terminate this test's JVM. */
    @Test
    @Timeout(60)
    void repeatedSignalsAreHandled() throws Exception {
        Class<?> signal = Class.forName("sun.misc.Signal");
        for (int i = 0; i < 2; i++) {
            CountDownLatch handled = new CountDownLatch(1);
            ProcessSignals.handle("HUP", handled::countDown);
            signal.getMethod("raise", signal)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
            assertTrue(handled.await(30, TimeUnit.SECONDS));
        }
    }
}
