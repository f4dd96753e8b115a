package garnetreel.core.platform;

import garnetreel.policy.config.SchedulerSettings;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import garnetreel.settings.SettingsReader;
import java.util.List;

/**
 * The configuration that the platform passes to a gateway at startup.
 *
 * @param name the gateway's name
 * @param listenAddress the only address at which client connections are accepted, host:port
 * @param discoveryAddress the address of the discovery service, host:port
 * @param seed random seed of this gateway
 * @param limits resource limits of the process
 * @param cachedEndpoints the endpoint list that this gateway last received; it may be long out of date
 * @param scheduling scheduler settings
 * @param upstreamIdleTimeout time after which endpoints close an idle connection, in microseconds; 0 if not configured
 * @param retryAfterAllowed whether rejections may carry a {@code Retry-After} header
 */
public record PlatformSettings(
        String name,
        String listenAddress,
        String discoveryAddress,
        long seed,
        Limits limits,
        EndpointListUpdate cachedEndpoints,
        SchedulerSettings scheduling,
        long upstreamIdleTimeout,
        boolean retryAfterAllowed) {
    private static final int HEX_RADIX = 16;

    /**
     * Resource limits, which the platform applies to all processes of a gateway together; this gateway runs as one
     * process.
     *
     * @param memoryMb memory, MiB
     * @param fileDescriptors number of file descriptors, which the setting {@code sockets} states
     */
    public record Limits(int memoryMb, int fileDescriptors) {}

    /**
     * Reads the configuration file.
     *
     * @throws JsonException if a field is missing or malformed; the message names the field
     */
    public static PlatformSettings read(byte[] config) throws JsonException {
        Json json = Json.parse(config, 0, config.length, "configuration");
        Json limits = json.child("limits");
        Json settings = json.require("settings").child("settings");
        return new PlatformSettings(
                json.text("name", ""),
                address(json, "listen"),
                address(json, "discovery"),
                seed(json.text("seed", "0")),
                new Limits(atLeast(limits, "memory_mb", 1), atLeast(limits, "sockets", ResourceLimits.MIN_DESCRIPTORS)),
                json.has("known")
                        ? EndpointListUpdate.read(json.child("known"))
                        : new EndpointListUpdate(0, true, List.of()),
                SettingsReader.read(settings),
                settings.child("limits").micros("idle-close", 0),
                settings.child("limits").flag("retry-after", false));
    }

    private static int atLeast(Json limits, String name, int minimum) throws JsonException {
        long number = limits.require(name).integer(name, 0);
        if (number < minimum) {
            throw new JsonException("configuration, in \"limits\": field \"" + name + "\" is " + number
                    + ", must be at least " + minimum);
        }
        return (int) Math.min(number, Integer.MAX_VALUE);
    }

    private static String address(Json json, String name) throws JsonException {
        String text = json.require(name).text(name, "");
        if (!text.matches("[^\\s:]+:[0-9]{1,5}")) {
            throw new JsonException("configuration: field \"" + name + "\" is not of the form host:port");
        }
        return text;
    }

    private static long seed(String text) throws JsonException {
        try {
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new JsonException("configuration: field \"seed\" is not a hexadecimal number of up to 64 bits");
        }
    }
}
