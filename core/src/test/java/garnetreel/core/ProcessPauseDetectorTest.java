package garnetreel.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.core.io.NetAction;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ProcessPauseDetectorTest {
    private final ProcessPauseDetector detector = new ProcessPauseDetector();
    private final List<NetAction> actions = new ArrayList<>();

    @Test
    void dataReadAfterAPauseCountsAsReceivedBeforeItUntilCaughtUp() {
        assertEquals(1_000_000, detector.beginTurn(1_000_000, true, actions));
        assertEquals(1_200_000, detector.beginTurn(1_200_000, true, actions));
        assertEquals(List.of(), actions);
        assertEquals(1_200_000, detector.beginTurn(1_400_001, true, actions));
        assertEquals(1, actions.size());
        assertEquals(1_200_000, detector.beginTurn(1_500_000, true, actions));
        assertEquals(1_500_001, detector.beginTurn(1_500_001, true, actions));
        assertEquals(1, actions.size());
    }

    @Test
    void gapWithoutClientsIsIgnored() {
        detector.beginTurn(1_000_000, false, actions);
        assertEquals(9_000_000, detector.beginTurn(9_000_000, false, actions));
        assertEquals(List.of(), actions);
        assertEquals(Long.MAX_VALUE, detector.nextDeadline(false));
        assertEquals(9_050_000, detector.nextDeadline(true));
    }
}
