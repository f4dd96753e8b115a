package garnetreel.cli.testing.bench;

import com.sun.management.UnixOperatingSystemMXBean;
import garnetreel.cli.testing.bench.NbdLoad.Case;
import garnetreel.cli.testing.bench.NbdLoad.Outcome;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.StoredState;
import garnetreel.policy.FairQueueScheduler;
import java.io.IOException;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;

/** Sustained load with connections that open and close; prints heap use and open file handles, to reveal leaks. */
public final class SustainedLoad {
    private static final double CASE_SECONDS = 5;
    private static final Case[] CASES = {
        new Case(true, 4 << 10, 8, 4),
        new Case(false, 64 << 10, 16, 2),
        new Case(true, 64 << 10, 32, 1),
        new Case(false, 4 << 10, 64, 4)
    };

    private SustainedLoad() {}

    /** Runs for about the given number of minutes and prints one row per round of four cases. */
    public static void run(
            PrintWriter out, GatewaySettings settings, GatewayBenchmark.Launcher launcher, double minutes)
            throws IOException {
        String gateway = launcher.launch(
                "head", new Gateway(settings, new FairQueueScheduler(settings.scheduling(), 1), StoredState.NONE));
        String export = settings.volumes().get(0).name();
        long size = settings.volumes().get(0).size();
        var system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long start = System.nanoTime();
        long requests = 0;
        long errors = 0;
        out.println("| minute | requests so far | errors | heap after collection, MiB | open handles | threads |");
        out.println("| --- | --- | --- | --- | --- | --- |");
        while (System.nanoTime() - start < minutes * 60e9) {
            for (Case loadCase : CASES) {
                Outcome outcome = NbdLoad.run(gateway, export, size, loadCase, 0, CASE_SECONDS);
                requests += outcome.requests();
                errors += outcome.errors();
            }
            System.gc();
            out.printf(
                    "| %.1f | %d | %d | %d | %d | %d |%n",
                    (System.nanoTime() - start) / 60e9,
                    requests,
                    errors,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 20,
                    system.getOpenFileDescriptorCount(),
                    ManagementFactory.getThreadMXBean().getThreadCount());
            out.flush();
        }
    }
}
