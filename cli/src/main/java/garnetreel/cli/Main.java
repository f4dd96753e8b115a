package garnetreel.cli;

import garnetreel.cli.config.SettingsException;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.cli.map.MapCommand;
import java.io.IOException;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line; its exit codes are those of {@link ExitCode}. */
@Command(
        name = "garnetreel",
        mixinStandardHelpOptions = true,
        version = "garnetreel 0.2.0",
        description = "A storage gateway that schedules clients' reads and writes over storage nodes.",
        subcommands = {
            ServeCommand.class,
            PlatformCommand.class,
            MapServiceCommand.class,
            MapCommand.class,
            FilesCommand.class,
            CheckConfigCommand.class,
            CommandLine.HelpCommand.class
        })
public final class Main {
    /** Property that selects the back end of JBoss Logging, which XNIO logs through. */
    static final String LOGGING_PROVIDER_PROPERTY = "org.jboss.logging.provider";

    /** The value of {@link #LOGGING_PROVIDER_PROPERTY}. */
    static final String LOGGING_PROVIDER = "slf4j";

    @Option(
            names = "--log",
            description = "Format of log lines on standard error: ${COMPLETION-CANDIDATES}.",
            defaultValue = "plain",
            scope = CommandLine.ScopeType.INHERIT)
    Logging.Format format;

    @Option(
            names = "--log-level",
            description = "debug, info, warn or error.",
            defaultValue = "info",
            scope = CommandLine.ScopeType.INHERIT)
    String level;

    private Main() {}

    /** Runs one command and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(List.of(), arguments));
    }

    /**
     * Runs one command.
     *
     * @param additionalCommands commands besides those of the service
     * @return the exit code
     */
    public static int run(List<Object> additionalCommands, String... arguments) {
        System.setProperty(LOGGING_PROVIDER_PROPERTY, LOGGING_PROVIDER);
        Main main = new Main();
        CommandLine commandLine = new CommandLine(main);
        additionalCommands.forEach(commandLine::addSubcommand);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionStrategy(parsed -> {
            Logging.configure(main.format, main.level);
            return new CommandLine.RunLast().execute(parsed);
        });
        commandLine.setExecutionExceptionHandler((e, command, parsed) -> report(e, command));
        return commandLine.execute(arguments);
    }

    /**
     * Prints why a command failed: one line for each problem in the settings, one line for an expected failure, and a stack
     * trace for anything else.
     *
     * @return the exit code
     */
    private static int report(Exception failure, CommandLine command) {
        if (failure instanceof SettingsException settings) {
            settings.problems().forEach(command.getErr()::println);
            return ExitCode.USAGE;
        }
        if (failure instanceof IOException || failure instanceof IllegalStateException) {
            command.getErr().println("garnetreel: " + failure.getMessage());
        } else {
            failure.printStackTrace(command.getErr());
        }
        return ExitCode.FAILED;
    }
}
