package garnetreel.cli;

import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.codec.nodelist.ListMessage.Entry;
import garnetreel.codec.nodelist.ListMessage.State;
import garnetreel.core.Head;
import garnetreel.core.HeadSettings;
import garnetreel.core.Volume;
import garnetreel.net.Addresses;
import garnetreel.net.Driver;
import garnetreel.standin.list.ListMachine;
import garnetreel.standin.node.Disk;
import garnetreel.standin.node.NodeMachine;
import garnetreel.standin.node.NodeSettings;
import garnetreel.standin.trace.Trace;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Head, nodes and list in one process, to try the program with. Data is held in memory and gone at the end. */
@Command(name = "dev", mixinStandardHelpOptions = true,
        description = "Serves a head with stand-in nodes and list in this process; data is lost at its end.")
final class DevCommand implements Callable<Integer> {
    private static final int NODES = 4;
    private static final int IO_THREADS = 2;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern SIZE = Pattern.compile("[0-9]{1,9}(B|KiB|MiB|GiB)");

    @Spec
    CommandSpec spec;

    @Option(names = "--listen", paramLabel = "HOST:PORT", defaultValue = "127.0.0.1:10809",
            description = "Where NBD clients connect; port 0 takes a free one. Default: ${DEFAULT-VALUE}.")
    String listen;

    @Option(names = "--export", paramLabel = "NAME=SIZE",
            description = "An export and its size, such as births=64MiB; may be given again. "
                    + "Default: births and marriages of 64MiB each.")
    Map<String, String> exports = new LinkedHashMap<>();

    @Override
    public Integer call() throws IOException, SettingsException {
        try {
            Addresses.parse(listen);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--listen: " + e.getMessage());
        }
        if (exports.isEmpty()) {
            exports.put("births", "64MiB");
            exports.put("marriages", "64MiB");
        }
        Process process = new Process(IO_THREADS);
        List<Entry> entries = new ArrayList<>();
        for (int shard = 0; shard < NODES; shard++) {
            NodeSettings node = NodeSettings.free("node-" + shard, "127.0.0.1:0", "", shard);
            Driver driver = process.run(node.name(), new NodeMachine(node, new Disk(), Trace.NONE, shard, 1));
            entries.add(new Entry(Process.bound(driver, "node"), node.zone(), shard, State.UP, 1, 0));
        }
        Driver list = process.run("list", new ListMachine("list", "127.0.0.1:0", entries, 0, Trace.NONE));
        String listAddress = Process.bound(list, "list");
        Settings settings = Settings.of(HclFile.parse("dev.hcl", embedded() + volumes()));
        HeadSettings head = settings.head(0, process.clock.micros(), listen, listAddress);
        Driver driver = process.head(head, null);
        String address = Process.bound(driver, Head.NBD);
        process.drainAtEnd(driver, settings.longestDeadline());
        for (Volume volume : head.volumes()) {
            spec.commandLine().getOut().println("ready nbd://" + address + "/" + volume.name());
        }
        spec.commandLine().getOut().flush();
        return Process.untilStopped(driver);
    }

    private static String embedded() throws IOException {
        try (InputStream in = DevCommand.class.getResourceAsStream("/garnetreel/cli/dev.hcl")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private String volumes() {
        StringBuilder text = new StringBuilder();
        int id = 0;
        for (Map.Entry<String, String> export : exports.entrySet()) {
            if (!NAME.matcher(export.getKey()).matches()) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--export: \"" + export.getKey()
                        + "\" is no name of letters, digits, dots, dashes and underscores");
            }
            if (!SIZE.matcher(export.getValue()).matches()) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--export: \"" + export.getValue()
                        + "\" is no size such as 64MiB");
            }
            text.append("volume \"").append(export.getKey()).append("\" {\n  id = ").append(++id)
                    .append("\n  size = \"").append(export.getValue()).append("\"\n  plan = \"open\"\n")
                    .append("  read_class = \"read\"\n  write_class = \"write\"\n  flush_class = \"flush\"\n")
                    .append("  description = \"").append(export.getKey()).append(", held in memory\"\n")
                    .append("  shards = [0, 1, 2, 3]\n  extent = \"1MiB\"\n}\n");
        }
        return text.toString();
    }
}
