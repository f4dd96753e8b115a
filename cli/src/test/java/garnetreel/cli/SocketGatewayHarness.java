package garnetreel.cli;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.core.platform.PlatformGateway;
import garnetreel.core.platform.PlatformSettings;
import garnetreel.net.EventLoop;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.policy.Scheduler;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.testbed.peer.ScriptedPeer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * The platform's gateway on real sockets, with a clock that tests set and the real scheduler, whose events and actions
 * are recorded. A test waits for one of them before its peers take their next step.
 */
final class SocketGatewayHarness implements AutoCloseable {
    private static final int WAIT_SECONDS = 30;
    private static final String CONFIG =
            """
            {"name": "n0", "listen": "127.0.0.1:0", "discovery": "%s", "seed": "8c1f30d27a5be964",
             "limits": {"cores": 1, "memory_mb": 128, "sockets": 512},
             "known": {"seq": 1, "whole": true, "hosts": [%s]},
             "settings": {"balancers": 1, "discovery": "subscribe", "tick": 0.002,
              "classes": [{"name": "read", "aim": 20, "hard-limit": 60, "effect": "repeatable"},
                          {"name": "write", "aim": 20, "hard-limit": 60, "effect": "once"}],
              "service-levels": [{"name": "gold", "usual-rate": 1000, "floor-rate": 500, "proportion": 1}],
              "rules": {"ask-every": 10},
              "limits": {"dial-timeout": 20, "idle-close": 60, "retry-after": true, "max-retry-after": 2, "try-limit": 3},
              "specifics": {"unit-mean": 2, "most-units": 8, "class-writes": [false, true]}}}
            """;

    /** Makes the event loop run a turn; has no other effect. */
    private record RunTurn() implements NetEvent.Command {}

    /** Released at the end of the turn that handles it. */
    private record Barrier(CountDownLatch released) implements NetEvent.Command {}

    /** Wraps a state machine and releases barriers after each turn. */
    private record BarrierMachine(StateMachine machine) implements StateMachine {
        @Override
        public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
            machine.handle(now, events, actions);
            for (NetEvent event : events) {
                if (event instanceof NetEvent.CommandReceived received
                        && received.command() instanceof Barrier barrier) {
                    barrier.released().countDown();
                }
            }
        }

        @Override
        public long nextDeadline() {
            return machine.nextDeadline();
        }
    }

    final EventLoop eventLoop;
    final String address;
    final AtomicLong clock = new AtomicLong(1_000_000_000L);
    private final BlockingQueue<Object> recorded = new LinkedBlockingQueue<>();
    private volatile Predicate<SchedulerEvent> halt = event -> false;
    private final CountDownLatch halted = new CountDownLatch(1);
    private final CountDownLatch resume = new CountDownLatch(1);

    SocketGatewayHarness(ScriptedPeer discovery, ScriptedPeer endpoint) throws Exception {
        this(config(discovery.address(), endpoint.address()));
    }

    /** A gateway with this number of file descriptors, which limits its client connections. */
    static SocketGatewayHarness withDescriptors(int descriptors, ScriptedPeer discovery, ScriptedPeer endpoint)
            throws Exception {
        String text = text(discovery.address(), endpoint.address())
                .replace("\"sockets\": 512", "\"sockets\": " + descriptors);
        return new SocketGatewayHarness(PlatformSettings.read(text.getBytes(StandardCharsets.UTF_8)));
    }

    private SocketGatewayHarness(PlatformSettings settings) throws Exception {
        FairQueueScheduler scheduler = new FairQueueScheduler(settings.scheduling(), settings.seed());
        Scheduler recordingScheduler = (now, events) -> {
            recorded.addAll(events);
            if (events.stream().anyMatch(halt)) {
                halted.countDown();
                await(resume);
            }
            List<SchedulerAction> actions = scheduler.decide(now, events);
            recorded.addAll(actions);
            return actions;
        };
        eventLoop = new EventLoop(
                        "head",
                        new BarrierMachine(new PlatformGateway(settings, recordingScheduler)),
                        clock::get,
                        (name, data) -> {})
                .start();
        address = eventLoop.boundAddress(PlatformGateway.CLIENT_LISTENER).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    static PlatformSettings config(String discovery, String endpoint) throws Exception {
        return PlatformSettings.read(text(discovery, endpoint).getBytes(StandardCharsets.UTF_8));
    }

    /** The text of a configuration file. */
    static String text(String discovery, String endpoint) {
        return String.format(CONFIG, discovery, entry(endpoint, "up"));
    }

    static String entry(String endpoint, String health) {
        return "{\"host\":\"s-1\",\"dial\":\"" + endpoint
                + "\",\"site\":\"a\",\"class\":\"c\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    static String list(int version, boolean whole, String entries) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + entries + "]}";
    }

    /** The header of the response to a watch, and its first object. */
    static String watch(String first) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first);
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n";
    }

    static String request(int number, double seconds) {
        return String.format(
                Locale.ROOT,
                "PUT /write/a HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %016x\r\nTier: gold\r\n"
                        + "Piece: 7f3a9c21e0b4d655\r\nX-Time-Left: %.3f\r\n"
                        + "IO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\nContent-Length: 4\r\n\r\ndata",
                number,
                seconds);
    }

    static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Waits for an event or an action of a type. */
    <T> T await(Class<T> type) throws InterruptedException {
        for (Object next = recorded.poll(WAIT_SECONDS, TimeUnit.SECONDS);
                next != null;
                next = recorded.poll(WAIT_SECONDS, TimeUnit.SECONDS)) {
            if (type.isInstance(next)) {
                return type.cast(next);
            }
        }
        throw new AssertionError("no " + type.getSimpleName() + " occurred");
    }

    /** Waits for an event or an action that matches. */
    Object await(Predicate<Object> condition) throws InterruptedException {
        for (Object next = recorded.poll(WAIT_SECONDS, TimeUnit.SECONDS);
                next != null;
                next = recorded.poll(WAIT_SECONDS, TimeUnit.SECONDS)) {
            if (condition.test(next)) {
                return next;
            }
        }
        throw new AssertionError("no matching event or action occurred");
    }

    /** Removes all recorded events and actions that were not waited for yet; fails if none is of this type. */
    void drainRecorded(Class<?> type) {
        List<Object> all = new ArrayList<>();
        recorded.drainTo(all);
        if (all.stream().noneMatch(type::isInstance)) {
            throw new AssertionError("no " + type.getSimpleName() + " among " + all);
        }
    }

    /** Advances the clock and makes the gateway run a turn. */
    void advance(long micros) {
        clock.addAndGet(micros);
        eventLoop.submitCommand(new RunTurn());
    }

    /** Advances the clock past the delay that spreads the first list calls of gateways that start at the same time. */
    SocketGatewayHarness afterStartDelay() {
        advance(3_000_000);
        return this;
    }

    /** Blocks the gateway's only thread in the turn with a matching event, until {@link #resume}. */
    void haltAt(Predicate<SchedulerEvent> event) {
        halt = event;
    }

    void awaitHalt() throws InterruptedException {
        await(halted);
    }

    void resume() {
        resume.countDown();
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(WAIT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("latch was not released in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the gateway has handled everything submitted before. */
    void awaitTurn() {
        Barrier barrier = new Barrier(new CountDownLatch(1));
        eventLoop.submitCommand(barrier);
        await(barrier.released());
    }

    /**
     * Waits until the gateway's listener is closed. The clock advances only after the gateway has handled the shutdown.
     */
    void awaitListenerClosed() throws InterruptedException {
        awaitTurn();
        for (long tries = 0; tries < 1_000_000; tries++) {
            try {
                ScriptedPeer.connect(address).close();
                advance(tries < 60 ? 10_000 : 0);
            } catch (IOException refused) {
                return;
            }
        }
        throw new AssertionError("the gateway still listens");
    }

    @Override
    public void close() {
        resume.countDown();
        eventLoop.close();
    }
}
