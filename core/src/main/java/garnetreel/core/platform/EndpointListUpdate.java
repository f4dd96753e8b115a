package garnetreel.core.platform;

import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import java.util.ArrayList;
import java.util.List;

/**
 * One message from discovery about the endpoint list.
 *
 * @param version version of the endpoint list after this update
 * @param complete true for the complete list, false for the entries that changed
 */
record EndpointListUpdate(long version, boolean complete, List<Entry> entries) {
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * One endpoint.
     *
     * @param address the network address to which this gateway connects
     * @param endpoint the endpoint for the scheduler
     */
    record Entry(String address, EndpointEntry endpoint) {}

    /**
     * Decodes a message.
     *
     * @throws JsonException if a field is missing or malformed
     */
    static EndpointListUpdate read(Json json) throws JsonException {
        List<Entry> entries = new ArrayList<>();
        for (Json entry : json.children("hosts")) {
            entries.add(readEntry(entry));
        }
        return new EndpointListUpdate(json.require("seq").integer("seq", 0), json.flag("whole", false), entries);
    }

    private static Entry readEntry(Json json) throws JsonException {
        EndpointState state = readState(json.text("health", "up"));
        String address = json.text("dial", "");
        EndpointEntry endpoint = new EndpointEntry(
                json.require("host").text("host", ""),
                json.text("site", ""),
                (int) json.integer("block", 0),
                state,
                json.number("share", 1),
                json.integer("born_ms", 0) * MICROS_PER_MILLI);
        return new Entry(address, endpoint);
    }

    /** An unknown state counts as draining, so that only endpoints known to be up get new requests. */
    private static EndpointState readState(String health) {
        return switch (health) {
            case "up" -> EndpointState.UP;
            case "removed" -> EndpointState.REMOVED;
            default -> EndpointState.DRAINING;
        };
    }

    EndpointUpdate toEvent(EndpointUpdateKind kind) {
        return new EndpointUpdate(kind, entries.stream().map(Entry::endpoint).toList());
    }
}
