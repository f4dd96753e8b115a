package garnetreel.cli.testing.lab;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.MovedExtent;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.map.ExtentMap;
import garnetreel.map.MapCache;
import garnetreel.map.MapState;
import garnetreel.map.Migration;
import garnetreel.map.Transaction;
import garnetreel.store.Journal;
import java.io.IOException;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/** Measures extent maps: size and time of a refresh, time of a recovery, memory use. */
public final class MapSizes {
    private static final int[] EXTENTS = {1_000, 100_000, 1_000_000};
    private static final int[] RECORDS = {1_000, 10_000, 50_000};
    private static final List<Integer> SHARDS = List.of(0, 1, 2, 3, 4, 5, 6, 7);
    /** Repetitions of each measurement, of which the first ones warm up the JVM. */
    private static final int RUNS = 5;

    private final PrintWriter out;

    public MapSizes(PrintWriter out) {
        this.out = out;
    }

    /** The map of a volume of which every extent has moved, which is the largest map. */
    private static Snapshot fullyMovedMap(int extents) {
        List<MovedExtent> moved = new ArrayList<>(extents);
        for (int i = 0; i < extents; i++) {
            moved.add(new MovedExtent(i, (i + 3) % SHARDS.size(), i + 2L));
        }
        return new Snapshot(1, extents + 1L, List.of(new VolumeMap(1, extents, 1 << 20, SHARDS, moved)));
    }

    /** Measures a refresh by one change, by 100 changes and by the full map: bytes and time. */
    public void refresh() throws IOException {
        out.println(
                "| extents, all moved | one change, bytes | 100 changes, bytes | whole, bytes | whole over 100 changes | "
                        + "following one change, us | taking the whole, us |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int extents : EXTENTS) {
            Snapshot whole = fullyMovedMap(extents);
            long wholeBytes = MapCodec.frame(whole).remaining();
            long one = MapCodec.frame(changes(extents, 1)).remaining();
            long hundred = MapCodec.frame(changes(extents, 100)).remaining();
            double wholeMicros = 0;
            double oneMicros = 0;
            for (int run = 0; run < RUNS; run++) {
                MapCache cache = new MapCache();
                wholeMicros = timeMicros(() -> cache.apply((Snapshot) read(MapCodec.frame(whole))));
                oneMicros = timeMicros(() -> cache.apply((Changes) read(MapCodec.frame(changes(extents, 1)))));
            }
            out.printf(
                    Locale.ROOT,
                    "| %d | %d | %d | %d | %.0f | %.0f | %.0f |%n",
                    extents,
                    one,
                    hundred,
                    wholeBytes,
                    (double) wholeBytes / hundred,
                    oneMicros,
                    wholeMicros);
            out.flush();
        }
    }

    private static Changes changes(int extents, int count) {
        List<Change> list = new ArrayList<>();
        long version = extents + 1L;
        for (int i = 1; i <= count; i++) {
            list.add(new Change(1, (long) i * 7919 % extents, i % SHARDS.size(), version + i));
        }
        return new Changes(1, version, version + count, list);
    }

    private static MapMessage read(ByteBuffer frame) {
        ByteQueue queue = new ByteQueue();
        queue.add(frame);
        try {
            return MapCodec.next(queue);
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    private static double timeMicros(Runnable action) {
        long from = System.nanoTime();
        action.run();
        return (System.nanoTime() - from) / 1e3;
    }

    /** Measures the recovery time of the map state by transactions in the journal, without and with a snapshot. */
    public void recovery() throws IOException {
        out.println(
                "| transactions | moved extents | journal, KiB | opening and applying all, ms | with a snapshot, KiB | ms |");
        out.println("| --- | --- | --- | --- | --- | --- |");
        for (int records : RECORDS) {
            Path directory = Files.createTempDirectory("garnetreel-map-lab");
            Path file = directory.resolve("map.journal");
            Snapshot initial = new Snapshot(1, 1, List.of(new VolumeMap(1, 100_000, 1 << 20, SHARDS, List.of())));
            MapState state = new MapState(initial);
            try (Journal journal = new Journal(file)) {
                SplittableRandom random = new SplittableRandom(records);
                while (state.seq() < records) {
                    appendMigration(state, random, journal);
                }
            }
            long bytes = Files.size(file) >> 10;
            double withoutSnapshot = recoveryMillis(file, initial, state);
            try (Journal journal = new Journal(file)) {
                journal.snapshot(state.seq(), state.snapshot(), MapState.HISTORY_LIMIT);
            }
            long snapshotBytes = Files.size(file) >> 10;
            double withSnapshot = recoveryMillis(file, initial, state);
            out.printf(
                    Locale.ROOT,
                    "| %d | %d | %d | %.0f | %d | %.0f |%n",
                    state.seq(),
                    state.map(1).toMessage().movedExtents().size(),
                    bytes,
                    withoutSnapshot,
                    snapshotBytes,
                    withSnapshot);
            out.flush();
            Files.delete(file);
            Files.delete(directory);
        }
    }

    private static void appendMigration(MapState state, SplittableRandom random, Journal journal) throws IOException {
        long extent = random.nextLong(100_000);
        int to = random.nextInt(SHARDS.size());
        if (state.map(1).shard(extent) == to) {
            return;
        }
        Migration migration = state.newMigration(1, extent, to);
        for (Migration.State next : List.of(
                Migration.State.COPYING, Migration.State.FENCING, Migration.State.SWITCHED, Migration.State.DONE)) {
            Transaction t = state.migrationTransaction(
                    new Migration(
                            migration.id(),
                            migration.volume(),
                            migration.extent(),
                            migration.from(),
                            migration.to(),
                            migration.oldVersion(),
                            migration.newVersion(),
                            next),
                    "lab",
                    state.seq(),
                    "measured");
            journal.append(t.seq(), t.bytes());
            state.apply(t);
            migration = t.migration();
        }
    }

    private static double recoveryMillis(Path file, Snapshot initial, MapState expected) throws IOException {
        double fastest = Double.MAX_VALUE;
        for (int run = 0; run < RUNS; run++) {
            long from = System.nanoTime();
            try (Journal journal = new Journal(file)) {
                Journal.Contents contents = journal.contents();
                MapState state = MapState.recover(initial, contents.snapshot(), contents.records());
                fastest = Math.min(fastest, (System.nanoTime() - from) / 1e6);
                if (state.seq() != expected.seq() || !state.mapSnapshot().equals(expected.mapSnapshot())) {
                    throw new IllegalStateException("recovered state differs from the state in the journal");
                }
            }
        }
        return fastest;
    }

    /** Measures the heap that a map occupies. */
    public void memory() {
        out.println("| extents | moved | MiB held | bytes an extent |");
        out.println("| --- | --- | --- | --- |");
        for (int extents : EXTENTS) {
            for (double movedShare : new double[] {0, 0.01, 1}) {
                long before = usedHeap();
                ExtentMap map = partlyMovedMap(extents, movedShare);
                long heldBytes = usedHeap() - before;
                out.printf(
                        Locale.ROOT,
                        "| %d | %.0f%% | %.2f | %.1f |%n",
                        map.extents(),
                        100 * movedShare,
                        heldBytes / 1048576.0,
                        (double) heldBytes / extents);
                out.flush();
            }
        }
    }

    private static ExtentMap partlyMovedMap(int extents, double movedShare) {
        SplittableRandom random = new SplittableRandom(extents);
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < extents; i++) {
            if (random.nextDouble() < movedShare) {
                changes.add(new Change(1, i, i % 5, i + 2L));
            }
        }
        return ExtentMap.of(1, extents, 1 << 20, SHARDS).with(changes);
    }

    private static long usedHeap() {
        long smallest = Long.MAX_VALUE;
        for (int i = 0; i < RUNS; i++) {
            System.gc();
            smallest = Math.min(
                    smallest,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return smallest;
    }
}
