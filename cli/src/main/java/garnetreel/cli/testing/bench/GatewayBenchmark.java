package garnetreel.cli.testing.bench;

import com.sun.management.ThreadMXBean;
import garnetreel.cli.testing.bench.NbdLoad.Case;
import garnetreel.cli.testing.bench.NbdLoad.Outcome;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.StoredState;
import garnetreel.core.io.StateMachine;
import garnetreel.policy.FairQueueScheduler;
import java.io.IOException;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Compares a gateway in front of nodes without processing time with the same NBD server over memory. */
public final class GatewayBenchmark {
    private static final int[] SIZES = {4 << 10, 64 << 10};
    private static final int[] CONNECTIONS = {1, 8, 64};
    private static final int[] DEPTHS = {1, 16};
    private static final double WARM_UP_SECONDS = 3;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 99.99};

    /** Starts state machines. */
    public interface Launcher {
        /** Starts a state machine under a name and returns the address of its NBD listener. */
        String launch(String name, StateMachine machine) throws IOException;
    }

    private final PrintWriter out;
    private final double seconds;
    private final String filter;
    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    public GatewayBenchmark(PrintWriter out, double seconds, String filter) {
        this.out = out;
        this.seconds = seconds;
        this.filter = filter;
    }

    /** Prints one row per case, then the latency percentiles of each. */
    public void run(GatewaySettings settings, Launcher launcher) throws IOException {
        TimedScheduler scheduler = new TimedScheduler(new FairQueueScheduler(settings.scheduling(), 1));
        String gateway = launcher.launch("head", new Gateway(settings, scheduler, StoredState.NONE));
        String memory = launcher.launch("memory", new InMemoryGateway(settings));
        String export = settings.volumes().get(0).name();
        long size = settings.volumes().get(0).size();
        out.println(
                "| case | head, requests/s | memory, requests/s | ratio | head p50 us | memory p50 us | more at p50 us"
                        + " | module us a request | module's share of the time | head thread's bytes a request | errors |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        List<String> percentiles = new ArrayList<>();
        // Warm-up of both targets; without it the first cases would include JIT compilation.
        for (String target : List.of(memory, gateway)) {
            NbdLoad.run(target, export, size, new Case(true, SIZES[0], 2, 16), 0, WARM_UP_SECONDS);
            NbdLoad.run(target, export, size, new Case(false, SIZES[0], 2, 1), 0, WARM_UP_SECONDS);
        }
        for (Case benchmarkCase : cases()) {
            if (!benchmarkCase.toString().contains(filter)) {
                continue;
            }
            Outcome memoryOutcome = NbdLoad.run(memory, export, size, benchmarkCase, seconds / 2, seconds);
            long schedulerNanosBefore = scheduler.nanos();
            long bytesBefore = allocatedBytes("head");
            long start = System.nanoTime();
            Outcome gatewayOutcome = NbdLoad.run(gateway, export, size, benchmarkCase, seconds / 2, seconds);
            double elapsedNanos = System.nanoTime() - start;
            double schedulerNanos = scheduler.nanos() - schedulerNanosBefore;
            // The scheduler time and the allocated bytes include the warm-up and the end of the run, so they are
            // divided by the approximate number of requests in all that time.
            double requests = gatewayOutcome.rate() * elapsedNanos / 1e9;
            out.printf(
                    "| %s | %.0f | %.0f | %.2f | %.0f | %.0f | %.0f | %.1f | %.2f | %.0f | %d |%n",
                    benchmarkCase,
                    gatewayOutcome.rate(),
                    memoryOutcome.rate(),
                    gatewayOutcome.rate() / memoryOutcome.rate(),
                    micros(gatewayOutcome, 50),
                    micros(memoryOutcome, 50),
                    micros(gatewayOutcome, 50) - micros(memoryOutcome, 50),
                    schedulerNanos / 1e3 / requests,
                    schedulerNanos / elapsedNanos,
                    (allocatedBytes("head") - bytesBefore) / requests,
                    gatewayOutcome.errors());
            out.flush();
            percentiles.add(percentileRow(benchmarkCase, "head", gatewayOutcome.latency()));
            percentiles.add(percentileRow(benchmarkCase, "memory", memoryOutcome.latency()));
        }
        out.println();
        out.println("| case | through | p50 us | p90 us | p99 us | p99.9 us | p99.99 us |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        percentiles.forEach(out::println);
        out.flush();
    }

    private static List<Case> cases() {
        List<Case> cases = new ArrayList<>();
        for (int size : SIZES) {
            for (boolean write : new boolean[] {false, true}) {
                for (int connections : CONNECTIONS) {
                    for (int depth : DEPTHS) {
                        cases.add(new Case(write, size, connections, depth));
                    }
                }
            }
        }
        return cases;
    }

    private static double micros(Outcome outcome, double percentile) {
        return outcome.latency().getValueAtPercentile(percentile) / 1e3;
    }

    private static String percentileRow(Case benchmarkCase, String target, Histogram latency) {
        StringBuilder row = new StringBuilder("| " + benchmarkCase + " | " + target + " |");
        for (double percentile : PERCENTILES) {
            row.append(String.format(" %.0f |", latency.getValueAtPercentile(percentile) / 1e3));
        }
        return row.toString();
    }

    private long allocatedBytes(String thread) {
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith(thread + " I/O")) {
                return threads.getThreadAllocatedBytes(id);
            }
        }
        return 0;
    }
}
