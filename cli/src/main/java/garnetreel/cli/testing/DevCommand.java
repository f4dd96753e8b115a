package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.SettingsException;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.net.Addresses;
import garnetreel.net.EventLoop;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Head, nodes and list in one process, to try the program with. Data is held in memory and gone at the end. */
@Command(
        name = "dev",
        mixinStandardHelpOptions = true,
        description = "Serves a head with stand-in nodes and list in this process; data is lost at its end.")
final class DevCommand implements Callable<Integer> {
    private static final int NODES = 4;
    /** The module that takes pushes, and its volume. */
    private static final Map<String, String> FILES = Map.of("pages", "1GiB");

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern SIZE = Pattern.compile("[0-9]{1,9}(B|KiB|MiB|GiB)");

    @Spec
    CommandSpec spec;

    @Option(
            names = "--listen",
            paramLabel = "HOST:PORT",
            defaultValue = "127.0.0.1:10809",
            description = "Where NBD clients connect; port 0 takes a free one. Default: ${DEFAULT-VALUE}.")
    String listen;

    @Option(
            names = "--rsync-listen",
            paramLabel = "HOST:PORT",
            defaultValue = "127.0.0.1:0",
            description = "Where rsync clients connect; port 0 takes a free one. Default: ${DEFAULT-VALUE}.")
    String rsyncListen;

    @Option(
            names = "--export",
            paramLabel = "NAME=SIZE",
            description = "An export and its size, such as births=64MiB; may be given again. "
                    + "Default: births and marriages of 64MiB each.")
    Map<String, String> exports = new LinkedHashMap<>();

    @Override
    public Integer call() throws IOException, SettingsException {
        check();
        ServiceProcess process = new ServiceProcess();
        LocalService service = LocalService.start(process, NODES, exports, FILES);
        GatewaySettings head = service.head(listen);
        head = head.withFiles(new GatewaySettings.Files(
                rsyncListen, head.files().modules(), head.files().challengeSecret()));
        EventLoop driver = process.startGateway(head, null);
        String address = ServiceProcess.bound(driver, Gateway.NBD);
        process.drainOnShutdown(driver, service.longestDeadline());
        for (Volume volume : head.volumes()) {
            if (exports.containsKey(volume.name())) {
                spec.commandLine().getOut().println("ready nbd://" + address + "/" + volume.name());
            }
        }
        String rsync = ServiceProcess.bound(driver, Gateway.RSYNC);
        for (GatewaySettings.Module module : head.files().modules()) {
            spec.commandLine().getOut().println("ready rsync://" + rsync + "/" + module.name());
        }
        spec.commandLine().getOut().flush();
        return ServiceProcess.awaitStopped(driver);
    }

    private void check() {
        try {
            Addresses.parse(listen);
            Addresses.parse(rsyncListen);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--listen or --rsync-listen: " + e.getMessage());
        }
        if (exports.isEmpty()) {
            exports.put("births", "64MiB");
            exports.put("marriages", "64MiB");
        }
        exports.forEach((name, size) -> {
            if (!NAME.matcher(name).matches()) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--export: \"" + name + "\" is no name of letters, digits, dots, dashes and underscores");
            }
            if (!SIZE.matcher(size).matches()) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--export: \"" + size + "\" is no size such as 64MiB");
            }
        });
    }
}
