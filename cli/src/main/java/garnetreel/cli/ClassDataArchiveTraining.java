package garnetreel.cli;

import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.cli.lifecycle.ProcessSignals;
import garnetreel.core.platform.PlatformGateway;
import garnetreel.net.EventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

/**
 * A short run of one gateway instance against a stub discovery service and a stub endpoint, all on loopback: an
 * endpoint list, valid and invalid requests, a reload of the configuration and a shutdown. The build runs it to record
 * the classes for the class-data archive (AppCDS) that deployed gateways start from; an unexpected response fails the
 * run.
 */
public final class ClassDataArchiveTraining {
    private static final int REQUESTS = 40;
    private static final int BACKLOG = 8;
    private static final int REQUEST_BODY_BYTES = 3;
    private static final String ENDPOINT_RESPONSE =
            "HTTP/1.1 200 OK\r\nX-Backend-Load: {\"latency_ms\":1.5}\r\nOther-Hosts: 1\r\n"
                    + "Content-Length: 4\r\n\r\nbody";

    private ClassDataArchiveTraining() {}

    /** Exits with 0 when every response was the expected one. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 1) {
            System.err.println("garnetreel: expects one argument, the file that the configuration is written to");
            System.exit(ExitCode.USAGE);
        }
        PlatformMain.configureFastStart();
        System.exit(run(Path.of(arguments[0])));
    }

    /**
     * Runs the training once.
     *
     * @param file where the gateway's configuration is written; deleted once it has been reloaded
     * @return the gateway's exit code
     * @throws IOException when a response is not the expected one
     */
    static int run(Path file) throws IOException {
        try (ServerSocket endpoint = listen();
                ServerSocket discovery = listen();
                ServiceProcess process = new ServiceProcess()) {
            serve(endpoint, ENDPOINT_RESPONSE);
            serve(discovery, watchResponse(endpoint.getLocalPort()));
            writeConfiguration(file, discovery.getLocalPort());
            EventLoop gateway = new PlatformMain(file).start(process);
            reload(file, gateway);
            Files.delete(file);
            String address = ServiceProcess.bound(gateway, PlatformGateway.CLIENT_LISTENER);
            sendRequests(Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
            gateway.submitCommand(new PlatformGateway.Shutdown());
            return ServiceProcess.awaitStopped(gateway);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    }

    /** The response to a discovery watch: one snapshot of the endpoint list, with one endpoint. */
    private static String watchResponse(int endpointPort) {
        String list = String.format(
                Locale.ROOT,
                "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"127.0.0.1:%d\","
                        + "\"site\":\"a\",\"class\":\"c\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}]}%n",
                endpointPort);
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length()) + "\r\n"
                + list + "\r\n";
    }

    private static void writeConfiguration(Path file, int discoveryPort) throws IOException {
        try (InputStream template = ClassDataArchiveTraining.class.getResourceAsStream("archive-training.json")) {
            String text = new String(template.readAllBytes(), StandardCharsets.UTF_8);
            Files.writeString(file, text.replace("%DISCOVERY%", "127.0.0.1:" + discoveryPort));
        }
    }

    /** Reloads the configuration once, and loads the classes that a reload by SIGHUP needs. */
    private static void reload(Path file, EventLoop gateway) {
        CompletableFuture<Void> reloaded = new CompletableFuture<>();
        try (ConfigurationReader reader = new ConfigurationReader(file, settings -> {
            gateway.submitCommand(new PlatformGateway.Reconfigure(settings));
            reloaded.complete(null);
        })) {
            ProcessSignals.handle("HUP", reader::read);
            reader.read();
            reloaded.join();
        }
    }

    private static void sendRequests(int port) throws IOException {
        expect(port, "GET /read HTTP/1.1\r\nHost: a\r\n\r\n", "400");
        for (int i = 0; i < REQUESTS; i++) {
            String metadata = String.format(
                    Locale.ROOT,
                    "X-Correlation-Id: %016x\r\nTier: standard\r\nPiece: 7f3a9c21e0b4d655\r\n"
                            + "X-Time-Left: 0.480\r\nIO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n",
                    i);
            expect(
                    port,
                    "PUT /write HTTP/1.1\r\nHost: a\r\n" + metadata + "Content-Length: " + REQUEST_BODY_BYTES
                            + "\r\n\r\nabc",
                    i == 0 ? "" : "200 503"); // the first one may arrive before the endpoint list; any status will do
        }
    }

    /** Sends a request on a new connection; its status has to be among {@code statuses}, unless that is empty. */
    private static void expect(int port, String request, String statuses) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String line = reader(socket).readLine();
            if (line == null || !statuses.isEmpty() && !statuses.contains(line.split(" ")[1])) {
                throw new IOException("unexpected response: expected status " + statuses + ", got " + line);
            }
        }
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Sends the same response to each request, on any number of connections, until the server socket is closed. */
    private static void serve(ServerSocket server, String response) {
        startDaemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    startDaemon(() -> respond(socket, response));
                } catch (IOException e) {
                    return; // the server socket was closed
                }
            }
        });
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void respond(Socket socket, String response) {
        try (socket;
                OutputStream out = socket.getOutputStream()) {
            BufferedReader in = reader(socket);
            boolean hasBody = false;
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                hasBody |= line.startsWith("Content-Length");
                if (line.isEmpty()) {
                    if (hasBody && in.skip(REQUEST_BODY_BYTES) != REQUEST_BODY_BYTES) {
                        return;
                    }
                    out.write(response.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
            }
        } catch (IOException e) {
            return; // the gateway closed the connection
        }
    }
}
