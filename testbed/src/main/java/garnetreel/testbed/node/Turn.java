package garnetreel.testbed.node;

import garnetreel.core.io.NetAction;
import java.util.ArrayList;
import java.util.List;

/** The current turn of a fake node: its time and requested actions. Shared by the components of the node. */
final class Turn {
    private List<NetAction> actions = new ArrayList<>();
    private long now;

    void begin(long time, List<NetAction> into) {
        now = Math.max(now, time);
        actions = into;
    }

    long now() {
        return now;
    }

    void add(NetAction action) {
        actions.add(action);
    }
}
