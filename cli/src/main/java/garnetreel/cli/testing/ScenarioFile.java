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

/** A scenario as a settings file: a service, its nodes, the loads on it and the faults of the scenario. */
public final class ScenarioFile {
    private static final int PAGE = 4096;
    private static final Set<ScheduledFault.Kind> OF_LIST = Set.of(
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
    private final List<ScheduledFault> troubles = new ArrayList<>();
    private final List<Scenario.ScriptedCommand> script = new ArrayList<>();
    private final Map<String, JsonNode> loads = new LinkedHashMap<>();

    private ScenarioFile(String name, Settings settings) {
        this.name = name;
        this.settings = settings;
        this.nodes = NodeFile.of(settings);
    }

    /** Reads and checks a scenario. */
    public static ScenarioFile read(Path path) throws SettingsException, IOException {
        String file = String.valueOf(path.getFileName());
        return of(file.replaceFirst("\\.hcl$", ""), Settings.read(path));
    }

    /** Checks settings that were read from a file of that name, without its ending. */
    public static ScenarioFile of(String name, Settings settings) throws SettingsException {
        ScenarioFile scenario = new ScenarioFile(name, settings);
        scenario.load();
        if (!scenario.problems.isEmpty()) {
            throw new SettingsException(scenario.problems);
        }
        return scenario;
    }

    /** What the file says it is about. */
    public String about() {
        return settings.text("/day/about", "");
    }

    private void check(boolean holds, String path, String problem) {
        if (!holds) {
            problems.add(settings.locate(path) + problem);
        }
    }

    private void load() {
        check(!settings.root().path("day").isMissingNode(), "", "lacks the block day");
        check(!nodes.isEmpty(), "", "lacks a block node");
        settings.root().path("load").fields().forEachRemaining(e -> {
            loads.put(e.getKey(), e.getValue());
            String path = "/load/" + e.getKey();
            String volume = e.getValue().path("volume").asText();
            check(
                    settings.volumes().containsKey(volume),
                    path + "/volume",
                    "names \"" + volume + "\", and there is no such volume");
            e.getValue()
                    .path("heads")
                    .forEach(h -> check(
                            h.asInt() < settings.gateways(),
                            path + "/heads",
                            "names head " + h.asInt() + ", and there are " + settings.gateways()));
            e.getValue()
                    .path("sizes")
                    .forEach(s -> check(
                            Quantities.bytes(s.asText()) % PAGE == 0,
                            path + "/sizes",
                            "holds " + s + "; multiples of 4KiB are expected"));
        });
        check(!loads.isEmpty(), "", "lacks a block load");
        loadScript();
        settings.root()
                .path("folder")
                .fields()
                .forEachRemaining(e -> check(
                        settings.root()
                                .path("module_of_files")
                                .has(e.getValue().path("module").asText()),
                        "/folder/" + e.getKey() + "/module",
                        "names a module that there is not"));
        settings.root().path("trouble").fields().forEachRemaining(e -> troubles.add(trouble(e.getKey(), e.getValue())));
    }

    private ScheduledFault trouble(String label, JsonNode node) {
        String path = "/trouble/" + label;
        ScheduledFault.Kind kind = ScheduledFault.Kind.valueOf(
                node.path("kind").asText().toUpperCase(Locale.ROOT).replace('-', '_'));
        List<String> onNodes = texts(node.path("nodes"));
        List<Integer> heads = new ArrayList<>();
        node.path("heads").forEach(h -> heads.add(h.asInt()));
        List<String> onLoads = texts(node.path("loads"));
        if (kind.name().startsWith("NODE")) {
            check(!onNodes.isEmpty(), path, "lacks \"nodes\"");
        } else if (kind.name().startsWith("HEAD")) {
            check(!heads.isEmpty(), path, "lacks \"heads\"");
        } else if (!OF_LIST.contains(kind)) {
            check(!onLoads.isEmpty(), path, "lacks \"loads\"");
        }
        onNodes.forEach(
                n -> check(nodes.containsKey(n), path + "/nodes", "names \"" + n + "\", and there is no such node"));
        heads.forEach(h -> check(
                h < settings.gateways(),
                path + "/heads",
                "names head " + h + ", and there are " + settings.gateways()));
        onLoads.forEach(l -> check(
                settings.root().path("load").has(l),
                path + "/loads",
                "names \"" + l + "\", and there is no such load"));
        return new ScheduledFault(
                label,
                kind,
                onNodes,
                heads,
                onLoads,
                settings.micros(path + "/at", "0s"),
                settings.micros(path + "/for", "1s"),
                node.path("amount").asDouble(0));
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(t -> texts.add(t.asText()));
        return texts;
    }

    /** Seed that the file gives. */
    public long seed() {
        return (long) settings.number("/day/seed", 1);
    }

    /** The scenario. @param transit what the checker allows for the way of what was sent, in microseconds */
    public Scenario scenario(long seed, long transit) {
        return new Scenario(
                name,
                seed,
                settings.micros("/day/length", "10s"),
                settings.micros("/day/settle", "5s"),
                settings.gateways(),
                List.copyOf(nodes.values()),
                settings.micros("/list/lag", "0s"),
                place -> settings.gateway(
                        place.gateway(), place.incarnation(), place.listen(), place.list(), place.map()),
                FairQueueScheduler::new,
                this::loads,
                this::folders,
                List.copyOf(troubles),
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

    /** Moves and drains that the file names. */
    private void loadScript() {
        settings.root().path("move").fields().forEachRemaining(e -> {
            String path = "/move/" + e.getKey();
            Volume volume = settings.volumes().get(e.getValue().path("volume").asText());
            check(volume != null, path + "/volume", "names a volume that there is not");
            int to = e.getValue().path("to").asInt();
            check(
                    nodes.values().stream().anyMatch(n -> n.shard() == to),
                    path + "/to",
                    "is " + to + ", and no node has that shard");
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

    private List<RsyncLoadSettings> folders(List<String> addresses) {
        List<RsyncLoadSettings> all = new ArrayList<>();
        settings.root().path("folder").fields().forEachRemaining(e -> {
            String path = "/folder/" + e.getKey();
            int head = (int) settings.number(
                    "/module_of_files/" + e.getValue().path("module").asText() + "/head", 0);
            all.add(new RsyncLoadSettings(
                    e.getKey(),
                    e.getValue().path("module").asText(),
                    head,
                    addresses.get(head),
                    (int) settings.number(path + "/files", 10),
                    (int) settings.bytes(path + "/least", "0B"),
                    (int) settings.bytes(path + "/most", "64KiB"),
                    (int) settings.number(path + "/changes", 1),
                    settings.micros(path + "/rest", "1s"),
                    settings.micros(path + "/start", "0s"),
                    settings.micros(path + "/stop", settings.text("/day/length", "10s"))));
        });
        return all;
    }

    private List<NbdLoadSettings> loads(List<String> addresses) {
        Map<String, Integer> sharing = new LinkedHashMap<>();
        loads.values().forEach(l -> sharing.merge(l.path("volume").asText(), 1, Integer::sum));
        Map<String, Integer> taken = new LinkedHashMap<>();
        List<NbdLoadSettings> all = new ArrayList<>();
        for (Iterator<Map.Entry<String, JsonNode>> it = loads.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, JsonNode> entry = it.next();
            JsonNode load = entry.getValue();
            String path = "/load/" + entry.getKey();
            Volume volume = settings.volumes().get(load.path("volume").asText());
            // Each load has a stretch of its volume to itself, so that it knows what a read must show.
            long stretch = volume.size() / sharing.get(volume.name()) / PAGE * PAGE;
            int index = taken.merge(volume.name(), 1, Integer::sum) - 1;
            List<NbdLoadSettings.GatewayAddress> heads = new ArrayList<>();
            load.path("heads")
                    .forEach(h -> heads.add(new NbdLoadSettings.GatewayAddress(h.asInt(), addresses.get(h.asInt()))));
            List<Integer> sizes = new ArrayList<>();
            load.path("sizes").forEach(s -> sizes.add((int) Quantities.bytes(s.asText())));
            if (sizes.isEmpty()) {
                sizes.add((int) settings.bytes(path + "/size", "4KiB"));
            }
            RequestClass read = settings.classes().get(volume.readClass());
            RequestClass write = settings.classes().get(volume.writeClass());
            RequestClass flush = settings.classes().get(volume.flushClass());
            all.add(new NbdLoadSettings(
                    entry.getKey(),
                    volume.name(),
                    volume.id(),
                    heads,
                    Math.max(heads.size(), load.path("connections").asInt(heads.size())),
                    load.path("rate").asDouble(),
                    load.path("read_share").asDouble(0.5),
                    load.path("flush_share").asDouble(0),
                    sizes,
                    index * stretch,
                    stretch,
                    new Times(read.timeLimit(), write.timeLimit(), flush.timeLimit()),
                    new Times(read.latencyObjective(), write.latencyObjective(), flush.latencyObjective()),
                    load.path("retries").asInt(1),
                    settings.micros(path + "/leave_every", "0s"),
                    settings.micros(path + "/start", "0s"),
                    settings.micros(path + "/stop", settings.text("/day/length", "10s"))));
        }
        return all;
    }
}
