package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.core.GatewaySettings;
import garnetreel.net.EventLoop;
import garnetreel.testbed.list.FakeNodeList;
import garnetreel.testbed.node.FakeNode;
import garnetreel.testbed.node.MemoryDisk;
import garnetreel.testbed.node.NodeSettings;
import garnetreel.testbed.trace.Trace;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Fake nodes without processing time and a fake node list in this process, with the settings embedded in the JAR. */
final class LocalService {
    private final ServiceProcess process;
    private final Settings settings;
    private final String list;

    private LocalService(ServiceProcess process, Settings settings, String list) {
        this.process = process;
        this.settings = settings;
        this.list = list;
    }

    /**
     * @param nodes number of nodes, each with one shard
     * @param exports sizes by export name, both already validated
     */
    static LocalService start(ServiceProcess process, int nodes, Map<String, String> exports)
            throws IOException, SettingsException {
        return start(process, nodes, exports, Map.of());
    }

    /** @param modules sizes by name of the rsync modules, each on a volume of its own */
    static LocalService start(
            ServiceProcess process, int nodes, Map<String, String> exports, Map<String, String> modules)
            throws IOException, SettingsException {
        List<Entry> entries = new ArrayList<>();
        for (int shard = 0; shard < nodes; shard++) {
            NodeSettings node = NodeSettings.instantaneous("node-" + shard, "127.0.0.1:0", "", shard);
            EventLoop eventLoop = process.run(node.name(), new FakeNode(node, new MemoryDisk(), Trace.NONE, shard, 1));
            entries.add(new Entry(ServiceProcess.bound(eventLoop, "node"), node.zone(), shard, State.UP, 1, 0));
        }
        EventLoop list = process.run("list", new FakeNodeList("list", "127.0.0.1:0", entries, 0, Trace.NONE));
        Settings settings = Settings.of(HclFile.parse(
                "dev.hcl",
                embeddedSettings()
                        + volumeBlocks(nodes, exports, 0)
                        + volumeBlocks(nodes, fileVolumes(modules), exports.size())
                        + moduleBlocks(modules)));
        return new LocalService(process, settings, ServiceProcess.bound(list, "list"));
    }

    /** Settings of the only gateway. */
    GatewaySettings gateway(String listen) {
        return settings.gateway(0, process.clock.currentMicros(), listen, list, "");
    }

    long longestTimeLimit() {
        return settings.longestTimeLimit();
    }

    private static String embeddedSettings() throws IOException {
        try (InputStream in = LocalService.class.getResourceAsStream("/garnetreel/cli/dev.hcl")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static Map<String, String> fileVolumes(Map<String, String> modules) {
        Map<String, String> volumes = new TreeMap<>();
        modules.forEach((name, size) -> volumes.put(name + ".files", size));
        return volumes;
    }

    private static String moduleBlocks(Map<String, String> modules) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(modules).keySet().forEach(name -> text.append("module_of_files \"")
                .append(name)
                .append("\" {\n  comment = \"scanned pages, held in memory\"\n  volume = \"")
                .append(name)
                .append(".files\"\n}\n"));
        return text.toString();
    }

    private static String volumeBlocks(int nodes, Map<String, String> exports, int lastId) {
        String shards = IntStream.range(0, nodes).mapToObj(Integer::toString).collect(Collectors.joining(", "));
        StringBuilder text = new StringBuilder();
        int id = lastId;
        for (Map.Entry<String, String> export : exports.entrySet()) {
            text.append("volume \"")
                    .append(export.getKey())
                    .append("\" {\n  id = ")
                    .append(++id)
                    .append("\n  size = \"")
                    .append(export.getValue())
                    .append("\"\n  plan = \"open\"\n")
                    .append("  read_class = \"read\"\n  write_class = \"write\"\n  flush_class = \"flush\"\n")
                    .append("  description = \"")
                    .append(export.getKey())
                    .append(", held in memory\"\n")
                    .append("  shards = [")
                    .append(shards)
                    .append("]\n  extent = \"1MiB\"\n}\n");
        }
        return text.toString();
    }
}
