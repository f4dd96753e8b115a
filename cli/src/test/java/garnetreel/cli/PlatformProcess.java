package garnetreel.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A gateway in a process of its own, started with the main class that {@code run} in deploy/balancer.toml names, and
 * with its heap and stacks.
 */
final class PlatformProcess {
    /** Both signals handled as usual. */
    static final String DEFAULT_SIGNALS = "--default-signal=HUP,TERM";

    private static final Pattern LISTENS = Pattern.compile(".* listens on (\\S+)");
    private static final int WAIT_SECONDS = 30;

    private final Path file;
    private final java.lang.Process process;
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();

    /**
     * @param directory for the configuration file, which {@link #file} names
     * @param signals option of env(1) that says how the process treats signals. The tests may run with SIGHUP ignored,
     *     as under nohup; a child process inherits that, and the JVM keeps it ignored
     */
    PlatformProcess(Path directory, String config, String signals) throws IOException {
        file = Files.writeString(directory.resolve("config.json"), config);
        Path logging = Files.writeString(
                directory.resolve("logging.xml"),
                """
                <configuration><appender name="out" class="ch.qos.logback.core.ConsoleAppender">
                <encoder><pattern>%logger{0} %msg%n</pattern></encoder></appender>
                <root level="INFO"><appender-ref ref="out"/></root></configuration>
                """);
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        ProcessBuilder builder = new ProcessBuilder(
                "env",
                signals,
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Xmx64m",
                "-Xss256k",
                "-XX:MaxDirectMemorySize=8m",
                "-Dlogback.configurationFile=" + logging,
                "-cp",
                classes,
                PlatformMain.class.getName());
        builder.environment().put(PlatformMain.CONFIG_VARIABLE, file.toString());
        process = builder.redirectErrorStream(true).start();
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        Thread reader = new Thread(() -> lines.lines().forEach(log::add));
        reader.setDaemon(true);
        reader.start();
    }

    /** The configuration file. */
    Path file() {
        return file;
    }

    /** Waits until the gateway listens; returns its address. */
    String awaitAddress() throws InterruptedException {
        return awaitLogLine(LISTENS).group(1);
    }

    /** Waits for a matching log line. */
    Matcher awaitLogLine(Pattern pattern) throws InterruptedException {
        StringBuilder before = new StringBuilder();
        for (String line = nextLogLine(WAIT_SECONDS); line != null; line = nextLogLine(WAIT_SECONDS)) {
            Matcher matcher = pattern.matcher(line);
            if (matcher.find()) {
                return matcher;
            }
            before.append(line).append('\n');
        }
        throw new AssertionError("no log line matches " + pattern + "; logged:\n" + before);
    }

    /** The log lines that nobody has waited for yet. */
    String remainingLog() {
        List<String> lines = new ArrayList<>();
        log.drainTo(lines);
        return String.join("\n", lines);
    }

    /** The next log line; null if none comes for a time. */
    String nextLogLine(int seconds) throws InterruptedException {
        return log.poll(seconds, TimeUnit.SECONDS);
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** The largest resident memory that the process has had. */
    long peakResidentBytes() throws IOException {
        String status = Files.readString(Path.of("/proc", Long.toString(process.pid()), "status"));
        Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB").matcher(status);
        if (!peak.find()) {
            throw new IOException("no resident memory in " + status);
        }
        return Long.parseLong(peak.group(1)) << 10;
    }

    /** Waits for the end of the process; returns its exit code. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("the process has not ended");
        }
        return process.exitValue();
    }

    /** Ends the process at once, if it has not ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
