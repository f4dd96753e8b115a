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
 * Runs one gateway instance on the HTTP platform until it has shut down. Its main method does not use the command line
 * library (picocli): a restart is an outage, and loading that library, whose class file format is too old for a
 * class-data archive, took a third of the start-up time (docs/platform.md).
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
            System.err.println("garnetreel: takes no arguments; " + CONFIG_VARIABLE + " names the configuration file");
            System.exit(ExitCode.USAGE);
        }
        System.exit(run(UnaryOperator.identity()));
    }

    /**
     * Runs the gateway whose configuration file {@link #CONFIG_VARIABLE} names.
     *
     * @param wrapper may put another state machine between the gateway and its sockets, as tests of faulty gateways do
     * @return the exit code
     */
    public static int run(UnaryOperator<StateMachine> wrapper) {
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null) {
            System.err.println("garnetreel: " + CONFIG_VARIABLE + " is not set; it has to name the configuration file");
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
     * Selects implementations that start fast; must run before anything logs. slf4j-simple takes about 70 ms less CPU time than
     * logback. XNIO registers its workers with JMX, which is unused here and loads all of the JVM's management classes (170 ms,
     * 4 MB): naming an MBean server builder that does not exist disables the registration.
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
        // Handlers first: a signal that arrives before its handler is installed terminates the JVM.
        CompletableFuture<EventLoop> started = new CompletableFuture<>();
        ConfigurationReader reader = newConfigurationReader(started);
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

    /** A reader that passes each new configuration to the gateway, once that has started. */
    private ConfigurationReader newConfigurationReader(CompletableFuture<EventLoop> started) {
        return new ConfigurationReader(
                file,
                settings -> started.thenAccept(
                        gateway -> gateway.submitCommand(new PlatformGateway.Reconfigure(settings))));
    }

    /**
     * Starts the gateway.
     *
     * @return its event loop, once its listener is bound
     */
    EventLoop start(ServiceProcess process) throws IOException {
        PlatformSettings settings;
        try {
            settings = ConfigurationReader.load(file);
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
        FairQueueScheduler scheduler = new FairQueueScheduler(settings.scheduling(), settings.seed());
        long heapBytes = Runtime.getRuntime().maxMemory();
        EventLoop eventLoop = process.run("head", wrapper.apply(new PlatformGateway(settings, scheduler, heapBytes)));
        log.info("{} listens on {}", settings.name(), ServiceProcess.bound(eventLoop, PlatformGateway.CLIENT_LISTENER));
        return eventLoop;
    }
}
