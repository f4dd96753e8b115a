package garnetreel.core.request;

import garnetreel.core.ExtentLayout;
import garnetreel.core.Volume;

/** Locates extents according to the gateway's current extent map. */
public interface ExtentRouter {
    /** The location of the extent that holds an offset of a volume. */
    ExtentLayout.ExtentLocation locate(Volume volume, long offset);

    /** A node rejected a request as routed by an outdated map version, so the extent map should be refreshed. */
    void reportStale();
}
