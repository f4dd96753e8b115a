package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.net.EventLoop;
import garnetreel.testbed.list.FakeNodeList;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceFile;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs the fake node list. */
@Command(
        name = "nodelist",
        mixinStandardHelpOptions = true,
        description = "Runs the fake node list; nodes register with it and gateways subscribe to it.")
final class NodeListCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The settings file of the service.")
    Path file;

    @Option(names = "--trace", paramLabel = "FILE", description = "Writes a trace of its messages to gateways to FILE.")
    Path traceFile;

    @Override
    public Integer call() throws SettingsException, IOException {
        Settings settings = Settings.read(file);
        String listen = settings.text("/list/listen", settings.nodeListAddress());
        if (listen.isEmpty()) {
            throw new SettingsException(List.of(settings.locate("/list") + "lacks \"listen\""));
        }
        Trace trace = traceFile == null ? Trace.NONE : new TraceFile(traceFile);
        ServiceProcess process = new ServiceProcess();
        EventLoop eventLoop = process.run(
                "list", new FakeNodeList("list", listen, List.of(), settings.micros("/list/lag", "0s"), trace));
        spec.commandLine().getOut().println("ready list://" + ServiceProcess.bound(eventLoop, "list"));
        spec.commandLine().getOut().flush();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> NodeCommand.endTrace(process, trace), "end"));
        return ServiceProcess.awaitStopped(eventLoop);
    }
}
