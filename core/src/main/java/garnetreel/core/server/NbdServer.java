package garnetreel.core.server;

import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.request.BlockBackend;
import java.util.LinkedHashMap;
import java.util.Map;

/** The NBD connections of a gateway, and the exports that they may open. */
public final class NbdServer extends ProtocolServer<NbdSession> {
    final BlockBackend backend;
    /** By name, in the order of the settings, which is that of the list that clients get. */
    final Map<String, Volume> exports = new LinkedHashMap<>();

    /** A server without connections, for the exports of the settings. */
    public NbdServer(GatewaySettings settings, BlockBackend backend, ByteBudget byteBudget) {
        super(settings, byteBudget);
        this.backend = backend;
        settings.exports().forEach(v -> exports.put(v.name(), v));
    }

    GatewaySettings settings() {
        return settings;
    }

    ByteBudget byteBudget() {
        return byteBudget;
    }

    /** The export of a name; the empty name is the first export. Null when there is none. */
    Volume export(String name) {
        return name.isEmpty() && !exports.isEmpty()
                ? exports.values().iterator().next()
                : exports.get(name);
    }

    @Override
    protected NbdSession open(long conn, boolean rejected, long handshakeDeadline) {
        return new NbdSession(this, conn, rejected, handshakeDeadline);
    }
}
