package garnetreel.cli.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import garnetreel.cli.testing.ScenarioFile;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Validation of settings files: each error names file, location, key, the value found and the one expected. */
class SettingsTest {
    private static final String VALID =
            """
            service {
              heads = 2
            }
            class "read" {
              aim      = "400ms"
              deadline = "2s"
              effect   = "repeatable"
            }
            plan "archive" {
              rate   = 5
              weight = 1
              limit  = 19
              burst  = 48
            }
            volume "births" {
              id          = 1
              size        = "64MiB"
              plan        = "archive"
              read_class  = "read"
              write_class = "read"
              flush_class = "read"
              shards      = [0, 1]
            }
            """;

    private static List<String> problems(String text) {
        return assertThrows(SettingsException.class, () -> Settings.of(HclFile.parse("f.hcl", text)))
                .problems();
    }

    private static void assertProblem(String original, String replacement, String expected) {
        assertTrue(VALID.contains(original));
        List<String> problems = problems(VALID.replace(original, replacement));
        assertTrue(
                problems.stream().anyMatch(p -> p.startsWith("f.hcl:") && p.contains(expected)),
                expected + " in " + problems);
    }

    @Test
    void validSettingsAreRead() throws Exception {
        Settings settings = Settings.of(HclFile.parse("f.hcl", VALID));
        assertEquals(64 << 20, settings.volumes().get("births").size());
        assertEquals(400_000, settings.classes().get("read").latencyObjective());
        assertEquals(19, settings.scheduling(0).plans().get(0).rateLimit());
    }

    @Test
    void schemaViolationsAreReported() {
        assertProblem("heads = 2", "heads = \"two\"", "f.hcl:2:3: service heads is \"two\"; a number is expected");
        assertProblem("heads = 2", "heads = 2\n  haeds = 3", "f.hcl:3:3: service haeds is not a known key here");
        assertProblem("\"400ms\"", "\"400\"", "class read aim is \"400\"; a duration such as");
        assertProblem("\"64MiB\"", "\"64MB\"", "volume births size is \"64MB\"; a size such as");
        assertProblem("\"repeatable\"", "\"maybe\"", "class read effect is \"maybe\"; one of");
        assertProblem("  id          = 1\n", "", "volume births lacks \"id\"");
        assertProblem("weight = 1", "weight = 1e3", "\"1e3\" is no plain decimal number");
    }

    @Test
    void invalidValuesAreReported() {
        assertProblem("plan        = \"archive\"", "plan = \"gold\"", "names the plan \"gold\", and there is none");
        assertProblem(
                "flush_class = \"read\"", "flush_class = \"write\"", "names the class \"write\", and there is none");
        assertProblem("aim      = \"400ms\"", "aim = \"3s\"", "at most the deadline");
        assertProblem("burst  = 48", "burst = 2", "at least the largest request");
        assertProblem("\"64MiB\"", "\"1000B\"", "a multiple of 4KiB is expected");
        assertProblem("shards      = [0, 1]", "shards = [0]\n  hosts = 9", "the service has 2 heads");
        assertProblem("\"64MiB\"", "\"999999999TiB\"", "too large a size");
    }

    @Test
    void textThatHcl4jWouldSkipIsRejected() {
        assertEquals(List.of("f.hcl:1:10: a value is missing"), problems("listen = \n foo { a = [1,"));
        assertTrue(
                problems("").get(0).contains("the file lacks \"service\""),
                problems("").toString());
        for (String invalid : List.of(
                "a = 1 b = 2",
                "a {",
                "a = [1,",
                "a = \"x",
                "}",
                "a = 1\na = 2",
                "a \"b\" c {}",
                "a = 1 }",
                "a = {b = 1",
                "a { } b",
                "a = nope",
                "a = \"${x}\"",
                "/* x",
                "a = <<E\nE",
                "x = -",
                "service { heads = 1 }\nservice { heads = 2 }",
                "a = [1 2]",
                "= 3",
                "\"a\" = 3")) {
            assertTrue(problems(invalid).get(0).startsWith("f.hcl:"), invalid);
        }
    }

    @Test
    void truncatedFilesAreRejected() {
        // A truncated file must not pass as a valid one with fewer settings, unless it ends between two blocks.
        for (int length = 0; length < VALID.length(); length++) {
            String cut = VALID.substring(0, length);
            if (!cut.isBlank() && !cut.stripTrailing().endsWith("}")) {
                assertTrue(!problems(cut).isEmpty());
            }
        }
    }

    @Test
    void bundledScenariosAreValid() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("../days"))) {
            for (Path scenario :
                    files.filter(f -> f.toString().endsWith(".hcl")).toList()) {
                assertTrue(!ScenarioFile.read(scenario).description().isEmpty(), scenario.toString());
            }
        }
    }

    @Test
    void scenarioOverridesItsDeploymentAndErrorsNameTheirFile(@TempDir Path temp) throws Exception {
        Files.writeString(temp.resolve("base"), VALID);
        Path scenario = temp.resolve("day.hcl");
        Files.writeString(
                scenario, "day {\n  length = \"1s\"\n  deployment = \"base\"\n}\nplan \"archive\" {\n  rate = 7\n}\n");
        Settings settings = Settings.read(scenario);
        assertEquals(7, settings.plans().get("archive").provisionedRate());
        assertEquals(19, settings.plans().get("archive").rateLimit());
        Files.writeString(temp.resolve("base"), VALID.replace("\"400ms\"", "\"400\""));
        String problem = assertThrows(SettingsException.class, () -> Settings.read(scenario))
                .problems()
                .get(0);
        assertTrue(problem.startsWith(temp.resolve("base") + ":5:3: class read aim is \"400\""), problem);
    }

    @Test
    void tracesConformToTheirSchema(@TempDir Path temp) throws Exception {
        TraceEvent event = TraceEvent.client(5, "load", "0", TraceEvent.Kind.REPLY, 7, "write", 1, 4096, 512, "served");
        Path file = temp.resolve("trace.json");
        try (TraceFile trace = new TraceFile(file)) {
            for (TraceEvent.Kind kind : TraceEvent.Kind.values()) {
                trace.add(TraceEvent.state(6, "n0", "1", kind, "127.0.0.1:1", 2, "up"));
            }
            trace.add(event);
        }
        List<TraceEvent> read = TraceFile.read(file);
        assertEquals(event, read.get(read.size() - 1));
        var schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                .getSchema(TraceFile.class.getResourceAsStream("/garnetreel/testbed/trace.schema.json"));
        for (String line : Files.readAllLines(file)) {
            if (!line.isBlank()) {
                JsonNode json = new ObjectMapper().readTree(line);
                assertEquals(0, schema.validate(json).size(), () -> schema.validate(json)
                        .toString());
            }
        }
    }
}
