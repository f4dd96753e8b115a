package garnetreel.mapservice;

import garnetreel.core.io.NetAction;
import java.util.ArrayList;
import java.util.List;

/**
 * Time and actions of the current turn, shared by the components of the service so that all actions are in one order.
 */
final class TurnContext {
    private long now;
    private List<NetAction> actions = new ArrayList<>();

    /** Begins a turn. Time never goes backwards, even if the caller's clock does. */
    void beginTurn(long time, List<NetAction> out) {
        now = Math.max(now, time);
        actions = out;
    }

    /** Time of the turn, in microseconds. */
    long now() {
        return now;
    }

    void add(NetAction action) {
        actions.add(action);
    }

    void warn(String text) {
        add(new NetAction.Log(NetAction.Level.WARN, text));
    }
}
