package garnetreel.cli.map;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The parent of the commands to the map service, with the options that they share. */
@Command(
        name = "map",
        mixinStandardHelpOptions = true,
        description = "Queries the map service and starts migrations of extents.",
        subcommands = {
            StatusCommand.class,
            ShowCommand.class,
            HistoryCommand.class,
            MovesCommand.class,
            MoveCommand.class,
            AbortCommand.class,
            DrainNodeCommand.class,
            UndrainNodeCommand.class,
            AdoptCommand.class,
            NewEpochCommand.class,
            DiffCommand.class,
            VerifyCommand.class
        })
public final class MapCommand implements Runnable {
    @Spec
    CommandSpec spec;

    @Option(
            names = "--service",
            paramLabel = "HOST:PORT",
            scope = ScopeType.INHERIT,
            description = "Address of the map service.")
    String service;

    @Option(
            names = "--who",
            paramLabel = "NAME",
            defaultValue = "operator",
            scope = ScopeType.INHERIT,
            description = "Name of the operator, for the history. Default: ${DEFAULT-VALUE}.")
    String operator;

    @Option(names = "--json", scope = ScopeType.INHERIT, description = "Prints JSON, one document a line.")
    boolean json;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing subcommand; map --help lists them");
    }

    MapClient connect() throws IOException {
        if (service == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--service=HOST:PORT is required");
        }
        return new MapClient(service, operator);
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Prints a result, with {@code --json} unchanged, otherwise as a table or as lines. */
    void print(JsonNode result) {
        if (json) {
            out().println(result);
        } else {
            new ResultPrinter(out()).print(result);
        }
        out().flush();
    }
}
