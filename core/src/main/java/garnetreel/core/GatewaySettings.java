package garnetreel.core;

import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SchedulerSettings;
import java.util.List;
import java.util.Map;

/**
 * Settings of a gateway, fixed while it runs.
 *
 * @param gatewayNumber number of this gateway within the deployment
 * @param incarnation number that is different at each start of the gateway
 * @param nbdAddress address for NBD clients, host:port
 * @param nodeListAddress address of the node list service, host:port
 * @param mapServiceAddress address of the map service, host:port; empty if extents never leave their initial placement
 * @param scheduling settings of the scheduler
 * @param volumes all volumes; NBD clients see those of {@link #exports()}
 * @param replyMargin microseconds by which the gateway's deadline for a reply precedes that of the request class, to
 *     allow for the transfer to the client
 * @param bounds limits of the resources that the gateway uses
 * @param connections settings of the connections to nodes, node list and map service
 * @param files settings of the rsync service
 */
public record GatewaySettings(
        int gatewayNumber,
        long incarnation,
        String nbdAddress,
        String nodeListAddress,
        String mapServiceAddress,
        SchedulerSettings scheduling,
        List<Volume> volumes,
        long replyMargin,
        Bounds bounds,
        ConnectionSettings connections,
        Files files) {

    /** The volumes exported by NBD: all but those of rsync modules, whose files a block client would overwrite. */
    public List<Volume> exports() {
        return volumes.stream()
                .filter(v -> files.modules().stream().noneMatch(m -> m.volume().equals(v.name())))
                .toList();
    }

    /** The longest time limit of a request class, in microseconds. */
    public long longestTimeLimit() {
        return scheduling.classes().stream()
                .mapToLong(RequestClass::timeLimit)
                .max()
                .orElse(0);
    }

    /** A copy of these settings with other settings of the rsync service. */
    public GatewaySettings withFiles(Files other) {
        return new GatewaySettings(
                gatewayNumber,
                incarnation,
                nbdAddress,
                nodeListAddress,
                mapServiceAddress,
                scheduling,
                volumes,
                replyMargin,
                bounds,
                connections,
                other);
    }

    /**
     * Settings of the rsync service.
     *
     * @param rsyncAddress address for rsync clients, host:port; empty if rsync is not served
     * @param modules the modules that clients can choose from
     * @param challengeSecret random secret from which authentication challenges are derived
     */
    public record Files(String rsyncAddress, List<Module> modules, byte[] challengeSecret) {
        /** The rsync service is disabled. */
        public static final Files NONE = new Files("", List.of(), new byte[0]);
    }

    /**
     * An rsync module: a directory tree that clients select by name.
     *
     * @param comment description, shown in the list of modules
     * @param volume the volume that stores its files exclusively
     * @param users passwords by user name; empty if no authentication is required
     */
    public record Module(String name, String comment, String volume, boolean readOnly, Map<String, String> users) {}

    /**
     * Resource limits of a gateway. The behaviour at each limit is described in docs/gateway.md.
     *
     * @param connections maximum number of client connections
     * @param connectionRequests maximum number of operations (client requests) in progress per connection; at the
     *     limit, reading from it is suspended
     * @param gatewayRequests maximum number of operations in progress at this gateway; at the limit, new ones are
     *     rejected
     * @param connectionBytes maximum number of payload and reply bytes buffered per connection; at the limit, reading
     *     is suspended
     * @param gatewayBytes byte budget shared by all client connections
     * @param maxPayload maximum size of a read or write in bytes
     * @param unitBytes bytes that the scheduler counts as one unit; a sub-request has at most its {@code maxUnits}
     * @param keyBytes size of the blocks whose bytes share a key; the scheduler orders and nodes deduplicate by key
     * @param handshakeTimeout time limit of a client's handshake, in microseconds
     */
    public record Bounds(
            int connections,
            int connectionRequests,
            int gatewayRequests,
            long connectionBytes,
            long gatewayBytes,
            int maxPayload,
            int unitBytes,
            int keyBytes,
            long handshakeTimeout) {}

    /**
     * Settings of the connections to nodes, node list and map service; times are in microseconds.
     *
     * @param maxPerNode maximum number of connections to one node
     * @param maxAttempts maximum number of attempts in flight on a connection to a node
     * @param idleTimeout time after which an unused connection to a node is closed
     * @param connectTimeout time within which a connection to a node must be ready
     * @param nodeListCallTimeout time within which the node list service must answer a call
     * @param silenceTimeout time without a message after which a connection to the map service or a node list
     *     subscription counts as broken
     * @param subscribeToMap whether to subscribe to changes of the extent map; if false, they are requested only after
     *     a stale answer
     */
    public record ConnectionSettings(
            int maxPerNode,
            int maxAttempts,
            long idleTimeout,
            long connectTimeout,
            long nodeListCallTimeout,
            long silenceTimeout,
            boolean subscribeToMap) {}
}
