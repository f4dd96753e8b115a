package garnetreel.cli.map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import java.io.IOException;
import java.util.Arrays;
import java.util.stream.Collectors;

/** Connection to the map service, for the operators' commands. */
final class MapClient implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int READ_BYTES = 1 << 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Subscriber number of these commands: gateway instances count from 0, and the map service itself uses -1. */
    private static final int OPERATOR_SUBSCRIBER = -2;

    private final BlockingConnection<MapMessage> connection;
    private final String operator;

    /** @param operator name of the operator, for the history */
    MapClient(String address, String operator) throws IOException {
        this.operator = operator;
        connection = new BlockingConnection<>("the map service", address, TIMEOUT_MILLIS, READ_BYTES, MapCodec::next);
    }

    /**
     * Sends a command and waits for its result.
     *
     * @throws RequestRejectedException when the service rejects it
     */
    JsonNode execute(Object... words) throws IOException {
        String command = Arrays.stream(words).map(Object::toString).collect(Collectors.joining(" "));
        connection.send(MapCodec.frame(new MapMessage.Command(operator, command)));
        while (true) {
            if (connection.receive() instanceof MapMessage.Result result) {
                JsonNode json = MAPPER.readTree(result.json());
                if (!result.ok()) {
                    throw new RequestRejectedException(json.path("message").asText(result.json()));
                }
                return json;
            }
        }
    }

    /**
     * Requests the changes after a version of an epoch.
     *
     * @param version 0 for the whole maps
     * @return the changes, or the whole maps where the history does not go back to that version
     */
    MapMessage changesSince(long epoch, long version) throws IOException {
        connection.send(MapCodec.frame(new MapMessage.Subscribe(OPERATOR_SUBSCRIBER, epoch, version)));
        while (true) {
            MapMessage message = connection.receive();
            if (message instanceof MapMessage.Busy) {
                throw new RequestRejectedException(
                        "the map service has too many subscription requests at once; try again in a second");
            }
            if (!(message instanceof MapMessage.Result)) {
                return message;
            }
        }
    }

    @Override
    public void close() throws IOException {
        connection.close();
    }
}
