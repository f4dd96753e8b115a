package garnetreel.cli.testing;

import garnetreel.cli.config.SettingsException;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.cli.testing.lab.MapSizes;
import garnetreel.cli.testing.lab.MovesLab;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures extent maps and migrations, for docs/extent-map.md. */
@Command(
        name = "map-lab",
        mixinStandardHelpOptions = true,
        description = "Measures extent maps: the cost of migrations under load "
                + "for each way that gateways learn of them, size of a refresh, recovery of the map service, memory.")
final class MapLabCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    /** The measurements. */
    enum Part {
        MOVES,
        REFRESH,
        RECOVERY,
        MEMORY
    }

    @Option(
            names = "--only",
            paramLabel = "PART",
            description = "Runs only one of ${COMPLETION-CANDIDATES}; default: all.")
    Part only;

    @Option(
            names = "--day",
            paramLabel = "FILE",
            description = "Scenario for the migrations. Default: days/moves-load.hcl.")
    Path file;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "3",
            description = "Scenario runs per row. Default: ${DEFAULT-VALUE}.")
    int seeds;

    @Override
    public Integer call() throws SettingsException, IOException {
        Path scenario =
                file == null ? Path.of(System.getProperty("garnetreel.home", "."), "days", "moves-load.hcl") : file;
        MapSizes sizes = new MapSizes(spec.commandLine().getOut());
        boolean rulesKept = true;
        if (isSelected(Part.MOVES)) {
            rulesKept = new MovesLab(spec.commandLine().getOut(), ScenarioFile.read(scenario), seeds).run();
        }
        if (isSelected(Part.REFRESH)) {
            sizes.refresh();
        }
        if (isSelected(Part.RECOVERY)) {
            sizes.recovery();
        }
        if (isSelected(Part.MEMORY)) {
            sizes.memory();
        }
        return rulesKept ? ExitCode.OK : ExitCode.FAILED;
    }

    private boolean isSelected(Part part) {
        return only == null || only == part;
    }
}
