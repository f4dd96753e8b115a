package garnetreel.core.request;

import garnetreel.core.ExtentLayout;
import garnetreel.core.Volume;
import java.util.Set;

/** Locates extents according to the gateway's current extent map. */
public interface ExtentRouter {
    /** The location of the extent that holds an offset of a volume. */
    ExtentLayout.ExtentLocation locate(Volume volume, long offset);

    /** All shards that may hold data of a volume: those of its initial placement and those in the map. */
    Set<Integer> shards(Volume volume);

    /** Whether the map, if there is one, has been received or was stored by an earlier process. */
    boolean isMapKnown();

    /** A node rejected a request as routed by an outdated map version, so the extent map should be refreshed. */
    void reportStale();
}
