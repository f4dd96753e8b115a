package garnetreel.testbed.rules;

import garnetreel.testbed.trace.TraceEvent;

/** One process lifetime of a gateway, identified by its number. Request ids increase within an incarnation. */
record GatewayIncarnation(String gateway, long incarnation) {
    static GatewayIncarnation of(TraceEvent event) {
        return new GatewayIncarnation(event.counterpart(), event.incarnation());
    }
}
