package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decoding of the messages from discovery. */
class EndpointListUpdateTest {
    private static EndpointListUpdate read(String text) throws JsonException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return EndpointListUpdate.read(Json.parse(bytes, 0, bytes.length, "list"));
    }

    @Test
    void allFieldsAreRead() throws JsonException {
        EndpointListUpdate update =
                read("{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.0.0.1:2001\","
                        + "\"site\":\"a\",\"block\":3,\"health\":\"up\",\"share\":0.5,\"born_ms\":1200}]}");
        EndpointEntry endpoint = new EndpointEntry("s-1", "a", 3, EndpointState.UP, 0.5, 1_200_000);
        assertEquals(
                new EndpointListUpdate(9, true, List.of(new EndpointListUpdate.Entry("127.0.0.1:2001", endpoint))),
                update);
        assertEquals(
                new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, List.of(endpoint)),
                update.toEvent(EndpointUpdateKind.SNAPSHOT));
    }

    @Test
    void optionalFieldsHaveDefaultsAndRequiredOnesAreChecked() throws JsonException {
        EndpointEntry endpoint = new EndpointEntry("s-1", "", 0, EndpointState.UP, 1, 0);
        assertEquals(
                new EndpointListUpdate(9, false, List.of(new EndpointListUpdate.Entry("", endpoint))),
                read("{\"seq\":9,\"hosts\":[{\"host\":\"s-1\"}]}"));
        assertThrows(JsonException.class, () -> read("{\"hosts\":[]}"));
        assertThrows(JsonException.class, () -> read("{\"seq\":9,\"hosts\":[{}]}"));
    }

    @ParameterizedTest
    @CsvSource({"up, UP", "removed, REMOVED", "draining, DRAINING", "anything else, DRAINING"})
    void healthMapsToAStateAndUnknownValuesToDraining(String health, EndpointState state) throws JsonException {
        EndpointListUpdate update = read("{\"seq\":9,\"hosts\":[{\"host\":\"s-1\",\"health\":\"" + health + "\"}]}");
        assertEquals(state, update.entries().get(0).endpoint().state());
    }
}
