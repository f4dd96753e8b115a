package garnetreel.cli.testing;

import garnetreel.cli.config.SettingsException;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.emulator.Simulation;
import garnetreel.testbed.rules.Verdict;
import garnetreel.testbed.scenario.Scenario;
import garnetreel.testbed.scenario.ScenarioEnvironment;
import garnetreel.testbed.scenario.ScenarioRunner;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceFile;
import garnetreel.testbed.trace.TraceHash;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a scenario and prints the verdicts of the rules checker. */
@Command(
        name = "scenario",
        aliases = "day",
        mixinStandardHelpOptions = true,
        description =
                "Runs a scenario of load and faults against gateways and fake nodes, and checks the seven rules on the "
                        + "recorded messages. Exits 1 if a rule was broken or a read returned wrong data.")
final class ScenarioCommand implements Callable<Integer> {
    /** Time that the checker allows for transmission between threads on a busy host, in microseconds. */
    private static final long SOCKET_TRANSIT = 100_000;

    /** Time that the checker allows for transmission on the emulated network, in microseconds. */
    private static final long EMULATED_TRANSIT = 10_000;
    /** Fixed start time of emulated scenarios, in microseconds, so that their traces are reproducible. */
    private static final long EMULATED_START = 1_800_000_000_000_000L;

    /** Delays of the emulated network: at least 50 microseconds, 200 on average. */
    private static final Simulation.Delays DELAYS = new Simulation.Delays(50, 200);

    @Spec
    CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "FILE", description = "The scenario file.")
    Path file;

    @Option(names = "--list", description = "Lists the scenarios that come with the program.")
    boolean list;

    @Option(names = "--real", description = "Runs on loopback sockets; the default.")
    boolean real;

    @Option(names = "--emulated", description = "Runs on an emulated network and a virtual clock.")
    boolean emulated;

    @Option(names = "--seed", paramLabel = "N", description = "Overrides the seed in the file.")
    Long seed;

    @Option(
            names = "--repeat",
            paramLabel = "N",
            defaultValue = "1",
            description =
                    "Runs the scenario N times, with increasing seeds; stops at the first run that breaks a rule.")
    int repeat;

    @Option(names = "--trace", paramLabel = "FILE", description = "Writes the traces to FILE as JSON lines.")
    Path traceFile;

    @Override
    public Integer call() throws SettingsException, IOException {
        if (list) {
            return listScenarios();
        }
        if (file == null || real && emulated) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    file == null
                            ? "either FILE or --list is required"
                            : "--real and --emulated are mutually exclusive");
        }
        ScenarioFile scenario = ScenarioFile.read(file);
        long first = seed == null ? scenario.seed() : seed;
        for (long runSeed = first; runSeed < first + repeat; runSeed++) {
            if (!run(scenario.scenario(runSeed, emulated ? EMULATED_TRANSIT : SOCKET_TRANSIT))) {
                return ExitCode.FAILED;
            }
        }
        return ExitCode.OK;
    }

    private int listScenarios() throws IOException, SettingsException {
        Path directory = Path.of(System.getProperty("garnetreel.home", "."), "days");
        try (Stream<Path> files = Files.list(directory)) {
            for (Path scenario :
                    files.filter(f -> f.toString().endsWith(".hcl")).sorted().toList()) {
                spec.commandLine()
                        .getOut()
                        .printf(
                                "%-32s %s%n",
                                "days/" + scenario.getFileName(),
                                ScenarioFile.read(scenario).description());
            }
        }
        return ExitCode.OK;
    }

    private boolean run(Scenario scenario) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("day %s, seed %d, %s%n", scenario.name(), scenario.seed(), emulated ? "emulated" : "on sockets");
        TraceHash hash = new TraceHash();
        TraceFile traceWriter = traceFile == null ? null : new TraceFile(traceFile);
        Trace recorder = event -> {
            if (emulated) {
                hash.add(event);
            }
            if (traceWriter != null) {
                traceWriter.add(event);
            }
        };
        ScenarioRunner.Result result;
        if (emulated) {
            result = new ScenarioRunner(
                            scenario,
                            new Simulation(EMULATED_START, scenario.seed(), DELAYS),
                            recorder,
                            UnaryOperator.identity())
                    .run();
        } else {
            try (SocketEnvironment environment = new SocketEnvironment()) {
                result = new ScenarioRunner(
                                scenario, (ScenarioEnvironment) environment, recorder, UnaryOperator.identity())
                        .run();
            }
        }
        if (traceWriter != null) {
            traceWriter.close();
        }
        print(out, result);
        if (emulated) {
            out.println("trace " + hash.hex());
        }
        out.flush();
        return result.passed();
    }

    private static void print(PrintWriter out, ScenarioRunner.Result result) {
        out.printf(
                "%-18s %-6s %8s %8s %8s %8s %8s %8s %8s%n",
                "load", "op", "asked", "in time", "late", "refused", "failed", "lost", "tries");
        result.nbdTallies()
                .forEach((load, byOp) -> byOp.forEach((op, t) -> out.printf(
                        "%-18s %-6s %8d %8d %8d %8d %8d %8d %8d%n",
                        load,
                        op,
                        t.requests,
                        t.inTime,
                        t.served - t.inTime,
                        t.rejected,
                        t.failed,
                        t.unreachable,
                        t.attempts)));
        result.rsyncTallies()
                .forEach((name, t) -> out.printf(
                        "%-18s %d pushes, %d pulls: %d whole, %d broken off; %d files, %d bytes, %d of them literal; %d wrong%n",
                        name,
                        t.pushes,
                        t.pulls,
                        t.completed,
                        t.failed,
                        t.files,
                        t.bytes,
                        t.literalBytes,
                        t.mismatches));
        for (Verdict verdict : result.verdicts()) {
            out.println(line(verdict));
            verdict.shownBreaches().forEach(b -> out.println("       " + b));
        }
        out.println(
                result.unverified() == 0
                        ? "data    read back                all that was written"
                        : "data    read back                BROKEN: " + result.unverified()
                                + " places could not be read");
        printMigrations(out, result);
    }

    private static void printMigrations(PrintWriter out, ScenarioRunner.Result result) {
        long staleReplies = 0;
        long attempts = 0;
        long migrations = 0;
        for (TraceEvent event : result.events()) {
            attempts += event.kind() == TraceEvent.Kind.ARRIVE ? 1 : 0;
            staleReplies +=
                    event.kind() == TraceEvent.Kind.ANSWER && event.outcome().equals("stale") ? 1 : 0;
            migrations += event.kind() == TraceEvent.Kind.MIGRATION_STEP
                            && event.operation().equals("serve")
                            && event.outcome().equals("ok")
                    ? 1
                    : 0;
        }
        if (migrations > 0) {
            out.printf(
                    Locale.ROOT,
                    "moves  %d done, %d of %d attempts misdirected (%.2f per thousand)%n",
                    migrations,
                    staleReplies,
                    attempts,
                    1000.0 * staleReplies / Math.max(1, attempts));
        }
    }

    private static String line(Verdict verdict) {
        List<Object> parts = List.of(
                verdict.rule() <= 7 ? "rule " + verdict.rule() : "data  ",
                verdict.name(),
                verdict.isKept() ? "kept" : "BROKEN " + verdict.breaches() + " times",
                verdict.checks());
        return String.format(Locale.ROOT, "%s  %-24s %s, %d checked", parts.toArray());
    }
}
