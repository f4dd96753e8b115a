package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.Violation.Kind;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway as a separate process, over its restarts: starts, reconfigures, suspends, terminates and kills it. */
final class GatewayProcess {
    private static final long READY_TIMEOUT_SECONDS = 30;
    /** Time that a gateway has to exit after SIGTERM: the longest deadline and 0.7 s. */
    private static final long EXIT_TIMEOUT_MILLIS = 3_700;

    private static final Pattern INVARIANT_VIOLATIONS = Pattern.compile("invariant violations: (\\d+)");

    private static final Pattern DEFECT =
            Pattern.compile(" ERROR |Exception in thread|the scheduler (decided to send|did not answer)|OutOfMemory");

    /** Used if logback is the logging provider on the class path; that of tests has a simpler one. */
    private static final String LOGBACK_CONFIGURATION =
            """
            <configuration><appender name="out" class="ch.qos.logback.core.ConsoleAppender">
            <encoder><pattern>%r %level %logger{0} - %msg%n</pattern></encoder></appender>
            <root level="INFO"><appender-ref ref="out"/></root></configuration>
            """;

    /** The state of the process. */
    enum State {
        DOWN,
        STARTING,
        READY,
        STOPPING
    }

    final String name;
    private final Path directory;
    private final FakeDiscovery discovery;
    private final RequestLedger ledger;
    private final String settings;
    private final String mainClass;
    private final List<String> environment;
    private final int port;
    private final ProcessFaults faults;
    private final List<Path> logs = new ArrayList<>();
    private java.lang.Process process;
    private String discoveryAddress;
    private volatile State state = State.DOWN;
    /** Whether SIGTERM was sent to the current process, and whether it was killed. */
    private boolean terminated;

    private boolean killed;
    /** When SIGTERM was last sent, and when the process was last killed or crashed; nanoseconds. */
    private volatile long stoppingSince = Long.MAX_VALUE;

    private volatile long killedAt = Long.MIN_VALUE;
    private volatile long socketsExhaustedUntil = Long.MIN_VALUE;
    private volatile long disconnectBurstUntil = System.nanoTime();

    GatewayProcess(
            String name,
            Path directory,
            FakeDiscovery discovery,
            RequestLedger ledger,
            String settings,
            String mainClass,
            Optional<Path> shim,
            List<String> environment)
            throws IOException {
        this.name = name;
        this.directory = Files.createDirectories(directory);
        this.discovery = discovery;
        this.ledger = ledger;
        this.settings = settings;
        this.mainClass = mainClass;
        this.environment = environment;
        this.port = Sockets.freePort(new SplittableRandom());
        this.discoveryAddress = discovery.listen(name);
        this.faults = shim.isPresent() ? ProcessFaults.of(shim.get(), directory.resolve("faults")) : null;
    }

    State state() {
        return state;
    }

    Optional<ProcessFaults> faults() {
        return Optional.ofNullable(faults);
    }

    /** Whether clients may open connections; they continue to do so for 0.35 s after SIGTERM. */
    boolean acceptsConnections() {
        return state == State.READY || state == State.STOPPING && System.nanoTime() - stoppingSince < 350_000_000L;
    }

    /** Whether the process that ran at a time was killed or crashed since, so that lost requests are no violation. */
    boolean killedSince(long nanos) {
        return killedAt >= nanos;
    }

    /** Whether idle clients have exhausted the sockets since a time, so that new connections may be closed unread. */
    boolean socketsExhaustedSince(long nanos) {
        return socketsExhaustedUntil >= nanos;
    }

    /** Makes most clients disconnect before their response, for a period. */
    void startDisconnectBurst(long millis) {
        disconnectBurstUntil = System.nanoTime() + millis * 1_000_000;
    }

    boolean inDisconnectBurst() {
        return System.nanoTime() < disconnectBurstUntil;
    }

    void markSocketsExhausted(long millis) {
        socketsExhaustedUntil = System.nanoTime() + millis * 1_000_000;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    // ---------------------------------------------------------------- lifecycle

    synchronized void start() throws IOException {
        state = State.STARTING;
        terminated = false;
        killed = false;
        discovery.recordInitialList(name);
        writeConfiguration();
        Path log = directory.resolve("log-" + logs.size() + ".txt");
        logs.add(log);
        List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP,TERM"));
        if (faults != null) {
            command.add("LD_PRELOAD=" + faults.library);
            command.add(ProcessFaults.VARIABLE + "=" + faults.control);
        }
        command.addAll(environment);
        command.addAll(List.of(
                "NODE_CONFIG=" + configuration(),
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Xmx64m",
                "-Xss256k",
                "-XX:MaxDirectMemorySize=8m",
                "-Dlogback.configurationFile="
                        + Files.writeString(directory.resolve("logging.xml"), LOGBACK_CONFIGURATION),
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                mainClass));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        java.lang.Process started = process;
        process.onExit().thenAccept(exitedProcess -> exited(started));
    }

    private Path configuration() {
        return directory.resolve("config.json");
    }

    private synchronized void writeConfiguration() throws IOException {
        String text = String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\",\"seed\":\"%x\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},\"known\":%s,\"settings\":%s}",
                name,
                port,
                discoveryAddress,
                System.nanoTime(),
                discovery.fullList(),
                settings);
        Path temporary = Files.writeString(directory.resolve("config.next"), text);
        Files.move(temporary, configuration(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Waits until the gateway reports ready; reports a violation if it does not within 30 s. */
    void awaitReady() {
        long until = System.nanoTime() + READY_TIMEOUT_SECONDS * 1_000_000_000L;
        while (System.nanoTime() < until && process.isAlive()) {
            if (isReady()) {
                state = State.READY;
                return;
            }
            Threads.pause(20);
        }
        if (process.isAlive()) {
            ledger.report(Violation.timed(
                    Kind.NOT_READY,
                    name + " is not ready after " + READY_TIMEOUT_SECONDS + " s; " + logs.get(logs.size() - 1)));
        }
    }

    private boolean isReady() {
        try (Socket socket = connect()) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            HttpReader.Message response = new HttpReader(socket.getInputStream()).read();
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Exits after SIGTERM with status 0 and by SIGKILL are expected; any other exit is a crash. */
    private void exited(java.lang.Process exitedProcess) {
        synchronized (this) {
            if (exitedProcess != process) {
                return;
            }
            state = State.DOWN;
            boolean expected = terminated && (exitedProcess.exitValue() == 0 || killed) || killed;
            if (!expected) {
                ledger.report(Violation.of(
                        Kind.CRASH,
                        name + " exited unexpectedly with status " + exitedProcess.exitValue() + "; "
                                + logs.get(logs.size() - 1)));
            }
            killedAt = terminated ? killedAt : System.nanoTime();
        }
    }

    void signal(String signal) throws IOException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .onExit()
                .join();
    }

    /** Terminates the gateway as a planned restart does, and waits for its exit. */
    void terminate() throws IOException {
        synchronized (this) {
            if (state != State.READY) {
                return;
            }
            stoppingSince = System.nanoTime();
            state = State.STOPPING;
            terminated = true;
        }
        signal("TERM");
        try {
            if (!process.waitFor(EXIT_TIMEOUT_MILLIS + ledger.slack() / 1_000_000, TimeUnit.MILLISECONDS)) {
                ledger.report(Violation.timed(
                        Kind.SLOW_END, name + " did not exit in time after SIGTERM; " + logs.get(logs.size() - 1)));
                killed = true;
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        state = State.DOWN;
    }

    void kill() {
        synchronized (this) {
            if (state == State.STOPPING || state == State.DOWN) {
                return;
            }
            killedAt = System.nanoTime();
            state = State.DOWN;
            killed = true;
        }
        process.destroyForcibly().onExit().join();
        killedAt = System.nanoTime();
    }

    /** Suspends the process, as an overloaded machine does. */
    void suspend(long millis) throws IOException {
        signal("STOP");
        Threads.pause(millis);
        signal("CONT");
    }

    /** Moves discovery to a new address; {@code partial} first writes a truncated file, as a slow writer does. */
    void reconfigure(boolean partial) throws IOException {
        synchronized (this) {
            if (state != State.READY) {
                return;
            }
            discoveryAddress = discovery.listen(name);
            if (partial) {
                writeConfiguration();
                String text = Files.readString(configuration());
                Files.writeString(configuration(), text.substring(0, text.length() / 3));
            } else {
                writeConfiguration();
            }
        }
        signal("HUP");
        if (partial) {
            Threads.pause(300);
            writeConfiguration();
        }
    }

    /** Reports invariant violations and errors found in the logs of the gateway's processes. */
    void collectReportedViolations() throws IOException {
        for (Path log : logs) {
            for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
                Matcher matcher = INVARIANT_VIOLATIONS.matcher(line);
                if (matcher.find() && Long.parseLong(matcher.group(1)) > 0
                        || DEFECT.matcher(line).find()) {
                    ledger.report(Violation.of(Kind.HEAD_REPORTS, name + ": " + line + "; " + log));
                }
            }
        }
    }
}
