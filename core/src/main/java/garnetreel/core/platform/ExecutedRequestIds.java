package garnetreel.core.platform;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Correlation ids of completed requests that may have been executed and must not be executed twice. Clients use a fresh
 * id for every request, their retries included; one that comes again is a request that was sent twice, for example by a
 * client that left before it had its answer. The oldest ids are forgotten first.
 */
final class ExecutedRequestIds {
    /** About 1.5 MB of heap. */
    static final int MAX_IDS = 16_384;

    private static final int HEX_RADIX = 16;

    private final Set<Long> ids = new LinkedHashSet<>();

    /** Records an id of 16 hexadecimal digits. */
    void add(String correlationId) {
        if (ids.size() >= MAX_IDS) {
            Iterator<Long> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
        ids.add(Long.parseUnsignedLong(correlationId, HEX_RADIX));
    }

    /** Whether a request with this id may have been executed. */
    boolean contains(String correlationId) {
        return ids.contains(Long.parseUnsignedLong(correlationId, HEX_RADIX));
    }
}
