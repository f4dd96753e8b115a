package garnetreel.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs one gateway instance on the HTTP platform, as {@link PlatformMain} does, but with the command line's logging
 * options.
 */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one gateway instance on the HTTP platform.",
            "SIGHUP reloads the configuration; SIGTERM answers all accepted requests and then exits."
        })
final class PlatformCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "The configuration. Default: the file that the environment variable "
                    + PlatformMain.CONFIG_VARIABLE + " names.",
            defaultValue = "${env:" + PlatformMain.CONFIG_VARIABLE + "}")
    Path file;

    @Override
    public Integer call() throws IOException {
        if (file == null) {
            throw new IOException(
                    "no configuration file: neither --config nor " + PlatformMain.CONFIG_VARIABLE + " is set");
        }
        return new PlatformMain(file).run();
    }
}
