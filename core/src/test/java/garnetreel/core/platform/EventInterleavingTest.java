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
 * Interleaves each step of a request with each kind of interruption, in one turn and in both orders, with the real
 * scheduler and a simulated clock. There is one run for each step, interruption and order; it continues with the
 * remaining steps as far as the gateway allows.
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

    private enum Interruption {
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
        return Stream.of(Interruption.values())
                .flatMap(interruption -> Stream.of(Step.values()).flatMap(step -> Stream.of(true, false)
                        .map(interruptionFirst -> DynamicTest.dynamicTest(
                                interruption + (interruptionFirst ? " just before " : " just after ") + step,
                                () -> new Run(step, interruption, interruptionFirst).run()))));
    }

    private static final class Run {
        private final Step interleavedStep;
        private final Interruption interruption;
        private final boolean interruptionFirst;
        private final PlatformGatewayHarness harness;
        private final long watch;
        private long upstream;
        private int sendsBeforeInterruption;

        Run(Step interleavedStep, Interruption interruption, boolean interruptionFirst) throws JsonException {
            this.interleavedStep = interleavedStep;
            this.interruption = interruption;
            this.interruptionFirst = interruptionFirst;
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

        private NetEvent list(boolean complete, String health) {
            String text =
                    "{\"seq\":9,\"whole\":" + complete + ",\"hosts\":[" + endpointJson("s-1", 2001, health, 0) + "]}\n";
            return received(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        private static NetEvent received(long connection, String text) {
            return new NetEvent.Received(connection, ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** The events of a step; none if the gateway has already closed the connection. */
        private List<NetEvent> events(Step step) {
            long connection = step == Step.REQUEST_RECEIVED || step == Step.RESPONSE_READ ? CLIENT : upstream;
            if (connection == 0 || harness.closed.contains(connection) && step != Step.RESPONSE_READ) {
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
                    yield bytes == 0 ? List.of() : List.of(new NetEvent.Written(CLIENT, bytes));
                }
                case TIMEOUT -> List.of();
            };
        }

        private List<NetEvent> interruptionEvents() throws JsonException {
            return switch (interruption) {
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
                    for (long connection = 2; connection <= 600; connection++) {
                        accepted.add(new NetEvent.Accepted(connection, PlatformGateway.CLIENT_LISTENER, "peer"));
                    }
                    yield accepted;
                }
                case DISCOVERY_RESETS -> List.of(new NetEvent.Closed(watch, true, "reset"));
            };
        }

        void run() throws JsonException {
            for (Step step : Step.values()) {
                List<NetEvent> events = new ArrayList<>();
                if (step == interleavedStep && interruptionFirst) {
                    events.addAll(interruptionEvents());
                }
                events.addAll(events(step));
                if (step == interleavedStep && !interruptionFirst) {
                    events.addAll(interruptionEvents());
                }
                // In the interleaved turn an attempt may still start if its step precedes the interruption.
                int sendsBeforeTurn = sendCount();
                harness.deliver(events.toArray(NetEvent[]::new));
                if (step == Step.REQUEST_RECEIVED
                        && harness.lastOpenedConnection != watch
                        && harness.dialedAddresses
                                .get(harness.dialedAddresses.size() - 1)
                                .endsWith(":2001")) {
                    upstream = harness.lastOpenedConnection;
                }
                if (step == interleavedStep) {
                    sendsBeforeInterruption = interruptionFirst ? sendsBeforeTurn : sendCount();
                }
                if (step == Step.TIMEOUT) {
                    harness.advance(10_000_000);
                }
            }
            check();
        }

        /** How many times the request was sent to the upstream. */
        private int sendCount() {
            return harness.written.entrySet().stream()
                    .filter(e -> e.getKey() < 0)
                    .mapToInt(e -> e.getValue().toString().split("PUT /", -1).length - 1)
                    .sum();
        }

        private void check() {
            String responses = harness.writtenTo(CLIENT);
            int responseCount = responses.split("HTTP/1.1 ", -1).length - 1;
            boolean clientDisconnected =
                    interruption == Interruption.CLIENT_CLOSES || interruption == Interruption.CLIENT_RESETS;
            boolean evictedBeforeRequest = interruption == Interruption.EVICTION
                    && interleavedStep == Step.REQUEST_RECEIVED
                    && interruptionFirst;
            assertTrue(responseCount <= 1, "more than one response: " + responses);
            assertTrue(
                    responseCount == 1 || clientDisconnected || evictedBeforeRequest,
                    "no response to a connected client");
            assertTrue(sendCount() <= 1, "a request that must not be retried was sent again");
            if (clientDisconnected
                    || interruption == Interruption.UPSTREAM_DRAINS
                    || interruption == Interruption.UPSTREAM_REMOVED) {
                assertEquals(sendsBeforeInterruption, sendCount(), "an attempt started after it was no longer allowed");
            }
            assertEquals(
                    0,
                    harness.gateway.counters().violations(),
                    harness.gateway.counters().invariantsLine());
            PlatformGateway.OpenResources open = harness.gateway.openResources();
            assertEquals(0, open.requests(), open.toString());
            assertEquals(0, open.attempts(), open.toString());
            if (interruption == Interruption.SIGTERM) {
                assertTrue(harness.stopped && open.clients() == 0, open.toString());
            }
        }
    }
}
