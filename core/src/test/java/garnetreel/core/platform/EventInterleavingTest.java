package garnetreel.core.platform;

import static garnetreel.core.platform.PlatformGatewayHarness.REQUEST_ID;
import static garnetreel.core.platform.PlatformGatewayHarness.config;
import static garnetreel.core.platform.PlatformGatewayHarness.endpointJson;
import static garnetreel.core.platform.PlatformGatewayHarness.request;
import static garnetreel.core.platform.PlatformGatewayHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.io.NetEvent;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.settings.JsonException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Each step of a request's life interleaved with each event that ends something, in one turn and in both orders, with the real
 * scheduler on a clock set by hand. One run for each pair; the remaining steps follow as far as the gateway allows.
 */
class EventInterleavingTest {
    private static final long CLIENT = 1;
    private static final String RESPONSE_START = "HTTP/1.1 200 OK\r\nContent-Le";
    private static final String RESPONSE_REST = "ngth: 6\r\n\r\nresult";

    private enum Step {
        REQUEST_RECEIVED,
        CONNECTION_ESTABLISHED,
        FIRST_RESPONSE_BYTES,
        LAST_RESPONSE_BYTES,
        RESPONSE_READ,
        TIMEOUT
    }

    private enum Ending {
        CLIENT_CLOSES,
        CLIENT_RESETS,
        UPSTREAM_DRAINS,
        UPSTREAM_REMOVED,
        UPSTREAM_RESETS,
        SIGTERM,
        SIGHUP,
        EVICTION,
        DISCOVERY_RESETS
    }

    @TestFactory
    Stream<DynamicTest> interleavings() {
        return Stream.of(Ending.values())
                .flatMap(ending -> Stream.of(Step.values()).flatMap(step -> Stream.of(true, false)
                        .map(first -> DynamicTest.dynamicTest(
                                ending + (first ? " just before " : " just after ") + step,
                                () -> new Run(step, ending, first).run()))));
    }

    private static final class Run {
        private final Step interleavedStep;
        private final Ending ending;
        private final boolean endingFirst;
        private final PlatformGatewayHarness harness;
        private final long watch;
        private long upstream;
        private int sentBeforeEnding;

        Run(Step interleavedStep, Ending ending, boolean endingFirst) throws JsonException {
            this.interleavedStep = interleavedStep;
            this.ending = ending;
            this.endingFirst = endingFirst;
            PlatformSettings settings = settings(config(512));
            harness = new PlatformGatewayHarness(512, new FairQueueScheduler(settings.scheduling(), 1));
            harness.advanceUntilDiscoveryCall();
            watch = harness.lastOpenedConnection;
            harness.deliver(new NetEvent.Connected(watch))
                    .receive(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            harness.deliver(list(true, "up"));
            harness.accept(CLIENT);
            harness.stalledPeers.add(CLIENT);
        }

        private NetEvent list(boolean whole, String health) {
            String text =
                    "{\"seq\":9,\"whole\":" + whole + ",\"hosts\":[" + endpointJson("s-1", 2001, health, 0) + "]}\n";
            return received(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        private static NetEvent received(long conn, String text) {
            return new NetEvent.Received(conn, ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** The events of a step; none where the gateway has closed the connection by then. */
        private List<NetEvent> events(Step step) {
            long conn = step == Step.REQUEST_RECEIVED || step == Step.RESPONSE_READ ? CLIENT : upstream;
            if (conn == 0 || harness.closed.contains(conn) && step != Step.RESPONSE_READ) {
                return List.of();
            }
            return switch (step) {
                case REQUEST_RECEIVED -> List.of(received(CLIENT, request(REQUEST_ID, "")));
                case CONNECTION_ESTABLISHED -> List.of(new NetEvent.Connected(upstream));
                case FIRST_RESPONSE_BYTES -> harness.writtenTo(upstream).isEmpty()
                        ? List.of()
                        : List.of(received(upstream, RESPONSE_START));
                case LAST_RESPONSE_BYTES -> harness.writtenTo(upstream).isEmpty()
                        ? List.of()
                        : List.of(received(upstream, RESPONSE_REST));
                case RESPONSE_READ -> {
                    harness.stalledPeers.remove(CLIENT);
                    int bytes = harness.writtenTo(CLIENT).length();
                    yield bytes == 0 ? List.of() : List.of(new NetEvent.Drained(CLIENT, bytes));
                }
                case TIMEOUT -> List.of();
            };
        }

        private List<NetEvent> endingEvents() throws JsonException {
            return switch (ending) {
                case CLIENT_CLOSES -> List.of(new NetEvent.Closed(CLIENT, true, true, "closed"));
                case CLIENT_RESETS -> List.of(new NetEvent.Closed(CLIENT, true, "reset"));
                case UPSTREAM_DRAINS -> List.of(list(false, "draining"));
                case UPSTREAM_REMOVED -> List.of(list(false, "removed"));
                case UPSTREAM_RESETS -> upstream == 0 || harness.closed.contains(upstream)
                        ? List.of()
                        : List.of(new NetEvent.Closed(
                                upstream, !harness.writtenTo(upstream).isEmpty(), "reset"));
                case SIGTERM -> List.of(new NetEvent.CommandReceived(new PlatformGateway.Shutdown()));
                case SIGHUP -> List.of(
                        new NetEvent.CommandReceived(new PlatformGateway.Reconfigure(PlatformSettings.read(config(512)
                                .replace("127.0.0.1:8500", "127.0.0.1:8501")
                                .getBytes(StandardCharsets.UTF_8)))));
                case EVICTION -> {
                    List<NetEvent> accepted = new ArrayList<>();
                    for (long conn = 2; conn <= 600; conn++) {
                        accepted.add(new NetEvent.Accepted(conn, PlatformGateway.CLIENT_LISTENER, "peer"));
                    }
                    yield accepted;
                }
                case DISCOVERY_RESETS -> List.of(new NetEvent.Closed(watch, true, "reset"));
            };
        }

        void run() throws JsonException {
            for (Step step : Step.values()) {
                List<NetEvent> events = new ArrayList<>();
                if (step == interleavedStep && endingFirst) {
                    events.addAll(endingEvents());
                }
                events.addAll(events(step));
                if (step == interleavedStep && !endingFirst) {
                    events.addAll(endingEvents());
                }
                // In the turn of the interleaving an attempt may start if its step is first.
                int sentBeforeTurn = sent();
                harness.deliver(events.toArray(NetEvent[]::new));
                if (step == Step.REQUEST_RECEIVED
                        && harness.lastOpenedConnection != watch
                        && harness.dialedAddresses
                                .get(harness.dialedAddresses.size() - 1)
                                .endsWith(":2001")) {
                    upstream = harness.lastOpenedConnection;
                }
                if (step == interleavedStep) {
                    sentBeforeEnding = endingFirst ? sentBeforeTurn : sent();
                }
                if (step == Step.TIMEOUT) {
                    harness.advance(10_000_000);
                }
            }
            check();
        }

        /** How often the request was sent to the upstream. */
        private int sent() {
            return harness.written.entrySet().stream()
                    .filter(e -> e.getKey() < 0)
                    .mapToInt(e -> e.getValue().toString().split("PUT /", -1).length - 1)
                    .sum();
        }

        private void check() {
            String responses = harness.writtenTo(CLIENT);
            int responseCount = responses.split("HTTP/1.1 ", -1).length - 1;
            boolean clientGone = ending == Ending.CLIENT_CLOSES || ending == Ending.CLIENT_RESETS;
            boolean evictedBeforeRequest =
                    ending == Ending.EVICTION && interleavedStep == Step.REQUEST_RECEIVED && endingFirst;
            assertTrue(responseCount <= 1, "more than one response: " + responses);
            assertTrue(responseCount == 1 || clientGone || evictedBeforeRequest, "no response for a client that stays");
            assertTrue(sent() <= 1, "an unsafe request was sent again");
            if (clientGone || ending == Ending.UPSTREAM_DRAINS || ending == Ending.UPSTREAM_REMOVED) {
                assertEquals(sentBeforeEnding, sent(), "an attempt started after what allowed it had ended");
            }
            assertEquals(
                    0,
                    harness.gateway.counters().violations(),
                    harness.gateway.counters().invariants());
            PlatformGateway.OpenResources open = harness.gateway.openResources();
            assertEquals(0, open.requests(), open.toString());
            assertEquals(0, open.attempts(), open.toString());
            if (ending == Ending.SIGTERM) {
                assertTrue(harness.stopped && open.clients() == 0, open.toString());
            }
        }
    }
}
