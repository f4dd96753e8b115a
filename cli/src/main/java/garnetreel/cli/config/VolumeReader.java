package garnetreel.cli.config;

import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.core.ExtentLayout;
import garnetreel.core.Volume;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the blocks {@code volume}. */
final class VolumeReader {
    /** Sizes of volumes and extents are multiples of this. */
    private static final int PAGE = 4096;

    private static final int MAX_EXTENT_BYTES = 1 << 30;
    private static final String DEFAULT_EXTENT = "1MiB";

    /** Keys to the scheduler stay under 2^53: 36 bits are left for the block within a volume. */
    private static final long MAX_BLOCKS = 1L << 36;

    private final SettingsValues values;
    private final SchedulingReader scheduling;
    private final int gateways;
    private final int keyBytes;
    private final Map<String, Volume> volumes = new LinkedHashMap<>();

    /** @param keyBytes how much of a volume one key of the scheduler stands for */
    VolumeReader(SettingsValues values, SchedulingReader scheduling, int gateways, int keyBytes) {
        this.values = values;
        this.scheduling = scheduling;
        this.gateways = gateways;
        this.keyBytes = keyBytes;
        values.forEach("volume", (name, path) -> volumes.put(name, volume(name, path)));
    }

    Map<String, Volume> volumes() {
        return volumes;
    }

    private Volume volume(String name, String path) {
        long id = (long) values.number(path + "/id", 0);
        long size = values.bytes(path + "/size", "0B");
        long extent = values.bytes(path + "/extent", DEFAULT_EXTENT);
        checkSizes(path, size, extent);
        volumes.values()
                .forEach(other -> values.check(
                        other.id() != id, path + "/id", "is " + id + ", which volume " + other.name() + " has"));
        String plan = values.text(path + "/plan", "");
        values.check(
                scheduling.plans().containsKey(plan),
                path + "/plan",
                "names the plan \"" + plan + "\", and there is none");
        List<Integer> shards = values.integers(path + "/shards");
        String flushClass = flushClass(path + "/flush_class");
        int sharingGateways = values.integer(path + "/hosts", 0);
        values.check(
                sharingGateways <= gateways,
                path + "/hosts",
                "is " + sharingGateways + ", and the service has " + gateways + " heads");
        return new Volume(
                id,
                name,
                values.text(path + "/description", ""),
                size,
                values.flag(path + "/read_only", false),
                plan,
                requestClass(path + "/read_class"),
                requestClass(path + "/write_class"),
                flushClass,
                sharingGateways,
                ExtentLayout.fixed(Math.max(1, extent), shards.isEmpty() ? List.of(0) : shards));
    }

    private void checkSizes(String path, long size, long extent) {
        values.check(
                size >= PAGE && size % PAGE == 0,
                path + "/size",
                "is " + size + " bytes; a multiple of 4KiB is expected");
        values.check(
                size / Math.max(1, keyBytes) < MAX_BLOCKS,
                path + "/size",
                "is " + size + " bytes; more pieces of data than keys can name");
        values.check(
                extent >= PAGE && extent % PAGE == 0 && extent <= MAX_EXTENT_BYTES,
                path + "/extent",
                "is " + extent + " bytes; a multiple of 4KiB up to 1GiB is expected");
    }

    private String flushClass(String path) {
        String name = requestClass(path);
        RequestClass flushClass = scheduling.classes().get(name);
        values.check(
                flushClass == null || flushClass.idempotency() == Idempotency.IDEMPOTENT,
                path,
                "names \"" + name + "\", whose effect is not repeatable; a flush may run twice");
        return name;
    }

    /** The name of a request class that there has to be. */
    private String requestClass(String path) {
        String name = values.text(path, "");
        values.check(
                scheduling.classes().containsKey(name), path, "names the class \"" + name + "\", and there is none");
        return name;
    }

    /** The maps of a service none of whose extents was ever migrated. */
    Snapshot initialMaps() {
        List<VolumeMap> maps = new ArrayList<>();
        for (Volume volume : volumes.values()) {
            String path = SettingsValues.block("volume", volume.name());
            long extent = values.bytes(path + "/extent", DEFAULT_EXTENT);
            long extents = (volume.size() + extent - 1) / extent;
            maps.add(new VolumeMap(volume.id(), extents, (int) extent, values.integers(path + "/shards"), List.of()));
        }
        return new Snapshot(1, 1, maps);
    }
}
