package garnetreel.core.platform;

import static garnetreel.core.platform.PlatformGatewayHarness.REQUEST_ID;
import static garnetreel.core.platform.PlatformGatewayHarness.config;
import static garnetreel.core.platform.PlatformGatewayHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.codec.http.Fields;
import garnetreel.codec.http.HttpRequest;
import garnetreel.settings.JsonException;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The order of the checks of a request, and the numbering of valid requests. */
class RequestDecoderTest {
    private final RequestDecoder decoder =
            new RequestDecoder(settings(config(512)).scheduling());

    RequestDecoderTest() throws JsonException {}

    private static HttpRequest request(String method, String path, String id, String tier) {
        Fields fields = new Fields()
                .add("X-Correlation-Id", id)
                .add("Tier", tier)
                .add("X-Time-Left", "0.480")
                .add("IO-Info", PlatformGatewayHarness.METADATA);
        return new HttpRequest(method, path, fields, new byte[0]);
    }

    /** A request with several errors gets the status of the first check that fails. */
    @ParameterizedTest
    @CsvSource({
        "POST,/erase/a,xyz,none,404",
        "POST,/write/a,xyz,none,405",
        "PUT,/write/a,xyz,none,400",
        "PUT,/write/a,9B1F03AA5C7E2D41,none,409",
        "PUT,/write/a,9b1f03aa5c7e2d42,none,400"
    })
    void theFirstFailedCheckDecidesTheStatus(String method, String path, String id, String tier, int status) {
        HttpRequest request = request(method, path, id, tier);
        InvalidRequestException thrown =
                assertThrows(InvalidRequestException.class, () -> decoder.decode(request, 0, Set.of(REQUEST_ID)));
        assertEquals(status, thrown.status(), thrown.getMessage());
    }

    @Test
    void onlyValidRequestsAreNumbered() throws InvalidRequestException {
        HttpRequest valid = request("PUT", "/write/a", REQUEST_ID, "gold");
        HttpRequest invalid = request("PUT", "/write/a", REQUEST_ID, "none");
        assertEquals(1, decoder.decode(valid, 0, Set.of()).event().id());
        assertThrows(InvalidRequestException.class, () -> decoder.decode(invalid, 0, Set.of()));
        assertEquals(2, decoder.decode(valid, 0, Set.of()).event().id());
    }
}
