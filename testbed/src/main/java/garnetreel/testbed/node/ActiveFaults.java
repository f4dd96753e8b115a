package garnetreel.testbed.node;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The faults that are active on a fake node; some of them affect a random share of events. */
final class ActiveFaults {
    private final Map<NodeFault.Kind, Double> amounts = new EnumMap<>(NodeFault.Kind.class);
    private final SplittableRandom random;

    ActiveFaults(SplittableRandom random) {
        this.random = random;
    }

    void apply(NodeFault fault) {
        if (fault.clears()) {
            amounts.remove(fault.kind());
        } else {
            amounts.put(fault.kind(), fault.amount());
        }
    }

    boolean isActive(NodeFault.Kind kind) {
        return amounts.containsKey(kind);
    }

    /** Amount of a fault; 0 while it is not active. */
    double amount(NodeFault.Kind kind) {
        return amounts.getOrDefault(kind, 0.0);
    }

    /** Whether a fault that affects a share of events affects this one. Draws a random number only if it is active. */
    boolean affects(NodeFault.Kind kind) {
        double share = amount(kind);
        return share > 0 && random.nextDouble() < share;
    }

    /** Whether the node sends no answers at all. */
    boolean suppressesAnswers() {
        return isActive(NodeFault.Kind.SILENCE) || isActive(NodeFault.Kind.HALF_OPEN);
    }
}
