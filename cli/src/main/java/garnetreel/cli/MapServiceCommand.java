package garnetreel.cli;

import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.cli.config.SettingsFile;
import garnetreel.map.MapState;
import garnetreel.mapservice.MapService;
import garnetreel.net.BackgroundStoreWriter;
import garnetreel.net.EventLoop;
import garnetreel.store.Journal;
import garnetreel.store.StateDirectory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs the map service. */
@Command(
        name = "map-service",
        aliases = "mapd",
        mixinStandardHelpOptions = true,
        description = "Runs the map service: stores extent maps, publishes them to gateways, and migrates extents.")
final class MapServiceCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Mixin
    SettingsFile file;

    @Override
    public Integer call() throws SettingsException, IOException {
        Settings settings = file.read();
        String listen = settings.text("/map/listen", settings.mapServiceAddress());
        String directory = settings.text("/map/state", "");
        if (listen.isEmpty() || directory.isEmpty()) {
            throw new SettingsException(List.of(settings.locate("/map") + "lacks \"listen\" or \"state\""));
        }
        ServiceProcess process = new ServiceProcess();
        EventLoop service = start(process, settings, listen, Path.of(directory));
        spec.commandLine().getOut().println("ready map://" + ServiceProcess.bound(service, MapService.LISTENER));
        spec.commandLine().getOut().flush();
        process.shutDownBeforeExit(service, new MapService.Shutdown(), MapService.SHUTDOWN_MICROS);
        return ServiceProcess.awaitStopped(service);
    }

    /** Recovers the state from the journal and starts the service on it. */
    private static EventLoop start(ServiceProcess process, Settings settings, String listen, Path directory)
            throws IOException {
        Journal journal = new Journal(directory.resolve("map.journal"));
        Journal.Contents contents = journal.contents();
        MapState state = MapState.recover(settings.initialMaps(), contents.snapshot(), contents.records());
        BackgroundStoreWriter writer = new BackgroundStoreWriter(new StateDirectory(directory), journal);
        process.closeWithProcess(writer, writer::close);
        MapService service = new MapService(
                settings.mapService(listen, settings.nodeListAddress(), process.clock.currentMicros()), state);
        return process.run("mapd", service, new JournalOnlyStore(writer));
    }
}
