package garnetreel.benchadapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonGenerator;
import garnetreel.policy.action.CancelAttempt;
import garnetreel.policy.action.CheckHealth;
import garnetreel.policy.action.CloseIdleConnections;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.LogMessage;
import garnetreel.policy.action.PollEndpoints;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SetTimer;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.GossipReceived;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.ResponseStreamStarted;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Reading of scheduler events, writing of scheduler actions, and the exit codes of the command. */
class BenchMessageCodecTest {
    private static SchedulerEvent readEvent(String message, String fields) throws JsonException {
        byte[] bytes = ("{\"head-id\":1," + fields + "}").getBytes(StandardCharsets.UTF_8);
        return BenchMessageCodec.readEvent(message, Json.parse(bytes, 0, bytes.length, 1));
    }

    private static void assertWritten(SchedulerAction action, String fields) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonGenerator json = BenchMessageCodec.openReply(out);
        BenchMessageCodec.writeAction(json, 4, action);
        json.close();
        assertEquals("{" + fields + "}", out.toString(StandardCharsets.UTF_8).strip());
    }

    @Test
    void eventsAreRead() throws Exception {
        assertEquals(
                new RequestReceived(2757924618932676L, "r", "p", 9, 8_652_250, 7, 2, 3, 4, true, true),
                readEvent(
                        "incoming",
                        "\"id\":2757924618932676,\"qos\":\"r\",\"policy-no\":\"p\",\"chunk\":9,\"valid-until\":8.65225,"
                                + "\"share-id\":7,\"size-units\":2,\"shard\":3,\"writers\":4,\"repeat\":true,\"update\":true"));
        assertEquals(
                new AttemptCompleted(5, 1, "a:1", Outcome.NOT_STARTED, 18_500, true, 3, 86, Map.of("backlog", 2.0)),
                readEvent(
                        "finished",
                        "\"id\":5,\"round-no\":1,\"shelf\":\"a:1\",\"state-code\":8,\"duration\":0.0185,\"done-flag\":true,"
                                + "\"from-others\":3,\"usage\":86,\"load\":{\"backlog\":2,\"new\":\"x\"}"));
        assertEquals(
                new ResponseStreamStarted(5, 2, "a:1"),
                readEvent("flowing", "\"id\":5,\"round-no\":2,\"shelf\":\"a:1\""));
        assertEquals(
                new HealthCheckCompleted("a:1", Outcome.OK, 1_000, Map.of()),
                readEvent("pong", "\"shelf\":\"a:1\",\"state-code\":1,\"duration\":0.001"));
        assertEquals(
                2,
                assertInstanceOf(GossipReceived.class, readEvent("mail", "\"who\":2,\"data\":\"6869\""))
                        .data()
                        .length);
        EndpointUpdate update = assertInstanceOf(
                EndpointUpdate.class,
                readEvent(
                        "endpoints",
                        "\"kind\":\"changes\",\"entries\":["
                                + "{\"shelf\":\"a:1\",\"mode\":\"removed\"},{\"shelf\":\"b:1\",\"start-time\":6.1}]"));
        assertEquals(EndpointState.REMOVED, update.entries().get(0).state());
        assertEquals(6_100_000, update.entries().get(1).startedAt());
    }

    @Test
    void actionsAreWritten() throws Exception {
        assertWritten(
                new SendAttempt(5, "a:1", 80_000),
                "\"msg\":\"place\",\"head-id\":4,\"id\":5,\"timeout\":0.08,\"shelf\":\"a:1\"");
        assertWritten(new CancelAttempt(5, 1), "\"msg\":\"revoke\",\"head-id\":4,\"id\":5,\"round-no\":1");
        assertWritten(new RejectRequest(5, 500_000), "\"msg\":\"busy\",\"head-id\":4,\"id\":5,\"stay-away\":0.5");
        assertWritten(new FailRequest(5), "\"msg\":\"lose\",\"head-id\":4,\"id\":5");
        assertWritten(
                new SetTimer("look", 500_000), "\"msg\":\"set-timer\",\"head-id\":4,\"ref\":\"look\",\"after\":0.5");
        assertWritten(new CheckHealth("a:1"), "\"msg\":\"poll\",\"head-id\":4,\"shelf\":\"a:1\"");
        assertWritten(new CloseIdleConnections("a:1"), "\"msg\":\"close-idle\",\"head-id\":4,\"shelf\":\"a:1\"");
        assertWritten(new SubscribeEndpoints(true), "\"msg\":\"track\",\"head-id\":4,\"on\":true");
        assertWritten(new PollEndpoints(), "\"msg\":\"list-all\",\"head-id\":4");
        assertWritten(new LogMessage("two"), "\"msg\":\"remark\",\"head-id\":4,\"text\":\"two\"");
    }

    @Test
    void exitCodesAreAsDocumented() throws Exception {
        assertEquals(2, exitCode("", new String[0]));
        assertEquals(2, exitCode("", "no-such-command"));
        assertEquals(0, exitCode("", "simhost"));
        assertEquals(1, exitCode("nonsense\n", "simhost"));
        assertTrue(exitCode("{\"msg\":\"turn\",\"t\":1}\n", "simhost") == 1);
    }

    private static int exitCode(String input, String... arguments) throws Exception {
        java.util.List<String> command = new java.util.ArrayList<>(java.util.List.of(
                System.getProperty("java.home") + "/bin/java",
                "-cp",
                System.getProperty("java.class.path"),
                "garnetreel.benchadapter.BenchAdapter"));
        command.addAll(java.util.List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try (java.io.OutputStream processInput = process.getOutputStream()) {
            processInput.write(input.getBytes(StandardCharsets.UTF_8));
        } catch (java.io.IOException e) {
            // invalid arguments: the process exits without reading its input
        }
        process.getInputStream().readAllBytes();
        return process.waitFor();
    }
}
