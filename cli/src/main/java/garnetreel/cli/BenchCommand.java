package garnetreel.cli;

import garnetreel.cli.bench.Bench;
import garnetreel.cli.config.SettingsException;
import garnetreel.core.Head;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What the head costs: its throughput and latency against the same front over memory, in one run. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Sends the same NBD load through a head to nodes "
        + "that cost nothing and to the same front over memory, and prints both.")
final class BenchCommand implements Callable<Integer> {
    private static final int IO_THREADS = 4;

    @Spec
    CommandSpec spec;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "1",
            description = "Measured time a case and side, after half as much to warm up. Default: ${DEFAULT-VALUE}.")
    double seconds;

    @Override
    public Integer call() throws IOException, SettingsException {
        try (Process process = new Process(IO_THREADS)) {
            LocalService service = LocalService.start(process, Map.of("bench", "64MiB"));
            new Bench(spec.commandLine().getOut(), seconds).run(service.head("127.0.0.1:0"), (name, machine) ->
                    Process.bound(process.run(name, machine), Head.NBD));
        }
        return Main.FINE;
    }
}
