package garnetreel.cli.config;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Parameters;

/** The first parameter of commands that read a settings file, as a picocli mixin. */
public final class SettingsFile {
    @Parameters(index = "0", paramLabel = "FILE", description = "The settings file of the service.")
    private Path path;

    /** Reads and checks the file. */
    public Settings read() throws SettingsException, IOException {
        return Settings.read(path);
    }

    @Override
    public String toString() {
        return path.toString();
    }
}
