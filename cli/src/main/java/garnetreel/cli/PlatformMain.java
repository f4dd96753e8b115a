package garnetreel.cli;

import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.cli.lifecycle.ProcessSignals;
import garnetreel.core.io.StateMachine;
import garnetreel.core.platform.PlatformGateway;
import garnetreel.core.platform.PlatformSettings;
import garnetreel.net.EventLoop;
import garnetreel.policy.FairQueueScheduler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one gateway instance on the users' platform until it has shut down. It has a main of its own, without the command line's
 * library: a restart is an outage, and that library's classes, of a format too old for a class-data archive, took a third of
 * the time to be ready (docs/platform.md).
 */
public final class PlatformMain {
    /** The environment variable that names the configuration file. */
    static final String CONFIG_VARIABLE = "NODE_CONFIG";

    private final Logger log = LoggerFactory.getLogger("garnetreel.platform");
    private final Path file;
    private final UnaryOperator<StateMachine> wrapper;

    PlatformMain(Path file) {
        this(file, UnaryOperator.identity());
    }

    private PlatformMain(Path file, UnaryOperator<StateMachine> wrapper) {
        this.file = file;
        this.wrapper = wrapper;
    }

    /** Exits as the sub-command {@code platform} does. */
    public static void main(String[] arguments) {
        if (arguments.length > 0) {
            System.err.println("garnetreel: takes no arguments; " + CONFIG_VARIABLE + " names the configuration");
            System.exit(ExitCode.USAGE);
        }
        System.exit(run(UnaryOperator.identity()));
    }

    /**
     * Runs the gateway whose configuration the environment names.
     *
     * @param wrapper may put another state machine between the gateway and its sockets, as tests of faulty gateways do
     * @return the exit code
     */
    public static int run(UnaryOperator<StateMachine> wrapper) {
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null) {
            System.err.println("garnetreel: " + CONFIG_VARIABLE + " has to name the configuration");
            return ExitCode.USAGE;
        }
        configureFastStart();
        try {
            return new PlatformMain(Path.of(file), wrapper).run();
        } catch (IOException e) {
            System.err.println("garnetreel: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    /**
     * Chooses what starts fast; must run before anything logs. Logging by slf4j-simple spares about 70 ms of CPU against
     * logback. XNIO registers its workers with JMX, which nobody reads here and which loads all of the JVM's management
     * (170 ms, 4 MB): with a builder class that does not exist it goes without.
     */
    static void configureFastStart() {
        System.setProperty(Main.LOGGING_PROVIDER_PROPERTY, Main.LOGGING_PROVIDER);
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("javax.management.builder.initial", "none");
    }

    /**
     * Serves until a shutdown by SIGTERM is complete.
     *
     * @return the exit code
     * @throws IOException when the configuration can't be read or the address can't be bound
     */
    int run() throws IOException {
        // First of all: a signal that arrives before its handler is installed terminates the JVM.
        CompletableFuture<EventLoop> started = new CompletableFuture<>();
        ConfigurationReader reader = reloadInto(started);
        handle("HUP", reader::read);
        handle("TERM", () -> started.thenAccept(gateway -> gateway.submitCommand(new PlatformGateway.Shutdown())));
        ServiceProcess process = new ServiceProcess();
        EventLoop eventLoop = start(process);
        started.complete(eventLoop);
        int code = ServiceProcess.awaitStopped(eventLoop);
        process.close();
        reader.close();
        log.info("exits with code {}", code);
        return code;
    }

    private void handle(String signal, Runnable action) {
        if (!ProcessSignals.handle(signal, action)) {
            log.warn("SIG{} is ignored, as the parent process requested (nohup does so), and can't be handled", signal);
        }
    }

    /** Reloads the configuration into the gateway, once that has started. */
    private ConfigurationReader reloadInto(CompletableFuture<EventLoop> started) {
        return new ConfigurationReader(
                file,
                settings -> started.thenAccept(
                        gateway -> gateway.submitCommand(new PlatformGateway.Reconfigure(settings))));
    }

    /**
     * Starts the gateway.
     *
     * @return its event loop, once it listens
     */
    EventLoop start(ServiceProcess process) throws IOException {
        PlatformSettings settings;
        try {
            settings = ConfigurationReader.load(file);
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
        FairQueueScheduler scheduler = new FairQueueScheduler(settings.scheduling(), settings.seed());
        EventLoop eventLoop = process.run("head", wrapper.apply(new PlatformGateway(settings, scheduler)));
        log.info("{} listens on {}", settings.name(), ServiceProcess.bound(eventLoop, PlatformGateway.CLIENT_LISTENER));
        return eventLoop;
    }
}
