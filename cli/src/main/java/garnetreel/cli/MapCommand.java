package garnetreel.cli;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.net.Addresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What operators ask of the map service. */
@Command(name = "map", mixinStandardHelpOptions = true, description = {"Asks the map service; answers are JSON.",
    "status | show VOLUME [FROM] | history [ROWS] | moves", "move VOLUME EXTENT SHARD | abort MOVE",
    "drain SHARD | undrain SHARD | new-epoch"})
final class MapCommand implements Callable<Integer> {
    private static final int TIMEOUT_MS = 10_000;

    @Spec
    CommandSpec spec;

    @Option(names = "--service", paramLabel = "HOST:PORT", required = true, description = "Where the service is.")
    String service;

    @Option(names = "--who", paramLabel = "NAME", defaultValue = "operator",
            description = "Who asks, for the record. Default: ${DEFAULT-VALUE}.")
    String who;

    @Parameters(arity = "1..*", paramLabel = "WORD", description = "The order.")
    List<String> words;

    @Override
    public Integer call() throws IOException {
        InetSocketAddress address = Addresses.parse(service);
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            ByteBuffer frame = MapCodec.frame(new MapMessage.Command(who, String.join(" ", words)));
            socket.getOutputStream().write(frame.array(), 0, frame.limit());
            InputStream in = socket.getInputStream();
            ByteQueue queue = new ByteQueue();
            byte[] buffer = new byte[1 << 16];
            while (true) {
                int got = in.read(buffer);
                if (got < 0) {
                    throw new IOException("the map service closed the connection");
                }
                queue.add(ByteBuffer.wrap(buffer.clone(), 0, got));
                if (MapCodec.next(queue) instanceof MapMessage.Result result) {
                    (result.ok() ? spec.commandLine().getOut() : spec.commandLine().getErr()).println(result.json());
                    return result.ok() ? Main.FINE : Main.FAILED;
                }
            }
        } catch (ProtocolException e) {
            throw new IOException("the map service at " + service + ": " + e.getMessage(), e);
        }
    }
}
