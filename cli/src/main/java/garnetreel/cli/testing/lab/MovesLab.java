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
 * The same scenario of load played with no moves, with gateways that ask for the map when a node says they are wrong, and with
 * gateways that follow the map service; emulated, so that a row differs from another by that alone.
 *
 * <p>All moves are of the first volume, so that the others show what moves cost those who are not concerned.
 */
public final class MovesLab {
    private static final long START = 1_800_000_000_000_000L;
    private static final long TRANSIT = 10_000;
    /** A stale answer so long after a switch is of another move. */
    private static final long BELONGS = 10_000_000;

    private enum Way {
        NO_MOVES("fixed rule, no moves"),
        ON_STALE("asked for after a stale answer"),
        FOLLOWING("subscription");

        final String words;

        Way(String words) {
            this.words = words;
        }
    }

    /** Sums over the scenarios of one row. */
    private static final class Row {
        long moves;
        long arrived;
        long stale;
        long asked;
        long undone;
        long late;
        long broken;
        final Histogram before = new Histogram(3);
        final Histogram during = new Histogram(3);
        final Histogram untilLast = new Histogram(3);
        final Histogram moved = new Histogram(3);
    }

    private record Spot(long volume, long extent) {}

    private final PrintWriter out;
    private final ScenarioFile file;
    private final int seeds;

    public MovesLab(PrintWriter out, ScenarioFile file, int seeds) {
        this.out = out;
        this.file = file;
        this.seeds = seeds;
    }

    /** Prints a line a way; false where a rule broke. */
    public boolean run() {
        out.println("Emulated, " + seeds + " seeds a row; times in milliseconds.");
        out.println(
                "| heads learn of moves | moves | attempts | misdirected per thousand | requests | not served | late % | "
                        + "others p99 before | during | moved volume p99 during | moves with a misdirected request | "
                        + "switch to the last: p50 | p99 | most | rules |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        boolean kept = true;
        for (Way way : Way.values()) {
            Row row = new Row();
            for (long seed = 1; seed <= seeds; seed++) {
                Scenario scenario = scenario(way, seed);
                add(
                        row,
                        scenario,
                        new ScenarioRunner(
                                        scenario,
                                        new Simulation(START, seed, new Simulation.Delays(50, 200)),
                                        Trace.NONE,
                                        UnaryOperator.identity())
                                .run());
            }
            kept &= row.broken == 0;
            out.printf(
                    Locale.ROOT,
                    "| %s | %d | %d | %.2f | %d | %d | %.2f | %.1f | %.1f | %.1f | %d | %.1f | %.1f | %.1f | %s |%n",
                    way.words,
                    row.moves,
                    row.arrived,
                    1000.0 * row.stale / row.arrived,
                    row.asked,
                    row.undone,
                    100.0 * row.late / row.asked,
                    ms(row.before, 99),
                    ms(row.during, 99),
                    ms(row.moved, 99),
                    row.untilLast.getTotalCount(),
                    ms(row.untilLast, 50),
                    ms(row.untilLast, 99),
                    row.untilLast.getMaxValue() / 1e3,
                    row.broken == 0 ? "kept" : row.broken + " broken");
            out.flush();
        }
        return kept;
    }

    private static double ms(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e3;
    }

    private Scenario scenario(Way way, long seed) {
        Scenario scenario = file.scenario(seed, TRANSIT);
        Scenario.MapScenario map = scenario.map();
        VolumeMap volume = map.initialMaps().volumes().get(0);
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> shards = scenario.nodes().stream().map(n -> n.shard()).toList();
        List<Scenario.ScriptedCommand> script = new ArrayList<>();
        for (int i = 0; i < map.migrations() && way != Way.NO_MOVES; i++) {
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
                        place -> following(scenario.gatewaySettings().apply(place), way != Way.ON_STALE),
                        scenario.scheduler());
    }

    private static GatewaySettings following(GatewaySettings s, boolean follow) {
        GatewaySettings.ConnectionSettings l = s.connections();
        return new GatewaySettings(
                s.gatewayNumber(),
                s.incarnation(),
                s.nbdAddress(),
                s.nodeListAddress(),
                s.mapServiceAddress(),
                s.scheduling(),
                s.volumes(),
                s.replyMargin(),
                s.bounds(),
                new GatewaySettings.ConnectionSettings(
                        l.maxPerNode(),
                        l.maxAttempts(),
                        l.idleTimeout(),
                        l.connectTimeout(),
                        l.nodeListCallTimeout(),
                        l.silenceTimeout(),
                        follow),
                s.files());
    }

    private static void add(Row row, Scenario scenario, ScenarioRunner.Result result) {
        row.broken += result.verdicts().stream().filter(v -> !v.isKept()).count() + (result.unverified() > 0 ? 1 : 0);
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
        Map<Long, Long> asked = new HashMap<>();
        Map<Spot, Long> switched = new HashMap<>();
        Map<Spot, Long> last = new HashMap<>();
        List<TraceEvent> events = new ArrayList<>(result.events());
        events.sort(java.util.Comparator.comparingLong(TraceEvent::time));
        for (TraceEvent e : events) {
            switch (e.kind()) {
                case REQUEST -> asked.put(e.tag(), e.time());
                case REPLY -> reply(row, e, asked.getOrDefault(e.tag(), e.time()), movedVolume, begin, from, to);
                case ARRIVE -> row.arrived++;
                case MIGRATION_STEP -> {
                    if (e.operation().equals("serve") && e.outcome().equals("ok")) {
                        row.moves++;
                        Spot spot = new Spot(e.volume(), e.key());
                        note(row, last.remove(spot));
                        switched.put(spot, e.time());
                    }
                }
                case ANSWER -> {
                    if (e.outcome().equals("stale")) {
                        row.stale++;
                        Spot spot = new Spot(e.volume(), e.offset() / extentBytes.get(e.volume()));
                        long since = e.time() - switched.getOrDefault(spot, Long.MIN_VALUE / 2);
                        if (since <= BELONGS) {
                            last.put(spot, since);
                        }
                    }
                }
                default -> {}
            }
        }
        last.values().forEach(micros -> note(row, micros));
    }

    private static void note(Row row, Long micros) {
        if (micros != null) {
            row.untilLast.recordValue(micros);
        }
    }

    private static void reply(Row row, TraceEvent e, long askedAt, long movedVolume, long begin, long from, long to) {
        if (e.time() > to) {
            return;
        }
        row.asked++;
        row.late += e.outcome().equals("late") ? 1 : 0;
        boolean served = e.outcome().equals("served") || e.outcome().equals("late");
        row.undone += served ? 0 : 1;
        if (!served) {
            return;
        }
        long took = Math.max(1, e.time() - askedAt);
        if (askedAt >= from) {
            (e.volume() == movedVolume ? row.moved : row.during).recordValue(took);
        } else if (askedAt >= begin + (from - begin) / 3 && e.volume() != movedVolume) {
            row.before.recordValue(took); // the first third is warming up
        }
    }
}
