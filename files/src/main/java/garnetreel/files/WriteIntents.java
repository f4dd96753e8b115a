package garnetreel.files;

import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The regions of the modules' volumes that writes were sent to since the intents were last cleared. A region is
 * recorded in the journal before the first write to it is sent; so after a crash the space to which writes may still be
 * on their way is known, although what was reserved for them is not.
 */
final class WriteIntents {
    /** Larger regions need fewer records; smaller ones leave more space usable after a crash. */
    static final long REGION_BYTES = 1 << 20;

    /** Sequence number of the change that recorded a region, by region and module. */
    private final Map<String, TreeMap<Long, Long>> seqs = new HashMap<>();

    private static TreeSet<Long> regions(List<Piece> pieces) {
        TreeSet<Long> regions = new TreeSet<>();
        for (Piece piece : pieces) {
            long last = (piece.offset() + Math.max(piece.length(), 1) - 1) / REGION_BYTES;
            for (long region = piece.offset() / REGION_BYTES; region <= last; region++) {
                regions.add(region);
            }
        }
        return regions;
    }

    /** The regions of some pieces that are not recorded. */
    List<WriteIntent> missing(String module, List<Piece> pieces) {
        TreeMap<Long, Long> recorded = seqs.getOrDefault(module, new TreeMap<>());
        List<WriteIntent> missing = new ArrayList<>();
        for (long region : regions(pieces)) {
            if (!recorded.containsKey(region)) {
                missing.add(new WriteIntent(module, region));
            }
        }
        return missing;
    }

    /** Sequence number of the last change that recorded a region of some pieces, all of which are recorded. */
    long lastSeq(String module, List<Piece> pieces) {
        TreeMap<Long, Long> recorded = seqs.get(module);
        return regions(pieces).stream().mapToLong(recorded::get).max().orElse(0);
    }

    /** Whether a region that a piece lies in is recorded. */
    boolean cover(String module, Piece piece) {
        TreeMap<Long, Long> recorded = seqs.get(module);
        return recorded != null && regions(List.of(piece)).stream().anyMatch(recorded::containsKey);
    }

    void add(WriteIntent intent, long seq) {
        seqs.computeIfAbsent(intent.module(), unused -> new TreeMap<>()).put(intent.region(), seq);
    }

    void addAll(WriteIntents other) {
        other.all().forEach(intent -> add(intent, 0));
    }

    void clear() {
        seqs.clear();
    }

    boolean isEmpty() {
        return seqs.isEmpty();
    }

    /** All recorded regions. */
    List<WriteIntent> all() {
        List<WriteIntent> all = new ArrayList<>();
        seqs.forEach((module, regions) -> regions.keySet().forEach(region -> all.add(new WriteIntent(module, region))));
        return all;
    }
}
