package garnetreel.testbed.node;

import garnetreel.core.io.NetEvent;

/**
 * A command that activates a fault on a fake node, or clears it.
 *
 * @param amount parameter of the fault, whose meaning depends on the kind; 0 clears the fault
 */
public record NodeFault(Kind kind, double amount) implements NetEvent.Command {

    /** Kinds of faults. */
    public enum Kind {
        /** Reads and executes requests, but never answers. */
        SILENCE("silence"),
        /** Work takes {@code amount} times as long; 1 has no effect. */
        SLOW("slow"),
        /** The share {@code amount} of requests is answered with an error immediately. */
        ERRORS("errors"),
        /** The share {@code amount} of answers is lost, although the requests are executed. */
        LOSE_ANSWERS("lose_answers"),
        /** Each connection is closed after {@code amount} bytes have been written to it. */
        CUT_AFTER("cut_after"),
        /** Stops reading and writing; connections stay open. */
        HALF_OPEN("half_open"),
        /** Stops accepting connections and aborts the open ones. */
        REFUSE("refuse"),
        /** Flips one bit in the share {@code amount} of messages sent to clients. */
        CORRUPT("corrupt"),
        /** The node ignores commands of the map service, as if it were unreachable; gateways are served as usual. */
        CUT_OFF("cut_off"),
        /** Drains: notifies the node list, and answers new requests with FULL after {@code amount} microseconds. */
        DRAIN("drain");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** The name in traces. */
        public String label() {
            return label;
        }
    }

    /** Whether this command clears the fault. */
    boolean clears() {
        return amount == 0;
    }
}
