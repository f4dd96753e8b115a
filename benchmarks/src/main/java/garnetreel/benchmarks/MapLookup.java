package garnetreel.benchmarks;

import garnetreel.codec.map.MapMessage.Change;
import garnetreel.map.ExtentMap;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Cost of looking up the shard and version of a random extent, and of creating a map with one more change. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class MapLookup {
    private static final int LOOKUP_COUNT = 1 << 16;

    /** Number of extents of the volume. */
    @Param({"1000", "1000000"})
    public int extents;

    /** Fraction of the extents that have moved. */
    @Param({"0", "1"})
    public double moved;

    private ExtentMap map;
    private int[] lookupExtents;
    private int next;

    /** Creates the map, and draws the extents that are looked up. */
    @Setup
    public void setUp() {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < extents * moved; i++) {
            changes.add(new Change(1, i, i % 7, i + 2L));
        }
        map = ExtentMap.of(1, extents, 1 << 20, List.of(0, 1, 2, 3)).with(changes);
        lookupExtents =
                new SplittableRandom(extents).ints(LOOKUP_COUNT, 0, extents).toArray();
    }

    /** Looks up an extent as a gateway does. */
    @Benchmark
    public long lookup() {
        long extent = lookupExtents[next++ & LOOKUP_COUNT - 1];
        return map.shard(extent) + map.version(extent);
    }

    /** Creates a map with one more change. */
    @Benchmark
    public ExtentMap change() {
        long extent = lookupExtents[next++ & LOOKUP_COUNT - 1];
        return map.with(List.of(new Change(1, extent, 5, extents + 2L)));
    }
}
