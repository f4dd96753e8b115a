package garnetreel.testbed.scenario;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A fault injected in a scenario. Times are in microseconds.
 *
 * @param name name in the scenario file
 * @param nodes names of the affected nodes
 * @param gateways numbers of the affected gateways
 * @param loads names of the affected loads
 * @param start start time, relative to the scenario's start
 * @param duration duration of the fault
 * @param amount parameter of the fault, whose meaning depends on the kind
 */
public record ScheduledFault(
        String name,
        Kind kind,
        List<String> nodes,
        List<Integer> gateways,
        List<String> loads,
        long start,
        long duration,
        double amount) {

    /** Kinds of faults. */
    public enum Kind {
        /** Nodes are killed and restarted cold. */
        NODE_CRASH("node-crash"),
        /** Nodes stop answering, and are then restarted cold. */
        NODE_VANISH("node-vanish"),
        /** Nodes take {@code amount} times as long. */
        NODE_SLOW("node-slow"),
        /** Nodes answer the share {@code amount} of requests with errors. */
        NODE_ERRORS("node-errors"),
        /** The share {@code amount} of the nodes' answers is lost. */
        NODE_LOST_ANSWERS("node-lost-answers"),
        /** Nodes close each connection after writing {@code amount} bytes to it. */
        NODE_CUT("node-cut"),
        /** Nodes stop reading and writing; connections stay open. */
        NODE_HALF_OPEN("node-half-open"),
        /** Nodes refuse connections. */
        NODE_REFUSE("node-refuse"),
        /** Nodes flip a bit in the share {@code amount} of their messages. */
        NODE_CORRUPT("node-corrupt"),
        /** Nodes drain, are killed, and are restarted cold. */
        NODE_DRAIN("node-drain"),
        /** Nodes ignore commands of the map service, as if they were unreachable; gateways are served as usual. */
        NODE_CUT_OFF("node-cut-off"),
        /** The node list shows changes {@code amount} seconds late. */
        LIST_LAG("list-lag"),
        /** The node list fails the calls of gateways. */
        LIST_FAIL("list-fail"),
        /** The node list sends nothing. */
        LIST_SILENT("list-silent"),
        /** The node list is killed, and restarted without entries. */
        LIST_CRASH("list-crash"),
        /** The map service is killed, and restarted with its journal. */
        MAP_CRASH("map-crash"),
        /** The map service is stopped for the duration. */
        MAP_STALL("map-stall"),
        /** The map service is killed, and restarted from a backup that lacks the latest {@code amount} transactions. */
        MAP_RESTORE("map-restore"),
        /** Gateways are killed and restarted. */
        HEAD_CRASH("head-crash"),
        /** Gateways are stopped for the duration. */
        HEAD_STALL("head-stall"),
        /** Loads send {@code amount} times as many requests. */
        SURGE("surge");

        private static final Map<String, Kind> BY_LABEL =
                Stream.of(values()).collect(Collectors.toUnmodifiableMap(Kind::label, kind -> kind));

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** Name in scenario files. */
        public String label() {
            return label;
        }

        /**
         * The kind with a name in scenario files, ignoring case; dashes and underscores are equivalent.
         *
         * @throws IllegalArgumentException if there is none
         */
        public static Kind ofLabel(String label) {
            Kind kind = BY_LABEL.get(label.toLowerCase(Locale.ROOT).replace('_', '-'));
            if (kind == null) {
                throw new IllegalArgumentException("unknown kind of fault: " + label);
            }
            return kind;
        }
    }
}
