package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Every malformed response is counted; they are logged at a limited rate. */
class MalformedResponseLogTest {
    @Test
    void theFirstResponseIsLoggedAtOnceAndTheNextAfterFiveSeconds() {
        MalformedResponseLog log = new MalformedResponseLog();
        List<NetAction> actions = new ArrayList<>();
        log.report("s-1", "garbage", 0, actions);
        log.report("s-2", "garbage", 4_999_999, actions);
        log.report("s-3", "too long", 5_000_000, actions);
        assertEquals(
                List.of(
                        new NetAction.Log(
                                Level.WARN, "1 malformed responses so far, the last from endpoint s-1: garbage"),
                        new NetAction.Log(
                                Level.WARN, "3 malformed responses so far, the last from endpoint s-3: too long")),
                actions);
    }
}
