package garnetreel.testbed.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The attempts that have not been answered, by tag, with the deadline of each. */
final class PendingReplies {
    private final Map<Long, LoadAttempt> attempts = new HashMap<>();
    private final TreeMap<Long, List<Long>> deadlines = new TreeMap<>();

    void add(long tag, LoadAttempt attempt, long deadline) {
        attempts.put(tag, attempt);
        deadlines.computeIfAbsent(deadline, key -> new ArrayList<>()).add(tag);
    }

    void remove(long tag) {
        attempts.remove(tag);
    }

    int size() {
        return attempts.size();
    }

    /** Removes the attempts whose deadlines have passed; their replies may still arrive. */
    void expireDue(long now, BiConsumer<Long, LoadAttempt> onExpired) {
        while (nextDeadline() <= now) {
            for (long tag : deadlines.pollFirstEntry().getValue()) {
                LoadAttempt attempt = attempts.remove(tag);
                if (attempt != null) {
                    onExpired.accept(tag, attempt);
                }
            }
        }
    }

    long nextDeadline() {
        return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.firstKey();
    }
}
