package garnetreel.testbed.trace;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.nodelist.NodeListMessage;

/**
 * The labels of protocol operations, results and states in traces. They are part of the trace format and must not
 * change when a constant is renamed.
 */
public final class TraceLabels {
    /** Label of the fault of a gateway that is stopped. */
    public static final String STALL = "stall";

    private TraceLabels() {}

    /** Label of an operation. */
    public static String of(NodeMessage.Op op) {
        return switch (op) {
            case READ -> "read";
            case WRITE -> "write";
            case ZERO -> "zero";
            case TRIM -> "trim";
            case FLUSH -> "flush";
            case CACHE -> "cache";
            case STATUS -> "status";
        };
    }

    /** Label of a node's result. */
    public static String of(NodeMessage.Result result) {
        return switch (result) {
            case OK -> "ok";
            case ERROR -> "error";
            case FULL -> "full";
            case UNKNOWN_SHARD -> "moot";
            case STALE -> "stale";
        };
    }

    /** Label of a migration step. */
    public static String of(NodeMessage.Step step) {
        return switch (step) {
            case TRACK -> "track";
            case TAKE -> "take";
            case RECEIVE -> "receive";
            case PUT -> "put";
            case FENCE -> "fence";
            case SERVE -> "serve";
            case RELEASE -> "release";
            case UNFENCE -> "unfence";
            case FORGET -> "forget";
            case LOAD -> "load";
            case CHECKSUM -> "sum";
            case LIST_EXTENTS -> "holds";
        };
    }

    /** Label of a node's state in the node list. */
    public static String of(NodeListMessage.State state) {
        return switch (state) {
            case UP -> "up";
            case DRAINING -> "draining";
            case GONE -> "gone";
        };
    }
}
