package garnetreel.cli.testing;

import garnetreel.cli.config.Settings;
import garnetreel.policy.config.SafetyRules;
import garnetreel.testbed.node.NodeSettings;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the settings of the fake nodes from a settings file. */
final class NodeFile {
    private NodeFile() {}

    /** The nodes by name, in the order of the file. */
    static Map<String, NodeSettings> of(Settings settings) {
        Map<String, NodeSettings> nodes = new LinkedHashMap<>();
        settings.forEachBlock("node", (name, path) -> nodes.put(name, node(settings, name, path)));
        return nodes;
    }

    private static NodeSettings node(Settings settings, String name, String path) {
        SafetyRules rules = settings.rules();
        return new NodeSettings(
                name,
                settings.text(path + "/listen", "127.0.0.1:0"),
                settings.text("/service/list", ""),
                settings.text(path + "/zone", "zone-a"),
                (int) settings.number(path + "/shard", 0),
                (int) settings.number(path + "/cores", 4),
                (int) settings.number(path + "/queue", 64),
                (int) settings.number(path + "/connections", 256),
                settings.micros(path + "/base_work", "0s"),
                settings.micros(path + "/unit_work", "0s"),
                settings.number(path + "/power", 1e9),
                settings.flag(path + "/warm", true),
                settings.number(path + "/cold_share", rules.initialCapacityFraction()),
                settings.has(path + "/warm_within")
                        ? settings.micros(path + "/warm_within", "0s")
                        : rules.warmUpDuration(),
                rules.overloadMultiple(),
                rules.overloadWindow(),
                settings.number(path + "/defer_share", 0),
                settings.micros(path + "/flush_every", "1s"),
                settings.flag(path + "/journal", false),
                settings.micros(path + "/pause_every", "0s"),
                settings.micros(path + "/pause_most", "0s"),
                settings.micros(path + "/repeat_window", "5s"),
                settings.bytes(path + "/capacity", "1TiB"));
    }
}
