package garnetreel.cli.testing;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.net.EventLoop;
import garnetreel.testbed.node.FakeNode;
import garnetreel.testbed.node.MemoryDisk;
import garnetreel.testbed.node.NodeSettings;
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

/** Runs one fake storage node. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = "Runs one fake storage node; its data is lost on exit.")
final class NodeCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Parameters(index = "0", paramLabel = "FILE", description = "The settings file of the service.")
    Path file;

    @Parameters(index = "1", paramLabel = "NODE", description = "Name of the node.")
    String name;

    @Option(names = "--trace", paramLabel = "FILE", description = "Writes a trace of its messages to FILE.")
    Path traceFile;

    @Override
    public Integer call() throws SettingsException, IOException {
        Settings settings = Settings.read(file);
        NodeSettings node = NodeFile.of(settings).get(name);
        if (node == null) {
            throw new SettingsException(List.of(settings.locate("/node") + "has no block node \"" + name + "\""));
        }
        Trace trace = traceFile == null ? Trace.NONE : new TraceFile(traceFile);
        ServiceProcess process = new ServiceProcess();
        long incarnation = process.clock.currentMicros();
        EventLoop eventLoop = process.run(name, new FakeNode(node, new MemoryDisk(), trace, incarnation, incarnation));
        spec.commandLine().getOut().println("ready node://" + ServiceProcess.bound(eventLoop, "node"));
        spec.commandLine().getOut().flush();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> endTrace(process, trace), "end"));
        return ServiceProcess.awaitStopped(eventLoop);
    }

    /** Closes the trace and halts. State machines are stopped first, so that the last line of the trace is complete. */
    static void endTrace(ServiceProcess process, Trace trace) {
        process.close();
        if (trace instanceof TraceFile traceWriter) {
            try {
                traceWriter.close();
            } catch (IOException e) {
                System.err.println("garnetreel: the trace could not be closed: " + e.getMessage());
            }
        }
        Runtime.getRuntime().halt(ExitCode.OK);
    }
}
