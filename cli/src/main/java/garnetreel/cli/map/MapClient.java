package garnetreel.cli.map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.net.Addresses;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A connection of an operator's command to the map service. */
final class MapClient implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Numbers below 0 are no heads. */
    private static final int OPERATOR = -2;

    /** The service said no, and why. */
    static final class Refused extends IOException {
        private static final long serialVersionUID = 1;

        Refused(String why) {
            super(why);
        }
    }

    private final Socket socket = new Socket();
    private final ByteQueue in = new ByteQueue();
    private final byte[] buffer = new byte[1 << 16];
    private final String address;
    private final String who;

    MapClient(String address, String who) throws IOException {
        this.address = address;
        this.who = who;
        socket.connect(Addresses.parse(address), TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
    }

    /** Asks in words; the answer as JSON. */
    JsonNode ask(Object... words) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Object word : words) {
            text.append(text.isEmpty() ? "" : " ").append(word);
        }
        say(new MapMessage.Command(who, text.toString()));
        while (true) {
            if (read() instanceof MapMessage.Result result) {
                JsonNode json = JSON.readTree(result.json());
                if (!result.ok()) {
                    throw new Refused(json.path("message").asText(result.json()));
                }
                return json;
            }
        }
    }

    /** What changed after a version of an epoch, or everything where that is too long ago; version 0 asks for all. */
    MapMessage since(long epoch, long version) throws IOException {
        say(new MapMessage.Subscribe(OPERATOR, epoch, version));
        while (true) {
            MapMessage message = read();
            if (message instanceof MapMessage.Busy) {
                throw new Refused("the map service is asked by too many at once; try again in a second");
            }
            if (!(message instanceof MapMessage.Result)) {
                return message;
            }
        }
    }

    private void say(MapMessage message) throws IOException {
        ByteBuffer frame = MapCodec.frame(message);
        socket.getOutputStream().write(frame.array(), 0, frame.limit());
    }

    private MapMessage read() throws IOException {
        try {
            MapMessage message;
            while ((message = MapCodec.next(in)) == null) {
                int got = socket.getInputStream().read(buffer);
                if (got < 0) {
                    throw new IOException("the map service at " + address + " closed the connection");
                }
                in.add(ByteBuffer.wrap(buffer.clone(), 0, got));
            }
            return message;
        } catch (ProtocolException e) {
            throw new IOException("the map service at " + address + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
