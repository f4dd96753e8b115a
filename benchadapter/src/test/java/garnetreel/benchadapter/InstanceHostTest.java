package garnetreel.benchadapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.settings.JsonException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The simulator's protocol: batches, a request through a whole batch, and the error messages for invalid input. */
class InstanceHostTest {
    private static final String START_MESSAGES =
            """
            {"msg":"turn","t":8}
            {"msg":"born","head-id":0,"entropy":5,"settings":{"balancers":1,"discovery":"subscribe","tick":0.002,
            """
                            .strip()
                    + """
            "classes":[{"name":"r","aim":0.4,"hard-limit":2.5,"effect":"repeatable","group":"all"}],"other":[1,{"a":2}]}}
            {"msg":"endpoints","head-id":0,"kind":"remembered","seq-no":1,"entries":[{"shelf":"a:1","block":2,"mode":"up"}]}
            {"msg":"your-turn"}
            """;

    private static String run(String input) throws IOException, JsonException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new InstanceHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void assertFails(String input, String expectedText) {
        String message = assertThrows(JsonException.class, () -> run(input)).getMessage();
        assertTrue(message.contains(expectedText), message);
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws Exception {
        assertEquals("{\"msg\":\"eor\"}\n", run("{\"msg\":\"turn\",\"t\":8.41225}\n{\"msg\":\"your-turn\"}\n"));
    }

    @Test
    void aRequestIsSentWithItsIdAndEndpoint() throws Exception {
        String reply = run(
                START_MESSAGES
                        + """
                {"msg":"turn","t":8.5}
                {"msg":"incoming","head-id":0,"id":2757924618932676,"qos":"r","valid-until":11,"share-id":7,"shard":2}
                {"msg":"your-turn"}
                """);
        assertTrue(reply.contains("{\"msg\":\"track\",\"head-id\":0,\"on\":true}\n"), reply);
        assertTrue(
                reply.contains("{\"msg\":\"place\",\"head-id\":0,\"id\":2757924618932676,\"timeout\":0.0,"
                        + "\"shelf\":\"a:1\"}\n"),
                reply);
        assertTrue(reply.endsWith("{\"msg\":\"eor\"}\n"));
    }

    @Test
    void aKilledInstanceIsDiscardedAndCanBeStartedAgain() throws Exception {
        String restart = START_MESSAGES
                .replace("\"t\":8}", "\"t\":9}")
                .replace("{\"msg\":\"born\"", "{\"msg\":\"kill\",\"head-id\":0}\n{\"msg\":\"born\"");
        assertEquals(2, run(START_MESSAGES + restart).split("track", -1).length - 1);
    }

    @Test
    void errorsNameTheInvalidInput() {
        assertFails("{\"msg\":\"turn\",\"t\":8}\nnot json\n", "line 2");
        assertFails("{\"msg\":\"turn\",\"t\":8}\n{\"msg\":\"no-such-event\",\"head-id\":0}\n", "no-such-event");
        assertFails("{\"msg\":\"turn\"}\n", "\"t\"");
        assertFails("{\"msg\":\"your-turn\"}\n", "outside a batch");
        assertFails(
                START_MESSAGES + "{\"msg\":\"turn\",\"t\":9}\n{\"msg\":\"incoming\",\"head-id\":0,\"qos\":\"r\"}\n",
                "\"id\"");
        assertFails(
                START_MESSAGES
                        + "{\"msg\":\"turn\",\"t\":9}\n{\"msg\":\"incoming\",\"id\":4,\"valid-until\":10,\"qos\":\"r\"}\n",
                "\"head-id\"");
        assertFails(
                START_MESSAGES + "{\"msg\":\"turn\",\"t\":9}\n{\"msg\":\"abandoned\",\"head-id\":0,\"id\":\"x\"}\n",
                "wrong type");
        assertFails("{\"msg\":\"turn\",\"t\":8}\n", "ended inside a batch");
        assertFails("[1]\n", "not a JSON object");
    }
}
