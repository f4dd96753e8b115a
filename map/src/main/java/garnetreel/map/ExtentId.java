package garnetreel.map;

import java.util.Comparator;

/** Identifies an extent; ordered by volume, then by number. */
record ExtentId(long volume, long extent) implements Comparable<ExtentId> {
    private static final Comparator<ExtentId> ORDER =
            Comparator.comparingLong(ExtentId::volume).thenComparingLong(ExtentId::extent);

    @Override
    public int compareTo(ExtentId other) {
        return ORDER.compare(this, other);
    }
}
