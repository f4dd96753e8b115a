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

/** What maps come to: bytes of a refresh, time of a recovery, memory. */
public final class MapSizes {
    private static final int[] EXTENTS = {1_000, 100_000, 1_000_000};
    private static final int[] RECORDS = {1_000, 10_000, 50_000};
    private static final List<Integer> SHARDS = List.of(0, 1, 2, 3, 4, 5, 6, 7);
    private static final int WARM = 5;

    private final PrintWriter out;

    public MapSizes(PrintWriter out) {
        this.out = out;
    }

    /** A volume whose every extent has moved: the largest a map can be. */
    private static Snapshot moved(int extents) {
        List<MovedExtent> all = new ArrayList<>(extents);
        for (int i = 0; i < extents; i++) {
            all.add(new MovedExtent(i, (i + 3) % SHARDS.size(), i + 2L));
        }
        return new Snapshot(1, extents + 1L, List.of(new VolumeMap(1, extents, 1 << 20, SHARDS, all)));
    }

    /** Bytes and time of a refresh, by delta of one and of a hundred changes and whole. */
    public void refresh() throws IOException {
        out.println(
                "| extents, all moved | one change, bytes | 100 changes, bytes | whole, bytes | whole over 100 changes | "
                        + "following one change, us | taking the whole, us |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int extents : EXTENTS) {
            Snapshot whole = moved(extents);
            long wholeBytes = MapCodec.frame(whole).remaining();
            long one = MapCodec.frame(changes(extents, 1)).remaining();
            long hundred = MapCodec.frame(changes(extents, 100)).remaining();
            double takeWhole = 0;
            double takeOne = 0;
            for (int run = 0; run < WARM; run++) {
                MapCache cache = new MapCache();
                takeWhole = time(() -> cache.apply((Snapshot) read(MapCodec.frame(whole))));
                takeOne = time(() -> cache.apply((Changes) read(MapCodec.frame(changes(extents, 1)))));
            }
            out.printf(
                    Locale.ROOT,
                    "| %d | %d | %d | %d | %.0f | %.0f | %.0f |%n",
                    extents,
                    one,
                    hundred,
                    wholeBytes,
                    (double) wholeBytes / hundred,
                    takeOne,
                    takeWhole);
            out.flush();
        }
    }

    private static Changes changes(int extents, int count) {
        List<Change> list = new ArrayList<>();
        long held = extents + 1L;
        for (int i = 1; i <= count; i++) {
            list.add(new Change(1, (long) i * 7919 % extents, i % SHARDS.size(), held + i));
        }
        return new Changes(1, held, held + count, list);
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

    private static double time(Runnable what) {
        long from = System.nanoTime();
        what.run();
        return (System.nanoTime() - from) / 1e3;
    }

    /** Time from a killed service to its state, by how many transactions its journal holds, and with a snapshot. */
    public void recovery() throws IOException {
        out.println(
                "| transactions | moved extents | journal, KiB | opening and applying all, ms | with a snapshot, KiB | ms |");
        out.println("| --- | --- | --- | --- | --- | --- |");
        for (int records : RECORDS) {
            Path directory = Files.createTempDirectory("garnetreel-map-lab");
            Path file = directory.resolve("map.journal");
            Snapshot begin = new Snapshot(1, 1, List.of(new VolumeMap(1, 100_000, 1 << 20, SHARDS, List.of())));
            MapState state = new MapState(begin);
            try (Journal journal = new Journal(file)) {
                SplittableRandom random = new SplittableRandom(records);
                while (state.seq() < records) {
                    oneMove(state, random, journal);
                }
            }
            long bytes = Files.size(file) >> 10;
            double plain = recover(file, begin, state);
            try (Journal journal = new Journal(file)) {
                journal.snapshot(state.seq(), state.snapshot(), MapState.HISTORY_LIMIT);
            }
            long snapshotBytes = Files.size(file) >> 10;
            double snapshot = recover(file, begin, state);
            out.printf(
                    Locale.ROOT,
                    "| %d | %d | %d | %.0f | %d | %.0f |%n",
                    state.seq(),
                    state.map(1).toMessage().movedExtents().size(),
                    bytes,
                    plain,
                    snapshotBytes,
                    snapshot);
            out.flush();
            Files.delete(file);
            Files.delete(directory);
        }
    }

    private static void oneMove(MapState state, SplittableRandom random, Journal journal) throws IOException {
        long extent = random.nextLong(100_000);
        int to = random.nextInt(SHARDS.size());
        if (state.map(1).shard(extent) == to) {
            return;
        }
        Migration move = state.newMigration(1, extent, to);
        for (Migration.State next : List.of(
                Migration.State.COPYING, Migration.State.FENCING, Migration.State.SWITCHED, Migration.State.DONE)) {
            Transaction t = state.migrationTransaction(
                    new Migration(
                            move.id(),
                            move.volume(),
                            move.extent(),
                            move.from(),
                            move.to(),
                            move.oldVersion(),
                            move.newVersion(),
                            next),
                    "lab",
                    state.seq(),
                    "measured");
            journal.append(t.seq(), t.bytes());
            state.apply(t);
            move = t.migration();
        }
    }

    private static double recover(Path file, Snapshot begin, MapState expected) throws IOException {
        double best = Double.MAX_VALUE;
        for (int run = 0; run < WARM; run++) {
            long from = System.nanoTime();
            try (Journal journal = new Journal(file)) {
                Journal.Contents kept = journal.contents();
                MapState state = MapState.recover(begin, kept.snapshot(), kept.records());
                best = Math.min(best, (System.nanoTime() - from) / 1e6);
                if (state.seq() != expected.seq() || !state.mapSnapshot().equals(expected.mapSnapshot())) {
                    throw new IllegalStateException("recovered another state than was kept");
                }
            }
        }
        return best;
    }

    /** Heap that a map holds, over an empty one. */
    public void memory() {
        out.println("| extents | moved | MiB held | bytes an extent |");
        out.println("| --- | --- | --- | --- |");
        for (int extents : EXTENTS) {
            for (double share : new double[] {0, 0.01, 1}) {
                long before = heap();
                ExtentMap map = partly(extents, share);
                long held = heap() - before;
                out.printf(
                        Locale.ROOT,
                        "| %d | %.0f%% | %.2f | %.1f |%n",
                        map.extents(),
                        100 * share,
                        held / 1048576.0,
                        (double) held / extents);
                out.flush();
            }
        }
    }

    private static ExtentMap partly(int extents, double share) {
        SplittableRandom random = new SplittableRandom(extents);
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < extents; i++) {
            if (random.nextDouble() < share) {
                changes.add(new Change(1, i, i % 5, i + 2L));
            }
        }
        return ExtentMap.of(1, extents, 1 << 20, SHARDS).with(changes);
    }

    private static long heap() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < WARM; i++) {
            System.gc();
            least = Math.min(
                    least,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return least;
    }
}
