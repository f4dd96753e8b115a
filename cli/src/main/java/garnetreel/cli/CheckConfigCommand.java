package garnetreel.cli;

import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.cli.config.SettingsFile;
import garnetreel.cli.lifecycle.ExitCode;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Validates a settings file without starting anything. */
@Command(
        name = "check-config",
        mixinStandardHelpOptions = true,
        description = "Validates the syntax and the values of a settings file.")
final class CheckConfigCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Mixin
    SettingsFile file;

    @Override
    public Integer call() throws SettingsException, IOException {
        Settings settings = file.read();
        spec.commandLine()
                .getOut()
                .println(file + ": fine: " + settings.gateways() + " heads, "
                        + settings.volumes().size() + " volumes, "
                        + settings.classes().size() + " classes, "
                        + settings.plans().size() + " plans, "
                        + settings.root().path("node").size() + " nodes");
        return ExitCode.OK;
    }
}
