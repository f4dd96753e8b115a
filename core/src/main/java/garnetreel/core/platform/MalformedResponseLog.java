package garnetreel.core.platform;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import java.util.List;

/**
 * Logs malformed responses at a limited rate. The logged reason can reveal that the gateway's parser rejects valid
 * responses, which the counter of malformed responses can't.
 */
final class MalformedResponseLog {
    /** Minimum time between two messages, in microseconds, so that one faulty endpoint can't flood the log. */
    private static final long MIN_INTERVAL_MICROS = 5_000_000;

    private long count;
    /**
     * Time of the last message. It starts at half of the minimum value, so that subtracting it from any time can't
     * overflow.
     */
    private long loggedAt = Long.MIN_VALUE / 2;

    void report(String endpoint, String reason, long now, List<NetAction> actions) {
        count++;
        if (now - loggedAt >= MIN_INTERVAL_MICROS) {
            loggedAt = now;
            actions.add(new NetAction.Log(
                    Level.WARN,
                    count + " malformed responses so far, the last from endpoint " + endpoint + ": " + reason));
        }
    }
}
