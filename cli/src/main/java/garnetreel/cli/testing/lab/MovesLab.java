package garnetreel.cli.testing.lab;

import garnetreel.cli.testing.ScenarioFile;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.core.GatewaySettings;
import garnetreel.emulator.Simulation;
import garnetreel.mapservice.MapService;
import garnetreel.testbed.scenario.Scenario;
import garnetreel.testbed.scenario.ScenarioRunner;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of migrations: runs the same scenario without migrations, with gateways that request the map after
 * a stale answer of a node, and with gateways that subscribe to the map service. The runs are emulated, so that the
 * rows differ in nothing else.
 *
 * <p>All migrations are of the first volume, so that the other volumes show the cost for requests that are not
 * affected.
 */
public final class MovesLab {
    /** Fixed start time of the emulated scenarios, in microseconds. */
    private static final long START = 1_800_000_000_000_000L;
    /** Time that the checker allows for transmission, in microseconds. */
    private static final long TRANSIT = 10_000;
    /** A stale answer later than this after a switch belongs to another migration; in microseconds. */
    private static final long ATTRIBUTION_LIMIT = 10_000_000;

    private enum Variant {
        NO_MIGRATIONS("fixed rule, no moves"),
        REFRESH_AFTER_STALE("asked for after a stale answer"),
        SUBSCRIPTION("subscription");

        final String label;

        Variant(String label) {
            this.label = label;
        }
    }

    /** Sums over the runs of one row; the histograms are in microseconds. */
    private static final class Row {
        long migrations;
        long attempts;
        long stale;
        long requests;
        long notServed;
        long late;
        long brokenRules;
        final Histogram othersBefore = new Histogram(3);
        final Histogram othersDuring = new Histogram(3);
        /** For each migration with stale answers, the time from its switch to the last of them. */
        final Histogram lastStaleDelay = new Histogram(3);

        final Histogram movedVolumeDuring = new Histogram(3);
    }

    private record ExtentKey(long volume, long extent) {}

    private final PrintWriter out;
    private final ScenarioFile file;
    private final int seeds;

    public MovesLab(PrintWriter out, ScenarioFile file, int seeds) {
        this.out = out;
        this.file = file;
        this.seeds = seeds;
    }

    /** Prints one row per variant; returns false if a rule was broken. */
    public boolean run() {
        out.println("Emulated, " + seeds + " seeds a row; times in milliseconds.");
        out.println(
                "| heads learn of moves | moves | attempts | misdirected per thousand | requests | not served | late % | "
                        + "others p99 before | during | moved volume p99 during | moves with a misdirected request | "
                        + "switch to the last: p50 | p99 | most | rules |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        boolean rulesKept = true;
        for (Variant variant : Variant.values()) {
            Row row = new Row();
            for (long seed = 1; seed <= seeds; seed++) {
                Scenario scenario = scenario(variant, seed);
                addResult(
                        row,
                        scenario,
                        new ScenarioRunner(
                                        scenario,
                                        new Simulation(START, seed, new Simulation.Delays(50, 200)),
                                        Trace.NONE,
                                        UnaryOperator.identity())
                                .run());
            }
            rulesKept &= row.brokenRules == 0;
            out.printf(
                    Locale.ROOT,
                    "| %s | %d | %d | %.2f | %d | %d | %.2f | %.1f | %.1f | %.1f | %d | %.1f | %.1f | %.1f | %s |%n",
                    variant.label,
                    row.migrations,
                    row.attempts,
                    1000.0 * row.stale / row.attempts,
                    row.requests,
                    row.notServed,
                    100.0 * row.late / row.requests,
                    millis(row.othersBefore, 99),
                    millis(row.othersDuring, 99),
                    millis(row.movedVolumeDuring, 99),
                    row.lastStaleDelay.getTotalCount(),
                    millis(row.lastStaleDelay, 50),
                    millis(row.lastStaleDelay, 99),
                    row.lastStaleDelay.getMaxValue() / 1e3,
                    row.brokenRules == 0 ? "kept" : row.brokenRules + " broken");
            out.flush();
        }
        return rulesKept;
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e3;
    }

    private Scenario scenario(Variant variant, long seed) {
        Scenario scenario = file.scenario(seed, TRANSIT);
        Scenario.MapScenario map = scenario.map();
        VolumeMap volume = map.initialMaps().volumes().get(0);
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> shards = scenario.nodes().stream().map(n -> n.shard()).toList();
        List<Scenario.ScriptedCommand> script = new ArrayList<>();
        for (int i = 0; i < map.migrations() && variant != Variant.NO_MIGRATIONS; i++) {
            script.add(new Scenario.ScriptedCommand(
                    map.migrationsStart() + map.migrationsDuration() * i / map.migrations(),
                    new MapService.MigrateCommand(
                            volume.volume(),
                            random.nextLong(volume.extents()),
                            shards.get(random.nextInt(shards.size())))));
        }
        return scenario.withMap(new Scenario.MapScenario(
                        map.settings(), map.initialMaps(), 0, map.migrationsStart(), map.migrationsDuration(), script))
                .withGateways(
                        parameters -> withSubscription(
                                scenario.gatewaySettings().apply(parameters), variant != Variant.REFRESH_AFTER_STALE),
                        scenario.scheduler());
    }

    private static GatewaySettings withSubscription(GatewaySettings settings, boolean subscribe) {
        GatewaySettings.ConnectionSettings connections = settings.connections();
        return new GatewaySettings(
                settings.gatewayNumber(),
                settings.incarnation(),
                settings.nbdAddress(),
                settings.nodeListAddress(),
                settings.mapServiceAddress(),
                settings.scheduling(),
                settings.volumes(),
                settings.replyMargin(),
                settings.bounds(),
                new GatewaySettings.ConnectionSettings(
                        connections.maxPerNode(),
                        connections.maxAttempts(),
                        connections.idleTimeout(),
                        connections.connectTimeout(),
                        connections.nodeListCallTimeout(),
                        connections.silenceTimeout(),
                        subscribe),
                settings.files());
    }

    private static void addResult(Row row, Scenario scenario, ScenarioRunner.Result result) {
        row.brokenRules +=
                result.verdicts().stream().filter(v -> !v.isKept()).count() + (result.unverified() > 0 ? 1 : 0);
        Map<Long, Integer> extentBytes = new HashMap<>();
        scenario.map().initialMaps().volumes().forEach(v -> extentBytes.put(v.volume(), v.extentBytes()));
        long movedVolume = scenario.map().initialMaps().volumes().get(0).volume();
        long begin = result.events().stream()
                .filter(e -> e.kind() == Kind.REQUEST)
                .mapToLong(TraceEvent::time)
                .min()
                .orElse(0);
        long from = begin + scenario.map().migrationsStart();
        long to = from + scenario.map().migrationsDuration();
        Map<Long, Long> requestTimes = new HashMap<>();
        Map<ExtentKey, Long> switchTimes = new HashMap<>();
        Map<ExtentKey, Long> lastStaleDelays = new HashMap<>();
        List<TraceEvent> events = new ArrayList<>(result.events());
        events.sort(java.util.Comparator.comparingLong(TraceEvent::time));
        for (TraceEvent e : events) {
            switch (e.kind()) {
                case REQUEST -> requestTimes.put(e.tag(), e.time());
                case REPLY -> addReply(
                        row, e, requestTimes.getOrDefault(e.tag(), e.time()), movedVolume, begin, from, to);
                case ARRIVE -> row.attempts++;
                case MIGRATION_STEP -> {
                    if (e.operation().equals("serve") && e.outcome().equals("ok")) {
                        row.migrations++;
                        ExtentKey extent = new ExtentKey(e.volume(), e.key());
                        recordDelay(row, lastStaleDelays.remove(extent));
                        switchTimes.put(extent, e.time());
                    }
                }
                case ANSWER -> {
                    if (e.outcome().equals("stale")) {
                        row.stale++;
                        ExtentKey extent = new ExtentKey(e.volume(), e.offset() / extentBytes.get(e.volume()));
                        long sinceSwitch = e.time() - switchTimes.getOrDefault(extent, Long.MIN_VALUE / 2);
                        if (sinceSwitch <= ATTRIBUTION_LIMIT) {
                            lastStaleDelays.put(extent, sinceSwitch);
                        }
                    }
                }
                default -> {}
            }
        }
        lastStaleDelays.values().forEach(micros -> recordDelay(row, micros));
    }

    private static void recordDelay(Row row, Long micros) {
        if (micros != null) {
            row.lastStaleDelay.recordValue(micros);
        }
    }

    private static void addReply(
            Row row, TraceEvent e, long requestTime, long movedVolume, long begin, long from, long to) {
        if (e.time() > to) {
            return;
        }
        row.requests++;
        row.late += e.outcome().equals("late") ? 1 : 0;
        boolean served = e.outcome().equals("served") || e.outcome().equals("late");
        row.notServed += served ? 0 : 1;
        if (!served) {
            return;
        }
        long latency = Math.max(1, e.time() - requestTime);
        if (requestTime >= from) {
            (e.volume() == movedVolume ? row.movedVolumeDuring : row.othersDuring).recordValue(latency);
        } else if (requestTime >= begin + (from - begin) / 3 && e.volume() != movedVolume) {
            row.othersBefore.recordValue(latency); // the first third is the warm-up
        }
    }
}
