package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.SettingsException;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.cli.testing.bench.GatewayBenchmark;
import garnetreel.cli.testing.bench.SustainedLoad;
import garnetreel.core.Gateway;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares the throughput and latency of a gateway with those of the same NBD server over memory. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Sends the same NBD load through a gateway to nodes "
                + "without processing time and to the same NBD server over memory, and prints both.")
final class BenchCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "1",
            description =
                    "Measured time per case and side, after a warm-up of half that time. Default: ${DEFAULT-VALUE}.")
    double seconds;

    @Option(
            names = "--only",
            paramLabel = "TEXT",
            defaultValue = "",
            description = "Runs only the cases whose name contains TEXT, such as \"4K, 64\".")
    String only;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "4",
            description = "Number of fake nodes. The scheduler keeps a few requests outstanding at each, "
                    + "regardless of its processing time. Default: ${DEFAULT-VALUE}.")
    int nodes;

    @Option(
            names = "--soak",
            paramLabel = "MINUTES",
            defaultValue = "0",
            description = "Instead of the cases, applies load for MINUTES and prints the use of heap and file handles.")
    double soak;

    @Override
    public Integer call() throws IOException, SettingsException {
        try (ServiceProcess process = new ServiceProcess()) {
            LocalService service = LocalService.start(process, nodes, Map.of("bench", "64MiB"));
            GatewayBenchmark.Launcher launcher =
                    (name, machine) -> ServiceProcess.bound(process.run(name, machine), Gateway.NBD);
            if (soak > 0) {
                SustainedLoad.run(spec.commandLine().getOut(), service.gateway("127.0.0.1:0"), launcher, soak);
            } else {
                new GatewayBenchmark(spec.commandLine().getOut(), seconds, only)
                        .run(service.gateway("127.0.0.1:0"), launcher);
            }
        }
        return ExitCode.OK;
    }
}
