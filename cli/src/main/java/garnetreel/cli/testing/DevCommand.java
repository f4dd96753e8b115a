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

/** Runs a gateway, fake nodes and a fake node list in one process, for trials. Data is held in memory only. */
@Command(
        name = "dev",
        mixinStandardHelpOptions = true,
        description = "Runs a gateway, fake nodes and a fake node list in this process; data is lost on exit.")
final class DevCommand implements Callable<Integer> {
    private static final int NODES = 4;
    /** Size of the volume of each rsync module, by module name. */
    private static final Map<String, String> MODULES = Map.of("pages", "1GiB");

    private static final Pattern EXPORT_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern EXPORT_SIZE = Pattern.compile("[0-9]{1,9}(B|KiB|MiB|GiB)");

    @Spec
    CommandSpec spec;

    @Option(
            names = "--listen",
            paramLabel = "HOST:PORT",
            defaultValue = "127.0.0.1:10809",
            description = "Address for NBD clients; port 0 selects a free port. Default: ${DEFAULT-VALUE}.")
    String listen;

    @Option(
            names = "--rsync-listen",
            paramLabel = "HOST:PORT",
            defaultValue = "127.0.0.1:0",
            description = "Address for rsync clients; port 0 selects a free port. Default: ${DEFAULT-VALUE}.")
    String rsyncListen;

    @Option(
            names = "--export",
            paramLabel = "NAME=SIZE",
            description = "An export and its size, such as births=64MiB; repeatable. "
                    + "Default: births and marriages of 64MiB each.")
    Map<String, String> exports = new LinkedHashMap<>();

    @Override
    public Integer call() throws IOException, SettingsException {
        checkOptions();
        ServiceProcess process = new ServiceProcess();
        LocalService service = LocalService.start(process, NODES, exports, MODULES);
        GatewaySettings gateway = service.gateway(listen);
        gateway = gateway.withFiles(new GatewaySettings.Files(
                rsyncListen, gateway.files().modules(), gateway.files().challengeSecret()));
        EventLoop eventLoop = process.startGateway(gateway, null);
        String address = ServiceProcess.bound(eventLoop, Gateway.NBD);
        process.drainOnShutdown(eventLoop, service.longestTimeLimit());
        for (Volume volume : gateway.volumes()) {
            if (exports.containsKey(volume.name())) {
                spec.commandLine().getOut().println("ready nbd://" + address + "/" + volume.name());
            }
        }
        String rsyncAddress = ServiceProcess.bound(eventLoop, Gateway.RSYNC);
        for (GatewaySettings.Module module : gateway.files().modules()) {
            spec.commandLine().getOut().println("ready rsync://" + rsyncAddress + "/" + module.name());
        }
        spec.commandLine().getOut().flush();
        return ServiceProcess.awaitStopped(eventLoop);
    }

    private void checkOptions() {
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
            if (!EXPORT_NAME.matcher(name).matches()) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--export: \"" + name
                                + "\" is not a name of at most 64 letters, digits, dots, dashes and underscores");
            }
            if (!EXPORT_SIZE.matcher(size).matches()) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--export: \"" + size + "\" is not a size such as 64MiB");
            }
        });
    }
}
