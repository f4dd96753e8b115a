package garnetreel.core.platform;

import static garnetreel.core.platform.PlatformGatewayHarness.config;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import garnetreel.settings.SettingsReader;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reading the configuration passed by the platform. */
class PlatformSettingsTest {
    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"name\":\"n0\"}", "{\"listen\":7}"})
    void aMalformedConfigurationIsReported(String text) {
        assertThrows(JsonException.class, () -> PlatformSettings.read(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void tooFewDescriptorsAreReported() {
        byte[] config = config(64).getBytes(StandardCharsets.UTF_8);
        assertTrue(assertThrows(JsonException.class, () -> PlatformSettings.read(config))
                .getMessage()
                .contains("\"sockets\" is 64"));
    }

    @Test
    void schedulerSettingsEqualThoseReadBySettingsReader() throws JsonException {
        byte[] config = config(512).getBytes(StandardCharsets.UTF_8);
        Json json = Json.parse(config, 0, config.length, 1);
        assertEquals(
                SettingsReader.read(json.child("settings")),
                PlatformSettings.read(config).scheduling());
    }
}
