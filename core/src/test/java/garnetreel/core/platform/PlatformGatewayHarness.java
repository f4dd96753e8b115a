package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.policy.Scheduler;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.settings.JsonException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Runs a {@link PlatformGateway} without sockets, on a simulated clock and simulated connections. The scheduler is
 * scripted or the real one.
 */
final class PlatformGatewayHarness {
    /** The correlation id of most test requests. */
    static final String REQUEST_ID = "9b1f03aa5c7e2d41";

    static final String METADATA = "volume=00000003b4d60021,units=2,shard=0,hosts=3";

    private static final String CONFIG =
            """
            {"name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
             "limits": {"cores": 0.5, "memory_mb": 128, "sockets": %d},
             "known": {"seq": 7, "whole": true, "hosts": [%s]},
             "settings": {"balancers": 1, "discovery": "subscribe", "tick": 0.002,
              "classes": [{"name": "read", "aim": 0.4, "hard-limit": 2.5, "effect": "repeatable"},
                          {"name": "write", "aim": 0.4, "hard-limit": 3, "effect": "once"}],
              "service-levels": [{"name": "gold", "usual-rate": 1000, "floor-rate": 500, "proportion": 1}],
              "rules": {"free-resends": 3, "further-ratio": 0.1, "extra-window": 5},
              "limits": {"dial-timeout": 0.25, "idle-close": 15, "retry-after": true, "max-retry-after": 2, "try-limit": 3},
              "specifics": {"unit-mean": 2, "most-units": 8, "tells-elsewhere": true, "class-writes": [false, true]}}}
            """;

    final PlatformGateway gateway;
    /** All events passed to the scheduler. */
    final List<SchedulerEvent> schedulerEvents = new ArrayList<>();

    final List<String> dialedAddresses = new ArrayList<>();
    final Map<Long, StringBuilder> written = new HashMap<>();
    final Set<Long> closed = new LinkedHashSet<>();
    /** Connections whose peers read nothing, so that the bytes written to them do not drain. */
    final Set<Long> stalledPeers = new LinkedHashSet<>();

    /** Connections that the gateway does not read. */
    final Set<Long> readPaused = new HashSet<>();

    boolean listening;
    boolean stopped;
    long now = 1_000_000_000L;
    long lastOpenedConnection;
    private final List<NetEvent> pendingEvents = new ArrayList<>();

    /** Uses a scheduler that responds to each event with the actions that the script returns for it. */
    PlatformGatewayHarness(Function<SchedulerEvent, List<SchedulerAction>> script) throws JsonException {
        this(512, scripted(script));
    }

    PlatformGatewayHarness(int sockets, Scheduler scheduler) throws JsonException {
        String config = String.format(CONFIG, sockets, endpointJson("s-1", 2001, "up", 0));
        gateway = new PlatformGateway(settings(config), (time, events) -> {
            schedulerEvents.addAll(events);
            return scheduler.decide(time, events);
        });
        runTurn();
    }

    // ---------------------------------------------------------------- schedulers

    static Scheduler scripted(Function<SchedulerEvent, List<SchedulerAction>> script) {
        return (now, events) ->
                events.stream().flatMap(e -> script.apply(e).stream()).toList();
    }

    /** A script that sends every request to the only upstream, {@code s-1}. */
    static List<SchedulerAction> sendToUpstream(SchedulerEvent event) {
        return event instanceof RequestReceived request ? List.of(new SendAttempt(request.id(), "s-1", 0)) : List.of();
    }

    // ---------------------------------------------------------------- initial states

    /** A gateway with a request of client 1 in flight to the only upstream, whose connection is established. */
    static PlatformGatewayHarness withAttemptInFlight(String extraFields) throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(PlatformGatewayHarness::sendToUpstream)
                .accept(1)
                .receive(1, request(REQUEST_ID, extraFields));
        return harness.deliver(new NetEvent.Connected(harness.lastOpenedConnection));
    }

    /** A gateway that has received a list with the only upstream on its watch. */
    static PlatformGatewayHarness watching() throws JsonException {
        PlatformGatewayHarness harness = new PlatformGatewayHarness(
                e -> e instanceof EndpointUpdate update && update.kind() == EndpointUpdateKind.CACHED
                        ? List.of(new SubscribeEndpoints(true))
                        : sendToUpstream(e));
        harness.deliver(new NetEvent.Connected(harness.lastOpenedConnection));
        return harness.receive(harness.lastOpenedConnection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .receive(
                        harness.lastOpenedConnection,
                        chunk("{\"seq\":9,\"whole\":true,\"hosts\":[" + endpointJson("s-1", 2001, "up", 0) + "]}"));
    }

    // ---------------------------------------------------------------- configuration and messages

    /** A configuration without known endpoints. */
    static String config(int sockets) {
        return String.format(CONFIG, sockets, "");
    }

    static PlatformSettings settings(String config) throws JsonException {
        return PlatformSettings.read(config.getBytes(StandardCharsets.UTF_8));
    }

    static String endpointJson(String name, int port, String health, long bornMillis) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port
                + "\",\"site\":\"a\",\"class\":\"c\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + bornMillis + "}";
    }

    static String request(String id, String extraFields) {
        return "PUT /write/a?b=c HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: " + id + "\r\nTier: gold\r\n"
                + "Piece: 7f3a9c21e0b4d655\r\nX-Time-Left: 0.480\r\nIO-Info: " + METADATA + "\r\n" + extraFields
                + "Content-Length: 4\r\n\r\ndata";
    }

    static String response(String body, String extraFields) {
        return "HTTP/1.1 200 OK\r\n" + extraFields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A line, with its line feed, as one chunk of a chunked body. */
    static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    // ---------------------------------------------------------------- events and time

    /** Runs one turn of the event loop with the pending events. */
    PlatformGatewayHarness runTurn() {
        List<NetEvent> events = List.copyOf(pendingEvents);
        pendingEvents.clear();
        List<NetAction> actions = new ArrayList<>();
        gateway.handle(now, events, actions);
        for (NetAction action : actions) {
            apply(action);
        }
        if (pendingEvents.stream().anyMatch(e -> e instanceof NetEvent.Written)) {
            runTurn();
        }
        return this;
    }

    private void apply(NetAction action) {
        if (action instanceof NetAction.Write write) {
            int size = write.data().remaining();
            written.computeIfAbsent(write.connectionId(), id -> new StringBuilder())
                    .append(StandardCharsets.ISO_8859_1.decode(write.data()));
            if (!stalledPeers.contains(write.connectionId())) {
                pendingEvents.add(new NetEvent.Written(write.connectionId(), size));
            }
        } else if (action instanceof NetAction.Connect connect) {
            dialedAddresses.add(connect.address());
            lastOpenedConnection = connect.connectionId();
        } else if (action instanceof NetAction.Close close) {
            closed.add(close.connectionId());
            if (close.abort()) {
                pendingEvents.removeIf(
                        e -> e instanceof NetEvent.Written written && written.connectionId() == close.connectionId());
            }
        } else if (action instanceof NetAction.SetReadInterest interest) {
            if (interest.enabled()) {
                readPaused.remove(interest.connectionId());
            } else {
                readPaused.add(interest.connectionId());
            }
        } else if (action instanceof NetAction.Listen || action instanceof NetAction.StopListening) {
            listening = action instanceof NetAction.Listen;
        } else if (action instanceof NetAction.Stopped) {
            stopped = true;
        }
    }

    PlatformGatewayHarness deliver(NetEvent... events) {
        pendingEvents.addAll(List.of(events));
        return runTurn();
    }

    PlatformGatewayHarness accept(long connection) {
        return deliver(new NetEvent.Accepted(connection, PlatformGateway.CLIENT_LISTENER, "peer"));
    }

    PlatformGatewayHarness receive(long connection, String text) {
        return deliver(new NetEvent.Received(connection, ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1))));
    }

    /** Advances the clock and runs a turn at each deadline of the gateway on the way, and one at the end. */
    PlatformGatewayHarness advance(long micros) {
        long end = now + micros;
        while (gateway.nextDeadline() <= end) {
            now = Math.max(now, gateway.nextDeadline());
            runTurn();
        }
        now = end;
        return runTurn();
    }

    /**
     * Advances the clock until discovery is called. The first call may be delayed at random, so that gateways that
     * start together do not all call at once.
     */
    PlatformGatewayHarness advanceUntilDiscoveryCall() {
        for (int i = 0; dialedAddresses.isEmpty() && i < 1_000; i++) {
            advance(10_000);
        }
        return this;
    }

    /** All bytes written to a connection, as text. */
    String writtenTo(long connection) {
        return written.getOrDefault(connection, new StringBuilder()).toString();
    }

    /** The events of a type that were passed to the scheduler. */
    <T extends SchedulerEvent> List<T> notified(Class<T> type) {
        return schedulerEvents.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** The outcome of the only completed attempt. */
    Outcome onlyOutcome() {
        List<AttemptCompleted> completed = notified(AttemptCompleted.class);
        assertEquals(1, completed.size(), "number of completed attempts");
        return completed.get(0).outcome();
    }
}
