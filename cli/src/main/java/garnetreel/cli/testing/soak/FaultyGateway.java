package garnetreel.cli.testing.soak;

import garnetreel.cli.PlatformMain;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.core.platform.PlatformGateway;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A gateway with one deliberate fault, to verify that the soak detects it. */
public final class FaultyGateway {
    static final String VARIABLE = "GARNETREEL_PLANTED";

    /** The deliberate faults. */
    enum Fault {
        /** Treats every server as up. */
        DRAIN_IGNORED,
        /** Handles the disconnect of a client 1.5 s late. */
        CLIENT_LEAVING_IGNORED,
        /** After SIGTERM, closes client connections at once in place of writing responses. */
        ANSWER_DROPPED_AT_EXIT
    }

    private FaultyGateway() {}

    /** Starts the gateway as {@link PlatformMain} does. */
    public static void main(String[] arguments) {
        Fault fault = Fault.valueOf(System.getenv(VARIABLE));
        System.exit(PlatformMain.run(machine -> new FaultInjector(machine, fault)));
    }

    /** Injects the fault between a gateway and its sockets. Client connections are those with a positive id. */
    private static final class FaultInjector implements StateMachine {
        private static final long CLOSE_DELAY_MICROS = 1_500_000;

        private record DelayedEvent(NetEvent event, long until) {}

        private final StateMachine gateway;
        private final Fault fault;
        private final List<DelayedEvent> delayed = new ArrayList<>();
        private boolean shuttingDown;

        FaultInjector(StateMachine gateway, Fault fault) {
            this.gateway = gateway;
            this.fault = fault;
        }

        @Override
        public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
            List<NetEvent> delivered = new ArrayList<>();
            delayed.removeIf(next -> next.until() <= now && delivered.add(next.event()));
            for (NetEvent event : events) {
                if (fault == Fault.CLIENT_LEAVING_IGNORED
                        && event instanceof NetEvent.Closed closed
                        && closed.connectionId() > 0) {
                    delayed.add(new DelayedEvent(event, now + CLOSE_DELAY_MICROS));
                } else {
                    delivered.add(fault == Fault.DRAIN_IGNORED ? withAllServersUp(event) : event);
                }
                shuttingDown |= event instanceof NetEvent.CommandReceived received
                        && received.command() instanceof PlatformGateway.Shutdown;
            }
            List<NetAction> requested = new ArrayList<>();
            gateway.handle(now, delivered, requested);
            requested.forEach(action -> actions.add(
                    fault == Fault.ANSWER_DROPPED_AT_EXIT
                                    && shuttingDown
                                    && action instanceof NetAction.Write write
                                    && write.connectionId() > 0
                            ? new NetAction.Close(write.connectionId(), true)
                            : action));
        }

        /** Replaces the health of every server by "up"; padded, so that the message length stays the same. */
        private static NetEvent withAllServersUp(NetEvent event) {
            if (!(event instanceof NetEvent.Received received) || received.connectionId() > 0) {
                return event;
            }
            String text = StandardCharsets.ISO_8859_1
                    .decode(received.data())
                    .toString()
                    .replace("\"health\":\"draining\"", "\"health\":\"up\"      ")
                    .replace("\"health\":\"removed\"", "\"health\":\"up\"     ");
            return new NetEvent.Received(
                    received.connectionId(), ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        @Override
        public long nextDeadline() {
            return Math.min(
                    gateway.nextDeadline(),
                    delayed.stream().mapToLong(DelayedEvent::until).min().orElse(Long.MAX_VALUE));
        }
    }
}
