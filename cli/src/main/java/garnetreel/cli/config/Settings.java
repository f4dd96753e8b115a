package garnetreel.cli.config;

import com.fasterxml.jackson.databind.JsonNode;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.core.GatewaySettings;
import garnetreel.core.GatewaySettings.Bounds;
import garnetreel.core.Volume;
import garnetreel.mapservice.MapServiceSettings;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A settings file, checked as a whole and converted to the settings of each part of the program. One reader class per subject
 * reads the blocks; callers with further blocks, such as scenarios, read their values by path.
 */
public final class Settings {
    private final SettingsValues values;
    private final ServiceReader service;
    private final SchedulingReader scheduling;
    private final VolumeReader volumes;
    private final FileModuleReader fileModules;

    private Settings(HclFile file) {
        values = new SettingsValues(file);
        service = new ServiceReader(values);
        scheduling = new SchedulingReader(values);
        volumes = new VolumeReader(
                values, scheduling, service.gateways(), service.bounds().keyBytes());
        fileModules = new FileModuleReader(values, volumes.volumes(), service.gateways());
        service.readGateways(scheduling.maxUnits());
    }

    /** Reads a file and checks its syntax and its values. */
    public static Settings read(Path path) throws SettingsException, IOException {
        return of(HclFile.read(path));
    }

    /** Checks the values of a file whose syntax and schema have been checked. */
    public static Settings of(HclFile file) throws SettingsException {
        Settings settings = new Settings(file);
        settings.values.throwProblems();
        return settings;
    }

    // ---------------------------------------------------------------- values by path

    /** The whole file. */
    public JsonNode root() {
        return values.root();
    }

    /** Calls {@code action} for each block of a kind, with its label and its path. */
    public void forEachBlock(String kind, BiConsumer<String, String> action) {
        values.forEach(kind, action);
    }

    /** Whether the file has a value at a path. */
    public boolean has(String path) {
        return values.has(path);
    }

    /** A number. */
    public double number(String path, double defaultValue) {
        return values.number(path, defaultValue);
    }

    /** A text; an empty one is replaced by the default too. */
    public String text(String path, String defaultValue) {
        return values.text(path, defaultValue);
    }

    /** A boolean. */
    public boolean flag(String path, boolean defaultValue) {
        return values.flag(path, defaultValue);
    }

    /** A duration in microseconds. */
    public long micros(String path, String defaultValue) {
        return values.micros(path, defaultValue);
    }

    /** A size in bytes. */
    public long bytes(String path, String defaultValue) {
        return values.bytes(path, defaultValue);
    }

    /** The location of a path, as the prefix of an error message; for callers that check further blocks. */
    public String locate(String path) {
        return values.locate(path);
    }

    // ---------------------------------------------------------------- shared settings

    /** Number of gateway instances. */
    public int gateways() {
        return service.gateways();
    }

    /** The limits that the scheduler must never violate. */
    public SafetyRules rules() {
        return scheduling.rules();
    }

    /** Volumes by name. */
    public Map<String, Volume> volumes() {
        return volumes.volumes();
    }

    /** Volumes by id; traces name volumes by id. */
    public Map<Long, Volume> volumesById() {
        Map<Long, Volume> byId = new HashMap<>();
        volumes().values().forEach(volume -> byId.put(volume.id(), volume));
        return byId;
    }

    /** Request classes by name. */
    public Map<String, RequestClass> classes() {
        return scheduling.classes();
    }

    /** Plans by name. */
    public Map<String, Plan> plans() {
        return scheduling.plans();
    }

    /** Bounds of memory, connections and requests. */
    public Bounds bounds() {
        return service.bounds();
    }

    /** The longest time limit of a request class, in microseconds. */
    public long longestTimeLimit() {
        return scheduling.longestTimeLimit();
    }

    /** Address of the node list; empty when the file names none. */
    public String nodeListAddress() {
        return values.text("/service/list", "");
    }

    /** Address of the map service; empty when the file names none. */
    public String mapServiceAddress() {
        return values.text("/service/map", "");
    }

    // ---------------------------------------------------------------- gateway instances

    /** Listening address of a gateway instance; null when the file has no block for it. */
    public String listenAddress(int gateway) {
        return service.listenAddress(gateway);
    }

    /** State directory of a gateway instance; empty for none. */
    public String stateDirectory(int gateway) {
        return values.text("/head/" + gateway + "/state", "");
    }

    /** Settings of a gateway instance's scheduler. */
    public SchedulerSettings scheduling(int gateway) {
        return scheduling.settings(
                gateway, service.gateways(), service.connections().connectTimeout());
    }

    /** Settings of a gateway instance. */
    public GatewaySettings gateway(int number, long incarnation, String listen, String list, String map) {
        return new GatewaySettings(
                number,
                incarnation,
                listen,
                list,
                map,
                scheduling(number),
                volumes().values().stream()
                        .filter(volume -> exports(number, volume.name()))
                        .toList(),
                scheduling.margin(),
                service.bounds(),
                service.connections(),
                fileModules.files(number));
    }

    /** A volume of a file module is exported by the module's gateway only; any other by the gateways it names, or by all. */
    private boolean exports(int gateway, String volume) {
        Integer owner = fileModules.ownerOfVolume(volume);
        if (owner != null) {
            return owner == gateway;
        }
        String path = SettingsValues.block("volume", volume) + "/heads";
        return !values.has(path) || values.integers(path).contains(gateway);
    }

    // ---------------------------------------------------------------- the map service

    /** The extent maps of a service before any migration. */
    public Snapshot initialMaps() {
        return volumes.initialMaps();
    }

    /** Settings of the map service. */
    public MapServiceSettings mapService(String listen, String list, long incarnation) {
        // As a client of the node list and the nodes, the service uses -1, which is the number of no gateway instance.
        return service.mapService(listen, gateway(-1, incarnation, "", list, ""));
    }
}
