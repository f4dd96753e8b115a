package garnetreel.testbed.node;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts units served per extent and working time between two load reports. A report lists the busiest extents. */
final class LoadMeter {
    /** Maximum number of extents in a report. */
    private static final int MAX_REPORTED_EXTENTS = 256;
    /** Maximum number of extents counted between two reports; the others count only towards the sum. */
    private static final int MAX_COUNTED_EXTENTS = 16_384;
    /** Size of a report in bytes without its extents. */
    private static final int REPORT_HEADER = 32;

    /** Size in bytes of an extent in a report. */
    private static final int REPORT_ENTRY = 24;
    /** Keeps the rates of a report finite if it immediately follows another. */
    private static final double MIN_SECONDS = 0.001;

    private final Map<ExtentTable.ExtentId, Long> unitsByExtent = new HashMap<>();
    private long units;
    private long workMicros;
    private long countedSince;

    /** Counts a request that was executed. */
    void countRequest(long volume, long extent, int requestUnits, long now) {
        if (countedSince == 0) {
            countedSince = now;
        }
        units += requestUnits;
        ExtentTable.ExtentId id = new ExtentTable.ExtentId(volume, extent);
        if (unitsByExtent.size() < MAX_COUNTED_EXTENTS || unitsByExtent.containsKey(id)) {
            unitsByExtent.merge(id, (long) requestUnits, Long::sum);
        }
    }

    /** Adds working time of one core. */
    void addWork(long micros) {
        workMicros += micros;
    }

    /** Returns the report for {@link garnetreel.codec.node.NodeMessage.Step#LOAD} and resets all counts. */
    ByteBuffer takeReport(long now, int cores, long usedBytes, long capacity) {
        double seconds = Math.max(MIN_SECONDS, (now - (countedSince == 0 ? now : countedSince)) / 1e6);
        List<Map.Entry<ExtentTable.ExtentId, Long>> busiest = busiestExtents();
        ByteBuffer report = ByteBuffer.allocate(REPORT_HEADER + REPORT_ENTRY * busiest.size())
                .putDouble(units / seconds)
                .putDouble(workMicros / 1e6 / seconds / Math.max(1, cores))
                .putLong(usedBytes)
                .putLong(capacity);
        for (Map.Entry<ExtentTable.ExtentId, Long> extent : busiest) {
            report.putLong(extent.getKey().volume())
                    .putLong(extent.getKey().extent())
                    .putDouble(extent.getValue() / seconds);
        }
        unitsByExtent.clear();
        units = 0;
        workMicros = 0;
        countedSince = now;
        return report.flip();
    }

    private List<Map.Entry<ExtentTable.ExtentId, Long>> busiestExtents() {
        List<Map.Entry<ExtentTable.ExtentId, Long>> sorted = new ArrayList<>(unitsByExtent.entrySet());
        sorted.sort(Map.Entry.<ExtentTable.ExtentId, Long>comparingByValue(Comparator.reverseOrder())
                .thenComparing(Map.Entry::getKey));
        return sorted.subList(0, Math.min(MAX_REPORTED_EXTENTS, sorted.size()));
    }
}
