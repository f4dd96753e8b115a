package garnetreel.cli.config;

import garnetreel.core.GatewaySettings.Files;
import garnetreel.core.GatewaySettings.Module;
import garnetreel.core.Volume;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the {@code module_of_files} blocks: modules that are served by rsync. A module belongs to one gateway instance,
 * the only one that has its file catalogue; no other instance exports its volume.
 */
final class FileModuleReader {
    private static final String BLOCK_KIND = "module_of_files";
    private static final int SECRET_BYTES = 32;

    private final SettingsValues values;
    private final Map<String, Volume> volumes;
    private final int gateways;
    private final Map<String, Module> modules = new LinkedHashMap<>();

    FileModuleReader(SettingsValues values, Map<String, Volume> volumes, int gateways) {
        this.values = values;
        this.volumes = volumes;
        this.gateways = gateways;
        values.forEach(BLOCK_KIND, (name, path) -> modules.put(name, module(name, path)));
    }

    private Module module(String name, String path) {
        String volume = values.text(path + "/volume", "");
        values.check(
                volumes.containsKey(volume), path + "/volume", "names \"" + volume + "\", and there is no such volume");
        modules.values()
                .forEach(other -> values.check(
                        !other.volume().equals(volume),
                        path + "/volume",
                        "names \"" + volume + "\", which module " + other.name() + " already uses"));
        values.check(
                owner(name) < gateways,
                path + "/head",
                "is " + owner(name) + ", and the service has " + gateways + " heads");
        return new Module(
                name,
                values.text(path + "/comment", ""),
                volume,
                values.flag(path + "/read_only", false),
                users(path + "/secrets"));
    }

    /** Passwords by user; empty where the module requires no authentication. */
    private Map<String, String> users(String path) {
        if (!values.has(path)) {
            return new TreeMap<>();
        }
        try {
            return Secrets.read(Path.of(values.text(path, "")));
        } catch (IOException e) {
            values.check(false, path, e.getMessage());
            return new TreeMap<>();
        }
    }

    /** Number of the gateway instance that a module belongs to. */
    private int owner(String module) {
        return values.integer(SettingsValues.block(BLOCK_KIND, module) + "/head", 0);
    }

    /** The modules that one gateway instance serves by rsync. */
    Files files(int gateway) {
        List<Module> own = new ArrayList<>();
        modules.forEach((name, module) -> {
            if (owner(name) == gateway) {
                own.add(module);
            }
        });
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return own.isEmpty()
                ? Files.NONE
                : new Files(values.text("/head/" + gateway + "/rsync", "127.0.0.1:0"), own, secret);
    }

    /** The gateway instance whose module uses a volume, and which alone exports it; null for none. */
    Integer ownerOfVolume(String volume) {
        for (Module module : modules.values()) {
            if (module.volume().equals(volume)) {
                return owner(module.name());
            }
        }
        return null;
    }
}
