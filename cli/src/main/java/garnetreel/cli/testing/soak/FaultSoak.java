package garnetreel.cli.testing.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * One run of the randomized fault soak: gateway processes under load, with two or three random faults at a time. The
 * seed fixes which faults start when; how they interleave with requests depends on real time. The run passes if no
 * invariant is violated.
 */
public final class FaultSoak {
    private static final double FAULTS_PER_SECOND = 0.8;
    private static final long FIRST_FAULT_MILLIS = 500;
    /** How long clients continue after the period in which faults start. */
    private static final long CLIENT_TAIL_MILLIS = 6_000;

    private static final int CLIENTS_PER_GATEWAY = 8;
    private static final int MEAN_THINK_MILLIS = 60;

    /**
     * The parameters of a run.
     *
     * @param seconds period in which faults start
     * @param slackMillis scheduling delay of this machine that checks of times tolerate
     * @param mainClass main class of the gateway processes
     * @param environment additional environment variables of the gateway processes, as NAME=VALUE
     * @param withShim whether to load the system call fault library, if it can be built
     * @param directory for configurations, logs and the library
     */
    public record Plan(
            long seed,
            int seconds,
            int gateways,
            long slackMillis,
            String mainClass,
            List<String> environment,
            boolean withShim,
            Path directory) {}

    /** The result of a run: all violations, and the subset whose checks compare no times. */
    public record Result(List<String> violations, List<String> untimed, String summary) {}

    private record ScheduledFault(long atMillis, SoakFault fault, SplittableRandom random) {}

    private final Plan plan;
    private final PrintWriter out;

    /** @param out receives a line for each fault when it starts */
    public FaultSoak(Plan plan, PrintWriter out) {
        this.plan = plan;
        this.out = out;
    }

    /** Runs the plan to its end. */
    public Result run() throws IOException {
        SplittableRandom random = new SplittableRandom(plan.seed());
        Path directory = Files.createDirectories(plan.directory());
        Optional<Path> shim = plan.withShim() ? ProcessFaults.build(directory) : Optional.empty();
        if (shim.isEmpty()) {
            out.println("system call faults and wall clock steps are disabled: "
                    + (plan.withShim() ? "no C compiler" : "not requested"));
        }
        List<ScheduledFault> faults = scheduleFaults(random);
        try (SoakEnvironment environment = new SoakEnvironment(
                directory,
                random.split(),
                plan.gateways(),
                plan.slackMillis(),
                plan.mainClass(),
                plan.environment(),
                shim)) {
            environment.startGateways();
            List<Thread> clients = startClients(environment, random);
            List<Thread> faultThreads = startFaults(environment, faults);
            join(faultThreads);
            join(clients);
            stopGateways(environment);
            return result(environment);
        }
    }

    private List<ScheduledFault> scheduleFaults(SplittableRandom random) {
        List<ScheduledFault> faults = new ArrayList<>();
        int count = (int) Math.ceil(plan.seconds() * FAULTS_PER_SECOND);
        for (int i = 0; i < count; i++) {
            SoakFault fault = SoakFault.values()[random.nextInt(SoakFault.values().length)];
            faults.add(new ScheduledFault(
                    FIRST_FAULT_MILLIS + random.nextLong(plan.seconds() * 1_000L), fault, random.split()));
        }
        faults.sort(Comparator.comparingLong(ScheduledFault::atMillis));
        return faults;
    }

    private List<Thread> startClients(SoakEnvironment environment, SplittableRandom random) {
        long until = System.nanoTime() + (plan.seconds() * 1_000L + CLIENT_TAIL_MILLIS) * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (GatewayProcess gateway : environment.gateways) {
            for (int i = 0; i < CLIENTS_PER_GATEWAY; i++) {
                clients.add(Threads.start(
                        "client-" + gateway.name,
                        new SoakClient(
                                gateway,
                                environment.ledger,
                                random.split(),
                                SoakEnvironment.SHARDS,
                                MEAN_THINK_MILLIS,
                                until)));
            }
        }
        return clients;
    }

    private List<Thread> startFaults(SoakEnvironment environment, List<ScheduledFault> faults) {
        List<Thread> faultThreads = new ArrayList<>();
        long start = System.nanoTime();
        for (ScheduledFault scheduled : faults) {
            Threads.pause(scheduled.atMillis() - (System.nanoTime() - start) / 1_000_000);
            out.printf(Locale.ROOT, "  %6.2f s  %s%n", (System.nanoTime() - start) / 1e9, scheduled.fault());
            out.flush();
            faultThreads.add(Threads.start("trouble-" + scheduled.fault(), () -> {
                try {
                    scheduled.fault().inject(environment, scheduled.random());
                } catch (IOException e) {
                    out.println("  " + scheduled.fault() + " was not injected completely: " + e.getMessage());
                }
            }));
        }
        return faultThreads;
    }

    private static void join(List<Thread> threads) {
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void stopGateways(SoakEnvironment environment) throws IOException {
        List<Thread> stopThreads = new ArrayList<>();
        for (GatewayProcess gateway : environment.gateways) {
            stopThreads.add(Threads.start("end-" + gateway.name, () -> {
                try {
                    gateway.terminate();
                } catch (IOException e) {
                    out.println("  " + gateway.name + " could not be terminated: " + e.getMessage());
                }
            }));
        }
        join(stopThreads);
        for (GatewayProcess gateway : environment.gateways) {
            gateway.collectReportedViolations();
        }
    }

    private static Result result(SoakEnvironment environment) {
        List<Violation> violations = environment.ledger.findViolations();
        return new Result(
                violations.stream().map(Violation::toString).toList(),
                violations.stream()
                        .filter(violation -> !violation.timed())
                        .map(Violation::toString)
                        .toList(),
                environment.ledger.toString());
    }
}
