package garnetreel.cli.testing.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fault-soak}: runs gateway processes under random faults, one run per seed. */
@Command(
        name = "fault-soak",
        mixinStandardHelpOptions = true,
        description = "Runs gateway processes under random overlapping faults; the last line is 'violations N'.")
public final class FaultSoakCommand implements Callable<Integer> {
    private static final String GATEWAY_MAIN_CLASS = "garnetreel.cli.PlatformMain";

    @Option(names = "--seed", defaultValue = "1", description = "first seed (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--seeds",
            defaultValue = "1",
            description = "number of consecutive seeds (default ${DEFAULT-VALUE})")
    private int seeds;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "seconds of a run in which faults start (default ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--heads",
            defaultValue = "10",
            description = "number of gateway processes (default ${DEFAULT-VALUE})")
    private int gateways;

    @Option(
            names = "--slack",
            defaultValue = "150",
            description =
                    "milliseconds of scheduling delay tolerated by checks of times " + "(default ${DEFAULT-VALUE})")
    private long slackMillis;

    @Option(names = "--plant", description = "runs gateways with a deliberate fault: ${COMPLETION-CANDIDATES}")
    private FaultyGateway.Fault planted;

    @Option(names = "--no-shim", description = "disables failing system calls and wall clock steps")
    private boolean withoutShim;

    @Option(
            names = "--logs",
            description = "directory for gateway configurations and logs (default: a temporary directory)")
    private Path logs;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        Path directory = logs == null ? Files.createTempDirectory("fault-soak") : logs;
        int violations = 0;
        for (long currentSeed = seed; currentSeed < seed + seeds; currentSeed++) {
            out.println("seed " + currentSeed);
            String main = planted == null ? GATEWAY_MAIN_CLASS : FaultyGateway.class.getName();
            List<String> environment = planted == null ? List.of() : List.of(FaultyGateway.VARIABLE + "=" + planted);
            FaultSoak.Result result = new FaultSoak(
                            new FaultSoak.Plan(
                                    currentSeed,
                                    seconds,
                                    gateways,
                                    slackMillis,
                                    main,
                                    environment,
                                    !withoutShim,
                                    directory.resolve("seed-" + currentSeed)),
                            out)
                    .run();
            result.violations().forEach(violation -> out.println("  VIOLATION " + violation));
            out.println("seed " + currentSeed + ": " + result.violations().size() + " violations; " + result.summary());
            violations += result.violations().size();
        }
        out.println("logs in " + directory);
        out.println("violations " + violations);
        return violations == 0 ? 0 : 1;
    }
}
