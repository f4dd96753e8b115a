package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.FakeDiscovery.Entry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * All parties of one run: gateways as separate processes; storage servers behind fault proxies and discovery in this
 * process.
 */
final class SoakEnvironment implements AutoCloseable {
    static final int SHARDS = 3;
    private static final int SERVERS_PER_SHARD = 2;
    private static final long REPEAT_WINDOW_NANOS = 1_500_000_000L;
    private static final long IDLE_TIMEOUT_MILLIS = 3_000;
    private static final String SETTINGS =
            """
            {"balancers": %d, "discovery": "subscribe", "tick": 0.002,
             "classes": [{"name": "read", "aim": 0.4, "hard-limit": 2.5, "effect": "repeatable", "importance": 1},
                         {"name": "write", "aim": 0.4, "hard-limit": 2.5, "effect": "once", "importance": 1},
                         {"name": "keyed", "aim": 0.4, "hard-limit": 2.5, "effect": "by_key", "group": "cell",
                          "repeat-window": 1.5, "importance": 1}],
             "service-levels": [{"name": "gold", "usual-rate": 1000, "floor-rate": 500, "proportion": 1}],
             "rules": {"answer-slack": 0.05, "free-resends": 3, "further-ratio": 0.1, "extra-window": 5, "fall": 2,
                       "fall-multiple": 2.5, "cold-share": 0.2, "warm-within": 10, "stop-sending-within": 0.25},
             "limits": {"dial-timeout": 1.2, "idle-close": 3, "retry-after": true, "max-retry-after": 1, "try-limit": 3},
             "specifics": {"unit-mean": 2, "most-units": 8, "young-limit": 200, "class-writes": [false, true, true]}}""";

    final RequestLedger ledger;
    final FakeDiscovery discovery = new FakeDiscovery();
    final List<GatewayProcess> gateways = new ArrayList<>();
    final List<StorageServer> servers = new CopyOnWriteArrayList<>();
    private final Map<Integer, StorageServer.RepeatFilter> repeatFilters = new HashMap<>();
    private final SplittableRandom random;
    private int lastServerNumber;

    /** @param slackMillis scheduling delay of this machine that checks of times tolerate */
    SoakEnvironment(
            Path directory,
            SplittableRandom random,
            int gatewayCount,
            long slackMillis,
            String mainClass,
            List<String> environment,
            Optional<Path> shim)
            throws IOException {
        this.random = random;
        ledger = new RequestLedger(slackMillis * 1_000_000, REPEAT_WINDOW_NANOS);
        for (int i = 0; i < SHARDS * SERVERS_PER_SHARD; i++) {
            addServer(i % SHARDS);
        }
        String settings = String.format(SETTINGS, gatewayCount);
        for (int i = 0; i < gatewayCount; i++) {
            Path gatewayDirectory = Files.createDirectories(directory.resolve("head-" + i));
            gateways.add(new GatewayProcess(
                    "n" + i, gatewayDirectory, discovery, ledger, settings, mainClass, shim, environment));
        }
    }

    /** Starts a server and adds it to discovery. */
    synchronized StorageServer addServer(int shard) throws IOException {
        StorageServer.RepeatFilter repeatFilter =
                repeatFilters.computeIfAbsent(shard, key -> new StorageServer.RepeatFilter(REPEAT_WINDOW_NANOS));
        StorageServer server = new StorageServer(
                "s-" + ++lastServerNumber, shard, discovery, ledger, repeatFilter, random.split(), IDLE_TIMEOUT_MILLIS);
        servers.add(server);
        discovery.put(server.entry("up"));
        return server;
    }

    static long idleTimeoutMillis() {
        return IDLE_TIMEOUT_MILLIS;
    }

    /** Removes a server from discovery and closes it. */
    void removeServer(StorageServer server) throws IOException {
        servers.remove(server);
        Entry removedEntry = server.entry("removed");
        discovery.put(removedEntry);
        server.close();
    }

    void startGateways() throws IOException {
        for (GatewayProcess gateway : gateways) {
            gateway.start();
        }
        gateways.forEach(GatewayProcess::awaitReady);
    }

    @Override
    public void close() throws IOException {
        for (GatewayProcess gateway : gateways) {
            gateway.kill();
        }
        for (StorageServer server : servers) {
            server.close();
        }
        discovery.close();
    }
}
