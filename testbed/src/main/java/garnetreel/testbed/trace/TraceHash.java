package garnetreel.testbed.trace;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

/** SHA-256 of a trace in the order of its events; equal hashes mean that two runs had identical traces. */
public final class TraceHash implements Trace {
    private final MessageDigest digest;

    /** Creates a hash without events. */
    public TraceHash() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform must support SHA-256
        }
    }

    @Override
    public synchronized void add(TraceEvent event) {
        digest.update(text(event).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * The text that is hashed. It must not change when fields are renamed, so that hashes of old traces stay
     * comparable.
     */
    static String text(TraceEvent event) {
        return "TraceEvent[time=" + event.time()
                + ", who=" + event.observer()
                + ", peer=" + event.counterpart()
                + ", kind=" + event.kind().label().toUpperCase(Locale.ROOT)
                + ", tag=" + event.tag()
                + ", request=" + event.request()
                + ", attempt=" + event.attempt()
                + ", life=" + event.incarnation()
                + ", op=" + event.operation()
                + ", volume=" + event.volume()
                + ", shard=" + event.shard()
                + ", units=" + event.units()
                + ", version=" + event.version()
                + ", key=" + event.key()
                + ", offset=" + event.offset()
                + ", length=" + event.length()
                + ", outcome=" + event.outcome() + "]";
    }

    /** Returns the hash of the events added since the last call, and resets it. */
    public synchronized String hex() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
