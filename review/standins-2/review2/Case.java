package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases share: a temporary folder, free ports, processes of the project, the record, and the end of all of
 * it. A case that takes longer than its limit counts as one that couldn't run.
 */
public abstract class Case {
    private static final int LIMIT_SECONDS = 110;
    protected final Path root = Path.of(System.getProperty("review.root"));
    protected final Path folder = Path.of(System.getProperty("review.folder"));
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    protected Record record;
    protected Path temporary;
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    /** Returns whether the rule held. */
    protected abstract boolean run() throws Exception;

    /** Runs the case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    protected final void main() throws Exception {
        int code = 2;
        record = new Record(folder.resolve("record.txt"));
        temporary = Files.createTempDirectory("garnetreel-review");
        Thread end = new Thread(this::end);
        Runtime.getRuntime().addShutdownHook(end);
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_SECONDS * 1000L);
            } catch (InterruptedException e) {
                return;
            }
            record.line("couldn't run: not at its end after %d s", LIMIT_SECONDS);
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            record.line("trouble: %s", trouble ? "on" : "off");
            code = run() ? 0 : 1;
            record.line("the rule %s", code == 0 ? "held" : "was broken");
        } catch (Throwable e) {
            record.line("couldn't run: %s", e);
            e.printStackTrace();
        }
        System.out.println(getClass().getSimpleName() + (trouble ? "" : " without trouble") + ": "
                + (code == 0 ? "held" : code == 1 ? "broken" : "couldn't run"));
        System.exit(code);
    }

    private void end() {
        for (AutoCloseable closeable : closeables) {
            try {
                closeable.close();
            } catch (Exception e) {
                // Nothing is left to be closed.
            }
        }
        for (Process process : List.copyOf(processes)) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            System.err.println(e.getMessage());
        }
    }

    protected final <T extends AutoCloseable> T closing(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    /** A free port of the loopback address. */
    protected static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Starts a command of garnetreel's jar, in the JVM that runs this case. */
    protected final Process garnetreel(String name, String jar, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Dgarnetreel.home=" + root,
                "-Dorg.jboss.logging.provider=slf4j",
                "-jar",
                root.resolve("cli/target").resolve(jar).toString()));
        command.addAll(Arrays.asList(arguments));
        return start(name, new ProcessBuilder(command));
    }

    /** Starts a process; its output goes to the record. */
    protected final Process start(String name, ProcessBuilder builder) throws IOException {
        builder.directory(root.toFile()).redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        record.line("%s: started, %s", name, String.join(" ", builder.command())
                .replace(System.getProperty("java.home") + "/bin/", "")
                .replace(temporary + "/", "")
                .replace("-Dgarnetreel.home=" + root + " ", "")
                .replace(root + "/", ""));
        Thread reader = new Thread(() -> {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                String line;
                while ((line = lines.readLine()) != null) {
                    record.line("%s> %s", name, line);
                }
            } catch (IOException e) {
                record.line("%s: output ended, %s", name, e.getMessage());
            }
        });
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    /** Kills a process that this case started, and waits for its end. */
    protected final void kill(String name, Process process) throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
        processes.remove(process);
        record.line("%s: killed", name);
    }

    protected static void awaitListening(int port, Process process) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until) {
            if (!process.isAlive()) {
                throw new IllegalStateException("process ended with " + process.exitValue());
            }
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IllegalStateException("nothing listens on port " + port);
    }

    /** Bytes that tell their file and version: a pattern of the label and the position. */
    protected static byte[] contents(String label, int length) {
        byte[] bytes = new byte[length];
        byte[] name = (label + " ").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < length; i++) {
            bytes[i] = name[i % name.length];
        }
        return bytes;
    }

    protected static String start(byte[] bytes) {
        return bytes == null
                ? "nothing"
                : bytes.length + " bytes \""
                        + new String(bytes, 0, Math.min(24, bytes.length), StandardCharsets.ISO_8859_1)
                                .replaceAll("[^ -~]", ".")
                        + "\"";
    }
}
