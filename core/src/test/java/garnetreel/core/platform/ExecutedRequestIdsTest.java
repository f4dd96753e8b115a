package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import org.junit.jupiter.api.Test;

class ExecutedRequestIdsTest {
    private final ExecutedRequestIds ids = new ExecutedRequestIds();

    private static String id(int number) {
        return String.format(Locale.ROOT, "ffff%012x", number);
    }

    @Test
    void theOldestIdsAreForgottenAtTheBound() {
        for (int number = 0; number <= ExecutedRequestIds.MAX_IDS; number++) {
            ids.add(id(number));
        }
        assertFalse(ids.contains(id(0)));
        assertTrue(ids.contains(id(1)));
        assertTrue(ids.contains(id(ExecutedRequestIds.MAX_IDS)));
    }
}
