package garnetreel.core.request;

import garnetreel.core.Volume;

/**
 * Tells which space writes sent to nodes may still change, also writes whose operations have ended or were abandoned.
 * Known for the volumes of rsync modules.
 */
public interface WriteSettlement {
    /** Whether such a write may still change a byte of a range. */
    boolean mayStillChange(Volume volume, long offset, long length);

    /** Whether any such write is left. */
    boolean hasUnsettledWrites();

    /** Number of writes found to be over, after each of which {@link #mayStillChange} may give another result. */
    long settledWrites();

    /** Time that a node may work on a write after the deadline until which it may begin it, in microseconds. */
    long maxWriteWork();
}
