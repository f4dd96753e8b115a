package garnetreel.cli;

import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.cli.config.SettingsFile;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.net.EventLoop;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs one gateway instance of a service. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = "Runs one gateway instance of a service.")
final class ServeCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Mixin
    SettingsFile file;

    @Option(names = "--head", paramLabel = "N", required = true, description = "Number of this gateway instance.")
    int number;

    @Override
    public Integer call() throws SettingsException, IOException {
        Settings settings = file.read();
        String listen = settings.listenAddress(number);
        if (listen == null) {
            throw new SettingsException(List.of(settings.locate("") + "has no block head \"" + number + "\""));
        }
        if (settings.nodeListAddress().isEmpty()) {
            throw new SettingsException(
                    List.of(settings.locate("/service") + "lacks \"list\", the address of the node list"));
        }
        ServiceProcess process = new ServiceProcess();
        GatewaySettings gatewaySettings = settings.gateway(
                number,
                process.clock.currentMicros(),
                listen,
                settings.nodeListAddress(),
                settings.mapServiceAddress());
        String state = settings.stateDirectory(number);
        EventLoop gateway = process.startGateway(gatewaySettings, state.isEmpty() ? null : Path.of(state));
        String address = ServiceProcess.bound(gateway, Gateway.NBD);
        process.drainOnShutdown(gateway, settings.longestTimeLimit());
        printReady(gateway, gatewaySettings, address);
        return ServiceProcess.awaitStopped(gateway);
    }

    /** Prints a line for each address that clients may connect to. */
    private void printReady(EventLoop gateway, GatewaySettings settings, String address) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        for (Volume volume : settings.exports()) {
            out.println("ready nbd://" + address + "/" + volume.name());
        }
        for (GatewaySettings.Module module : settings.files().modules()) {
            out.println("ready rsync://" + ServiceProcess.bound(gateway, Gateway.RSYNC) + "/" + module.name());
        }
        out.flush();
    }
}
