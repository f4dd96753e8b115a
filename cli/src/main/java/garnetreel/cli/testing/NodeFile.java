package garnetreel.cli.testing;

import garnetreel.cli.config.Settings;
import garnetreel.policy.config.SafetyRules;
import garnetreel.testbed.node.NodeSettings;
import java.util.LinkedHashMap;
import java.util.Map;

/** The stand-in nodes that a settings file names. */
final class NodeFile {
    private NodeFile() {}

    /** By name, in the order of the file. */
    static Map<String, NodeSettings> of(Settings settings) {
        Map<String, NodeSettings> nodes = new LinkedHashMap<>();
        settings.forEachBlock("node", (name, path) -> nodes.put(name, node(settings, name, path)));
        return nodes;
    }

    private static NodeSettings node(Settings s, String name, String path) {
        SafetyRules rules = s.rules();
        return new NodeSettings(
                name,
                s.text(path + "/listen", "127.0.0.1:0"),
                s.text("/service/list", ""),
                s.text(path + "/zone", "zone-a"),
                (int) s.number(path + "/shard", 0),
                (int) s.number(path + "/cores", 4),
                (int) s.number(path + "/queue", 64),
                (int) s.number(path + "/connections", 256),
                s.micros(path + "/base_work", "0s"),
                s.micros(path + "/unit_work", "0s"),
                s.number(path + "/power", 1e9),
                s.flag(path + "/warm", true),
                s.number(path + "/cold_share", rules.initialCapacityFraction()),
                s.has(path + "/warm_within") ? s.micros(path + "/warm_within", "0s") : rules.warmUpDuration(),
                rules.overloadMultiple(),
                rules.overloadWindow(),
                s.number(path + "/defer_share", 0),
                s.micros(path + "/flush_every", "1s"),
                s.flag(path + "/journal", false),
                s.micros(path + "/pause_every", "0s"),
                s.micros(path + "/pause_most", "0s"),
                s.micros(path + "/repeat_window", "5s"),
                s.bytes(path + "/capacity", "1TiB"));
    }
}
