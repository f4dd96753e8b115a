package garnetreel.testbed.trace;

import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An event observed on a socket by a component of the testbed. Fields that do not apply to an event are 0, -1 or empty.
 *
 * @param time microseconds since the epoch
 * @param observer the fake node, fake node list or load generator that observed the event; for a stall, the gateway
 * @param counterpart the gateway, by its number or address, as known to the observer; "map" for a migration step
 * @param kind kind of the event
 * @param tag the client's identifier of its request, the same at the client and at the nodes
 * @param request the gateway's id of the request
 * @param attempt number of the attempt at that request, from 0
 * @param incarnation incarnation of the gateway or of the node
 * @param operation label of the operation, in lower case
 * @param volume number of the volume
 * @param shard shard of the node
 * @param units size in units
 * @param version version of the extent that the request was routed by
 * @param key ordering key: requests with the same key are executed in order
 * @param offset offset in the volume, in bytes
 * @param length number of bytes requested or written
 * @param outcome label of the outcome
 */
public record TraceEvent(
        long time,
        String observer,
        String counterpart,
        Kind kind,
        long tag,
        long request,
        int attempt,
        long incarnation,
        String operation,
        long volume,
        int shard,
        int units,
        long version,
        long key,
        long offset,
        long length,
        String outcome) {

    /** Kinds of events. */
    public enum Kind {
        /** A client sent a request. */
        REQUEST("ask"),
        /** A client received the answer to a request. */
        REPLY("reply"),
        /** A client stopped waiting for an answer. */
        GIVE_UP("give_up"),
        /** A client's connection ended while a request was in flight. */
        LEAVE("leave"),
        /** A client read wrong data. */
        MISREAD("misread"),
        /** An attempt arrived at a node. */
        ARRIVE("arrive"),
        /** A node executed an attempt: it changed or read its data. */
        EXECUTE("run"),
        /** A node did not execute an attempt because it had executed the request before. */
        REPEAT("repeat"),
        /** A node answered an attempt. */
        ANSWER("answer"),
        /** A node started, at the address in {@code operation}. */
        START("start"),
        /** A node collapsed under overload while it was cold. */
        COLLAPSE("fell"),
        /** A node executed or rejected a step of a migration; {@code key} is the extent. */
        MIGRATION_STEP("step"),
        /** A fault of a component of the testbed was activated or cleared. */
        FAULT("fault"),
        /**
         * The node list notified a gateway of a node's state, given in {@code outcome}; {@code operation} is its
         * address.
         */
        NOTIFY("told");

        private static final Map<String, Kind> BY_LABEL =
                Stream.of(values()).collect(Collectors.toUnmodifiableMap(Kind::label, kind -> kind));

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** Name in a trace file. */
        public String label() {
            return label;
        }

        /**
         * The kind with a name in trace files, ignoring case.
         *
         * @throws IllegalArgumentException if there is none
         */
        static Kind ofLabel(String label) {
            Kind kind = BY_LABEL.get(label.toLowerCase(Locale.ROOT));
            if (kind == null) {
                throw new IllegalArgumentException("unknown kind of event: " + label);
            }
            return kind;
        }
    }

    /** Creates an event of a client. */
    public static TraceEvent client(
            long time,
            String observer,
            String gateway,
            Kind kind,
            long tag,
            String operation,
            long volume,
            long offset,
            long length,
            String outcome) {
        return new TraceEvent(
                time, observer, gateway, kind, tag, 0, 0, 0, operation, volume, -1, 0, 0, -1, offset, length, outcome);
    }

    /** Creates an event of a process that does not belong to a request. */
    public static TraceEvent state(
            long time, String observer, String counterpart, Kind kind, String operation, int shard, String outcome) {
        return new TraceEvent(
                time, observer, counterpart, kind, 0, 0, 0, 0, operation, -1, shard, 0, 0, -1, 0, 0, outcome);
    }
}
