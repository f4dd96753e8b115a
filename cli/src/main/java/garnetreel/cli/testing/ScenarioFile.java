package garnetreel.cli.testing;

import com.fasterxml.jackson.databind.JsonNode;
import garnetreel.cli.config.Quantities;
import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.core.Volume;
import garnetreel.mapservice.MapService;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.policy.config.RequestClass;
import garnetreel.testbed.client.NbdLoadSettings;
import garnetreel.testbed.client.NbdLoadSettings.Times;
import garnetreel.testbed.client.RsyncLoadSettings;
import garnetreel.testbed.node.NodeSettings;
import garnetreel.testbed.rules.RuleSettings;
import garnetreel.testbed.scenario.Scenario;
import garnetreel.testbed.scenario.ScheduledFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads a scenario from a settings file: the service, its fake nodes, the client loads and the scheduled faults. */
public final class ScenarioFile {
    private static final int BLOCK_BYTES = 4096;
    private static final Set<ScheduledFault.Kind> WITHOUT_TARGET = Set.of(
            ScheduledFault.Kind.LIST_LAG,
            ScheduledFault.Kind.LIST_FAIL,
            ScheduledFault.Kind.LIST_SILENT,
            ScheduledFault.Kind.LIST_CRASH,
            ScheduledFault.Kind.MAP_CRASH,
            ScheduledFault.Kind.MAP_STALL,
            ScheduledFault.Kind.MAP_RESTORE);

    private final String name;
    private final Settings settings;
    private final Map<String, NodeSettings> nodes;
    private final List<String> problems = new ArrayList<>();
    private final List<ScheduledFault> faults = new ArrayList<>();
    private final List<Scenario.ScriptedCommand> script = new ArrayList<>();
    private final Map<String, JsonNode> loads = new LinkedHashMap<>();

    private ScenarioFile(String name, Settings settings) {
        this.name = name;
        this.settings = settings;
        this.nodes = NodeFile.of(settings);
    }

    /** Reads and validates a scenario file. */
    public static ScenarioFile read(Path path) throws SettingsException, IOException {
        String file = String.valueOf(path.getFileName());
        return of(file.replaceFirst("\\.hcl$", ""), Settings.read(path));
    }

    /**
     * Reads a scenario from the settings of a scenario file and validates it.
     *
     * @param name name of the file, without its extension
     */
    public static ScenarioFile of(String name, Settings settings) throws SettingsException {
        ScenarioFile scenario = new ScenarioFile(name, settings);
        scenario.readAndCheck();
        if (!scenario.problems.isEmpty()) {
            throw new SettingsException(scenario.problems);
        }
        return scenario;
    }

    /** The description in the file. */
    public String description() {
        return settings.text("/day/about", "");
    }

    private void check(boolean valid, String path, String problem) {
        if (!valid) {
            problems.add(settings.locate(path) + problem);
        }
    }

    private void readAndCheck() {
        check(!settings.root().path("day").isMissingNode(), "", "has no block day");
        check(!nodes.isEmpty(), "", "has no block node");
        settings.root().path("load").fields().forEachRemaining(e -> {
            loads.put(e.getKey(), e.getValue());
            String path = "/load/" + e.getKey();
            String volume = e.getValue().path("volume").asText();
            check(
                    settings.volumes().containsKey(volume),
                    path + "/volume",
                    "names \"" + volume + "\", which is not a defined volume");
            e.getValue()
                    .path("heads")
                    .forEach(gateway -> check(
                            gateway.asInt() < settings.gateways(),
                            path + "/heads",
                            "names gateway " + gateway.asInt() + ", but the number of gateways is "
                                    + settings.gateways()));
            e.getValue()
                    .path("sizes")
                    .forEach(s -> check(
                            Quantities.bytes(s.asText()) % BLOCK_BYTES == 0,
                            path + "/sizes",
                            "contains " + s + ", which is not a multiple of 4KiB"));
        });
        check(!loads.isEmpty(), "", "has no block load");
        readScript();
        settings.root()
                .path("folder")
                .fields()
                .forEachRemaining(e -> check(
                        settings.root()
                                .path("module_of_files")
                                .has(e.getValue().path("module").asText()),
                        "/folder/" + e.getKey() + "/module",
                        "names a module that is not defined"));
        settings.root().path("trouble").fields().forEachRemaining(e -> faults.add(readFault(e.getKey(), e.getValue())));
    }

    private ScheduledFault readFault(String label, JsonNode node) {
        String path = "/trouble/" + label;
        ScheduledFault.Kind kind = ScheduledFault.Kind.valueOf(
                node.path("kind").asText().toUpperCase(Locale.ROOT).replace('-', '_'));
        List<String> nodeNames = strings(node.path("nodes"));
        List<Integer> gateways = new ArrayList<>();
        node.path("heads").forEach(gateway -> gateways.add(gateway.asInt()));
        List<String> loadNames = strings(node.path("loads"));
        if (kind.name().startsWith("NODE")) {
            check(!nodeNames.isEmpty(), path, "lacks \"nodes\"");
        } else if (kind.name().startsWith("HEAD")) {
            check(!gateways.isEmpty(), path, "lacks \"heads\"");
        } else if (!WITHOUT_TARGET.contains(kind)) {
            check(!loadNames.isEmpty(), path, "lacks \"loads\"");
        }
        nodeNames.forEach(
                n -> check(nodes.containsKey(n), path + "/nodes", "names \"" + n + "\", which is not a defined node"));
        gateways.forEach(gateway -> check(
                gateway < settings.gateways(),
                path + "/heads",
                "names gateway " + gateway + ", but the number of gateways is " + settings.gateways()));
        loadNames.forEach(l -> check(
                settings.root().path("load").has(l),
                path + "/loads",
                "names \"" + l + "\", which is not a defined load"));
        return new ScheduledFault(
                label,
                kind,
                nodeNames,
                gateways,
                loadNames,
                settings.micros(path + "/at", "0s"),
                settings.micros(path + "/for", "1s"),
                node.path("amount").asDouble(0));
    }

    private static List<String> strings(JsonNode array) {
        List<String> strings = new ArrayList<>();
        array.forEach(t -> strings.add(t.asText()));
        return strings;
    }

    /** The default seed of the scenario. */
    public long seed() {
        return (long) settings.number("/day/seed", 1);
    }

    /**
     * The scenario, to be run with a seed.
     *
     * @param transit time that the checker allows for transmission, in microseconds
     */
    public Scenario scenario(long seed, long transit) {
        return new Scenario(
                name,
                seed,
                settings.micros("/day/length", "10s"),
                settings.micros("/day/settle", "5s"),
                settings.gateways(),
                List.copyOf(nodes.values()),
                settings.micros("/list/lag", "0s"),
                parameters -> settings.gateway(
                        parameters.gateway(),
                        parameters.incarnation(),
                        parameters.listen(),
                        parameters.list(),
                        parameters.map()),
                FairQueueScheduler::new,
                this::nbdLoads,
                this::rsyncLoads,
                List.copyOf(faults),
                new RuleSettings(
                        settings.rules(), settings.volumesById(), settings.classes(), settings.plans(), transit),
                settings.root().path("map").isMissingNode()
                        ? null
                        : new Scenario.MapScenario(
                                (listen, list) -> settings.mapService(listen, list, 1),
                                settings.initialMaps(),
                                (int) settings.number("/map/moves", 0),
                                settings.micros("/map/moves_from", "0s"),
                                settings.micros("/map/moves_for", settings.text("/day/length", "10s")),
                                List.copyOf(script)));
    }

    /** Reads the migrations and shard drains that the file schedules. */
    private void readScript() {
        settings.root().path("move").fields().forEachRemaining(e -> {
            String path = "/move/" + e.getKey();
            Volume volume = settings.volumes().get(e.getValue().path("volume").asText());
            check(volume != null, path + "/volume", "names a volume that is not defined");
            int to = e.getValue().path("to").asInt();
            check(
                    nodes.values().stream().anyMatch(n -> n.shard() == to),
                    path + "/to",
                    "is " + to + ", but no node serves that shard");
            if (volume != null) {
                script.add(new Scenario.ScriptedCommand(
                        settings.micros(path + "/at", "0s"),
                        new MapService.MigrateCommand(
                                volume.id(), e.getValue().path("extent").asLong(), to)));
            }
        });
        settings.root()
                .path("drain")
                .fields()
                .forEachRemaining(e -> script.add(new Scenario.ScriptedCommand(
                        settings.micros("/drain/" + e.getKey() + "/at", "0s"),
                        new MapService.DrainShardCommand(
                                e.getValue().path("shard").asInt(), true))));
    }

    private List<RsyncLoadSettings> rsyncLoads(List<String> addresses) {
        List<RsyncLoadSettings> rsyncLoads = new ArrayList<>();
        settings.root().path("folder").fields().forEachRemaining(e -> {
            String path = "/folder/" + e.getKey();
            int gateway = (int) settings.number(
                    "/module_of_files/" + e.getValue().path("module").asText() + "/head", 0);
            rsyncLoads.add(new RsyncLoadSettings(
                    e.getKey(),
                    e.getValue().path("module").asText(),
                    gateway,
                    addresses.get(gateway),
                    (int) settings.number(path + "/files", 10),
                    (int) settings.bytes(path + "/least", "0B"),
                    (int) settings.bytes(path + "/most", "64KiB"),
                    (int) settings.number(path + "/changes", 1),
                    settings.micros(path + "/rest", "1s"),
                    settings.micros(path + "/start", "0s"),
                    settings.micros(path + "/stop", settings.text("/day/length", "10s"))));
        });
        return rsyncLoads;
    }

    private List<NbdLoadSettings> nbdLoads(List<String> addresses) {
        Map<String, Integer> loadsPerVolume = new LinkedHashMap<>();
        loads.values().forEach(l -> loadsPerVolume.merge(l.path("volume").asText(), 1, Integer::sum));
        Map<String, Integer> loadsPlaced = new LinkedHashMap<>();
        List<NbdLoadSettings> nbdLoads = new ArrayList<>();
        for (Iterator<Map.Entry<String, JsonNode>> it = loads.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, JsonNode> entry = it.next();
            JsonNode load = entry.getValue();
            String path = "/load/" + entry.getKey();
            Volume volume = settings.volumes().get(load.path("volume").asText());
            // Each load has a region of its volume to itself, so that it knows the data that a read must return.
            long regionBytes = volume.size() / loadsPerVolume.get(volume.name()) / BLOCK_BYTES * BLOCK_BYTES;
            int index = loadsPlaced.merge(volume.name(), 1, Integer::sum) - 1;
            List<NbdLoadSettings.GatewayAddress> gateways = new ArrayList<>();
            load.path("heads")
                    .forEach(gateway -> gateways.add(
                            new NbdLoadSettings.GatewayAddress(gateway.asInt(), addresses.get(gateway.asInt()))));
            List<Integer> sizes = new ArrayList<>();
            load.path("sizes").forEach(s -> sizes.add((int) Quantities.bytes(s.asText())));
            if (sizes.isEmpty()) {
                sizes.add((int) settings.bytes(path + "/size", "4KiB"));
            }
            RequestClass read = settings.classes().get(volume.readClass());
            RequestClass write = settings.classes().get(volume.writeClass());
            RequestClass flush = settings.classes().get(volume.flushClass());
            nbdLoads.add(new NbdLoadSettings(
                    entry.getKey(),
                    volume.name(),
                    volume.id(),
                    gateways,
                    Math.max(gateways.size(), load.path("connections").asInt(gateways.size())),
                    load.path("rate").asDouble(),
                    load.path("read_share").asDouble(0.5),
                    load.path("flush_share").asDouble(0),
                    sizes,
                    index * regionBytes,
                    regionBytes,
                    new Times(read.timeLimit(), write.timeLimit(), flush.timeLimit()),
                    new Times(read.latencyObjective(), write.latencyObjective(), flush.latencyObjective()),
                    load.path("retries").asInt(1),
                    settings.micros(path + "/leave_every", "0s"),
                    settings.micros(path + "/start", "0s"),
                    settings.micros(path + "/stop", settings.text("/day/length", "10s"))));
        }
        return nbdLoads;
    }
}
