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

/** Reads the {@code volume} blocks. */
final class VolumeReader {
    /** Sizes of volumes and extents are multiples of this, in bytes. */
    private static final int PAGE_BYTES = 4096;

    private static final int MAX_EXTENT_BYTES = 1 << 30;
    private static final String DEFAULT_EXTENT = "1MiB";

    /**
     * A scheduler key holds 16 bits of the volume's id and 36 bits of the block's number within the volume; the wire
     * protocol requires keys below 2^53.
     */
    private static final long MAX_BLOCKS = 1L << 36;

    private final SettingsValues values;
    private final SchedulingReader scheduling;
    private final int gateways;
    private final int keyBytes;
    private final Map<String, Volume> volumes = new LinkedHashMap<>();

    /** @param keyBytes bytes of a volume that share one scheduler key */
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
                        other.id() != id,
                        path + "/id",
                        "is " + id + ", which volume " + other.name() + " already has"));
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
                size >= PAGE_BYTES && size % PAGE_BYTES == 0,
                path + "/size",
                "is " + size + " bytes; a multiple of 4KiB is expected");
        values.check(
                size / Math.max(1, keyBytes) < MAX_BLOCKS,
                path + "/size",
                "is " + size + " bytes; more blocks than the scheduler has keys for");
        values.check(
                extent >= PAGE_BYTES && extent % PAGE_BYTES == 0 && extent <= MAX_EXTENT_BYTES,
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

    /** The name of a request class, which has to exist. */
    private String requestClass(String path) {
        String name = values.text(path, "");
        values.check(
                scheduling.classes().containsKey(name), path, "names the class \"" + name + "\", and there is none");
        return name;
    }

    /** The extent maps of a service before any migration. */
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
