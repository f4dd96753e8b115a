package garnetreel.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the scheduler's decisions with recorded ones: each {@link GoldenScenario} is run, and its actions, one per
 * line, are compared with the hashes in golden-streams.txt. A change that must not affect decisions must leave that
 * file as it is.
 *
 * <p>If decisions change on purpose, print the new hashes and review them before replacing the file manually; the test
 * never writes it:
 *
 * <pre>
 * mvn -B -q -pl policy test -Dtest=GoldenStreamTest -Dgolden.print=true | grep -E '^(scenario|block) '
 * </pre>
 *
 * <p>With {@code -Dgolden.lines=NAME}, the test prints all lines of that scenario, each prefixed with "line", for
 * comparison with those of an earlier commit.
 */
class GoldenStreamTest {
    private static final String RESOURCE = "/golden-streams.txt";
    private static final String PRINT_PROPERTY = "golden.print";
    private static final String LINES_PROPERTY = "golden.lines";
    private static final int LINES_PER_BLOCK = 500;
    private static final int MAX_LINES_SHOWN = 20;
    private static final int MIN_SCENARIOS = 12;
    private static final int MIN_LINES = 2_000;

    /** Number of lines, hash of all lines, and hash of each block of lines. */
    private record Recording(int lines, String hash, List<String> blocks) {
        static Recording of(List<String> lines) {
            List<String> blocks = new ArrayList<>();
            for (int start = 0; start < lines.size(); start += LINES_PER_BLOCK) {
                blocks.add(sha256(block(lines, start / LINES_PER_BLOCK)));
            }
            return new Recording(lines.size(), sha256(lines), blocks);
        }

        /** The text form used in the resource. */
        String text(String scenario) {
            StringBuilder text = new StringBuilder("scenario " + scenario + " " + lines + " " + hash + "\n");
            for (int i = 0; i < blocks.size(); i++) {
                text.append("block ")
                        .append(i)
                        .append(' ')
                        .append(blocks.get(i))
                        .append('\n');
            }
            return text.toString();
        }

        /**
         * Index of the first block that differs; the number of equal blocks if one stream continues past the end of the
         * other.
         */
        int firstDifference(Recording other) {
            int index = 0;
            while (index < Math.min(blocks.size(), other.blocks.size())
                    && blocks.get(index).equals(other.blocks.get(index))) {
                index++;
            }
            return index;
        }
    }

    static List<GoldenScenario> scenarios() {
        return GoldenScenarios.all();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void decisionsMatchRecording(GoldenScenario scenario) throws IOException {
        List<String> lines = GoldenDriver.lines(scenario);
        Recording actual = Recording.of(lines);
        printIfRequested(scenario, lines, actual);
        assertTrue(lines.size() >= MIN_LINES, "too few actions: " + lines.size());
        Recording expected = recordings().get(scenario.name);
        assertTrue(expected != null, "no recording of scenario " + scenario.name);
        if (!actual.equals(expected)) {
            fail(difference(scenario, lines, actual, expected));
        }
    }

    @Test
    void recordedNamesMatchScenarios() throws IOException {
        List<String> names = scenarios().stream().map(scenario -> scenario.name).toList();
        assertTrue(names.size() >= MIN_SCENARIOS);
        assertEquals(names, List.copyOf(recordings().keySet()));
    }

    private static String difference(
            GoldenScenario scenario, List<String> lines, Recording actual, Recording expected) {
        int number = actual.firstDifference(expected);
        List<String> block = block(lines, number);
        return "decisions of " + scenario.name + " differ: " + actual.lines + " lines, recorded " + expected.lines
                + "; block " + number + " (lines from " + number * LINES_PER_BLOCK
                + ") is the first that differs. Its lines now:\n"
                + String.join("\n", block.subList(0, Math.min(MAX_LINES_SHOWN, block.size())));
    }

    private static void printIfRequested(GoldenScenario scenario, List<String> lines, Recording actual) {
        if (Boolean.getBoolean(PRINT_PROPERTY)) {
            System.out.print("\n" + actual.text(scenario.name));
        }
        if (scenario.name.equals(System.getProperty(LINES_PROPERTY))) {
            System.out.print("\nline " + String.join("\nline ", lines) + "\n");
        }
    }

    private static List<String> block(List<String> lines, int number) {
        int start = Math.min(lines.size(), number * LINES_PER_BLOCK);
        return lines.subList(start, Math.min(lines.size(), start + LINES_PER_BLOCK));
    }

    private static String sha256(List<String> lines) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String line : lines) {
                digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    private static Map<String, Recording> recordings() throws IOException {
        Map<String, Recording> recordings = new LinkedHashMap<>();
        List<String> blocks = List.of();
        for (String line : resource().split("\n")) {
            String[] words = line.split(" ");
            if (words[0].equals("scenario")) {
                blocks = new ArrayList<>();
                recordings.put(words[1], new Recording(Integer.parseInt(words[2]), words[3], blocks));
            } else if (words[0].equals("block")) {
                blocks.add(words[2]);
            }
        }
        return recordings;
    }

    private static String resource() throws IOException {
        try (InputStream in = GoldenStreamTest.class.getResourceAsStream(RESOURCE)) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
