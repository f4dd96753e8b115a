package garnetreel.cli;

import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.core.GatewaySettings.Module;
import garnetreel.core.Volume;
import garnetreel.files.Catalogue;
import garnetreel.files.FileEntry;
import garnetreel.files.PendingWrites;
import garnetreel.store.Journal;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Inspects the file catalogue of a stopped gateway instance; a running one is queried with rsync instead. */
@Command(
        name = "files",
        mixinStandardHelpOptions = true,
        description = {
            "Inspects the file catalogue of a stopped gateway instance.",
            "ls: lists files. stat: prints the attributes of one file. check: verifies the catalogue and prints the space used."
        })
final class FilesCommand implements Callable<Integer> {
    /** The actions, named as on the command line. */
    enum Action {
        LS,
        STAT,
        CHECK
    }

    @Spec
    CommandSpec spec;

    @Parameters(index = "0", paramLabel = "ACTION", description = "${COMPLETION-CANDIDATES}")
    Action action;

    @Parameters(index = "1", paramLabel = "FILE", description = "The settings file of the service.")
    Path file;

    @Parameters(
            index = "2",
            arity = "0..1",
            paramLabel = "MODULE/PATH",
            defaultValue = "",
            description = "Module, or a path in it. Default: all modules.")
    String target;

    @Option(
            names = "--head",
            paramLabel = "N",
            defaultValue = "0",
            description = "Number of the gateway instance. Default: ${DEFAULT-VALUE}.")
    int number;

    @Override
    public Integer call() throws SettingsException, IOException {
        Settings settings = Settings.read(file);
        List<Catalogue.ModuleVolume> modules = modules(settings);
        // Recovery fails with the reason if the journal is corrupt, a record is missing or space is allocated twice.
        Catalogue catalogue = recover(settings, modules);
        int slash = target.indexOf('/');
        String module = slash < 0 ? target : target.substring(0, slash);
        String path = slash < 0 ? "" : target.substring(slash + 1);
        if (!module.isEmpty() && modules.stream().noneMatch(m -> m.module().equals(module))) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "gateway " + number + " has no module \"" + module + "\"");
        }
        boolean found = true;
        for (Catalogue.ModuleVolume candidate : modules) {
            if (module.isEmpty() || candidate.module().equals(module)) {
                found &= print(catalogue, candidate, path);
            }
        }
        spec.commandLine().getOut().flush();
        return found ? ExitCode.OK : ExitCode.FAILED;
    }

    private List<Catalogue.ModuleVolume> modules(Settings settings) {
        List<Catalogue.ModuleVolume> modules = new ArrayList<>();
        for (Module module : settings.gateway(number, 0, "", "", "").files().modules()) {
            Volume volume = settings.volumes().get(module.volume());
            modules.add(new Catalogue.ModuleVolume(module.name(), volume.id(), volume.size()));
        }
        return modules;
    }

    private Catalogue recover(Settings settings, List<Catalogue.ModuleVolume> modules) throws IOException {
        String directory = settings.stateDirectory(number);
        Path journalFile = Path.of(directory, GatewayState.FILES_JOURNAL);
        if (directory.isEmpty() || !Files.isRegularFile(journalFile)) {
            throw new IOException("gateway " + number + " has no file catalogue: " + journalFile + " does not exist");
        }
        try (Journal journal = new Journal(journalFile)) {
            Journal.Contents contents = journal.contents();
            Catalogue catalogue = new Catalogue(modules, contents.snapshot(), contents.records(), PendingWrites.NONE);
            catalogue.reclaim();
            return catalogue;
        }
    }

    /** Runs the action on a module or a path in it; false where the path does not exist. */
    private boolean print(Catalogue catalogue, Catalogue.ModuleVolume module, String path) {
        switch (action) {
            case LS -> catalogue.entriesBelow(module.module(), path).forEach(this::printLine);
            case CHECK -> printUsage(catalogue, module, path);
            case STAT -> {
                FileEntry entry = catalogue.get(module.module(), path);
                if (entry == null) {
                    spec.commandLine().getErr().println(module.module() + " has no \"" + path + "\"");
                    return false;
                }
                printAttributes(entry);
            }
        }
        return true;
    }

    private void printLine(FileEntry entry) {
        spec.commandLine()
                .getOut()
                .printf(
                        "%06o %14d %s %s/%s%n",
                        entry.mode(),
                        entry.size(),
                        Instant.ofEpochSecond(entry.modified()),
                        entry.module(),
                        entry.path());
    }

    private void printUsage(Catalogue catalogue, Catalogue.ModuleVolume module, String path) {
        List<FileEntry> entries = catalogue.entriesBelow(module.module(), path);
        spec.commandLine()
                .getOut()
                .printf(
                        "%s: %d names, %d bytes, %d of %d bytes of the volume free, change %d%n",
                        module.module(),
                        entries.size(),
                        entries.stream().mapToLong(FileEntry::size).sum(),
                        catalogue.free(module.module()),
                        module.size(),
                        catalogue.seq());
    }

    private void printAttributes(FileEntry entry) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                "name: %s/%s%nversion: %d%nmode: %06o%nsize: %d%nmodified: %s%nmd5: %s%n",
                entry.module(),
                entry.path(),
                entry.version(),
                entry.mode(),
                entry.size(),
                Instant.ofEpochSecond(entry.modified()),
                HexFormat.of().formatHex(entry.md5()));
        entry.pieces().forEach(piece -> out.printf("bytes: %d at %d%n", piece.length(), piece.offset()));
    }
}
