package garnetreel.cli;

import garnetreel.core.platform.PlatformHead;
import garnetreel.core.platform.PlatformSettings;
import garnetreel.net.Driver;
import garnetreel.policy.Control;
import garnetreel.settings.JsonException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** One head on the users' platform. SIGHUP reads the configuration again, SIGTERM answers what was taken and ends. */
@Command(name = "platform", mixinStandardHelpOptions = true,
        description = "Serves one head of the users' platform, as NODE_CONFIG in the environment tells.")
final class PlatformCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger("garnetreel.platform");
    private static final String VARIABLE = "NODE_CONFIG";

    @Option(names = "--config", paramLabel = "FILE", description = "The configuration; by default the file that "
            + VARIABLE + " names.", defaultValue = "${env:" + VARIABLE + "}")
    Path file;

    @Override
    public Integer call() throws IOException {
        if (file == null) {
            throw new IOException("no configuration: " + VARIABLE + " names no file");
        }
        PlatformSettings settings;
        try {
            settings = PlatformSettings.read(Files.readAllBytes(file));
        } catch (JsonException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
        Process process = new Process();
        Driver driver = process.run("head", new PlatformHead(settings, new Control(settings.scheduling(), settings.seed())));
        Signals.on("HUP", () -> reread(driver));
        Signals.on("TERM", () -> driver.tell(new PlatformHead.Drain()));
        Process.bound(driver, PlatformHead.HTTP);
        LOG.info("{} listens on {}", settings.name(), settings.listen());
        int code = Process.untilStopped(driver);
        process.close();
        return code;
    }

    /** A file that can't be read, or is no configuration, changes nothing. */
    private void reread(Driver driver) {
        try {
            driver.tell(new PlatformHead.Reconfigure(PlatformSettings.read(Files.readAllBytes(file))));
        } catch (IOException | JsonException e) {
            LOG.warn("{} stays unread and the configuration as it was: {}", file, e.getMessage());
        }
    }
}
