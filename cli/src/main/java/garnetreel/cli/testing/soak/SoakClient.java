package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.HttpReader.Message;
import garnetreel.cli.testing.soak.RequestLedger.Effect;
import garnetreel.cli.testing.soak.RequestLedger.Outcome;
import garnetreel.cli.testing.soak.RequestLedger.Request;
import garnetreel.cli.testing.soak.Violation.Kind;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A well-behaved client of one gateway: sends one request at a time on a persistent connection; disconnects before some
 * responses.
 */
final class SoakClient implements Runnable {
    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime() << 20);
    private static final double DISCONNECT_PROBABILITY = 0.1;
    private static final double BURST_DISCONNECT_PROBABILITY = 0.7;
    private static final double SLOW_WRITE_PROBABILITY = 0.03;
    private static final long LATE_RESPONSE_NANOS = 500_000_000;
    private static final List<Integer> REFUSALS = List.of(429, 503);
    /** 429 refuses a request; 409 means that its id is still in progress, as after its connection was closed. */
    private static final List<Integer> EXPECTED_CLIENT_ERRORS = List.of(409, 429);

    private final GatewayProcess gateway;
    private final RequestLedger ledger;
    private final SplittableRandom random;
    private final int shards;
    private final long meanThinkMillis;
    private final long until;
    private Socket socket;
    private HttpReader reader;
    private boolean newConnection;

    /** @param until when it stops sending requests, nanoseconds of the monotonic clock */
    SoakClient(
            GatewayProcess gateway,
            RequestLedger ledger,
            SplittableRandom random,
            int shards,
            long meanThinkMillis,
            long until) {
        this.gateway = gateway;
        this.ledger = ledger;
        this.random = random;
        this.shards = shards;
        this.meanThinkMillis = meanThinkMillis;
        this.until = until;
    }

    @Override
    public void run() {
        while (System.nanoTime() < until) {
            Threads.pause((long) (-Math.log(1 - random.nextDouble()) * meanThinkMillis));
            if (socket != null || gateway.acceptsConnections()) {
                sendRequest();
            }
        }
        closeConnection();
    }

    private void closeConnection() {
        if (socket != null) {
            Sockets.close(socket);
            socket = null;
        }
    }

    /** Opens a connection if there is none; returns whether there is one now. */
    private boolean ensureConnected() {
        newConnection = socket == null;
        if (!newConnection) {
            return true;
        }
        if (!gateway.acceptsConnections()) {
            return false;
        }
        try {
            socket = gateway.connect();
            reader = new HttpReader(new BufferedInputStream(socket.getInputStream()));
            return true;
        } catch (IOException e) {
            return false; // no listener: a client would use another gateway
        }
    }

    private void sendRequest() {
        if (!ensureConnected()) {
            return;
        }
        Effect effect =
                random.nextDouble() < 0.5 ? Effect.REPEATABLE : random.nextDouble() < 0.6 ? Effect.ONCE : Effect.BY_KEY;
        double timeLimitSeconds = random.nextDouble() < 0.03 ? 0.004 : 0.05 + random.nextDouble() * 2;
        byte[] body = new byte
                [effect == Effect.REPEATABLE ? 0 : random.nextDouble() < 0.02 ? 60_000 : 20 + random.nextInt(200)];
        String id = String.format(Locale.ROOT, "%016x", NEXT_ID.incrementAndGet());
        byte[] message = message(id, effect, timeLimitSeconds, body);
        for (int connection = 0; connection < 2; connection++) {
            long startedAt = System.nanoTime();
            try {
                boolean slowWrite = random.nextDouble() < SLOW_WRITE_PROBABILITY;
                if (slowWrite) {
                    socket.getOutputStream().write(message, 0, message.length / 2);
                    Threads.pause(random.nextInt(300));
                }
                long sentAt = System.nanoTime();
                Request request = new Request(
                        id,
                        effect,
                        gateway.name,
                        body,
                        sentAt,
                        sentAt + (long) (timeLimitSeconds * 1e9),
                        newConnection);
                ledger.recordRequest(request);
                OutputStream out = socket.getOutputStream();
                out.write(
                        message,
                        slowWrite ? message.length / 2 : 0,
                        message.length - (slowWrite ? message.length / 2 : 0));
                if (awaitResponse(request, startedAt)) {
                    return;
                }
            } catch (IOException e) {
                Request request = ledger.find(id);
                if (request == null) {
                    closeConnection(); // closed before the request was complete: no response is due
                    return;
                }
                if (!handleClosedConnection(request, startedAt)) {
                    return;
                }
            }
            // An idle connection was closed as the request was sent: retry once on a new one.
            if (!ensureConnected()) {
                Request request = ledger.find(id);
                if (request != null) {
                    ledger.recordOutcome(request, Outcome.EXCUSED, 0);
                }
                return;
            }
        }
    }

    private byte[] message(String id, Effect effect, double timeLimitSeconds, byte[] body) {
        String path = effect == Effect.REPEATABLE ? "GET /read" : effect == Effect.ONCE ? "PUT /write" : "PUT /keyed";
        String header = String.format(
                Locale.ROOT,
                "%s/a HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: %s\r\nTier: gold\r\n"
                        + "Piece: %016x\r\nX-Time-Left: %.3f\r\nIO-Info: volume=%016x,units=%d,shard=%d,hosts=1\r\n%s\r\n",
                path,
                id,
                random.nextLong() & Long.MAX_VALUE,
                timeLimitSeconds,
                1 + random.nextInt(5),
                1 + random.nextInt(3),
                random.nextInt(shards),
                effect == Effect.REPEATABLE ? "" : "Content-Length: " + body.length + "\r\n");
        byte[] headerBytes = header.getBytes(StandardCharsets.US_ASCII);
        byte[] message = java.util.Arrays.copyOf(headerBytes, headerBytes.length + body.length);
        System.arraycopy(body, 0, message, headerBytes.length, body.length);
        return message;
    }

    /** Waits for the response, or disconnects; false if the request may be sent again on a new connection. */
    private boolean awaitResponse(Request request, long startedAt) throws IOException {
        if (random.nextDouble()
                < (gateway.inDisconnectBurst() ? BURST_DISCONNECT_PROBABILITY : DISCONNECT_PROBABILITY)) {
            Threads.pause(random.nextInt(400));
            ledger.recordDisconnect(request, System.nanoTime());
            if (random.nextBoolean()) {
                Sockets.reset(socket);
                socket = null;
            } else {
                closeConnection();
            }
            return true;
        }
        long remaining = request.deadline + LATE_RESPONSE_NANOS + ledger.slack() - System.nanoTime();
        socket.setSoTimeout((int) Math.max(1, remaining / 1_000_000));
        Message response;
        try {
            response = reader.read();
        } catch (SocketTimeoutException e) {
            closeConnection();
            if (gateway.killedSince(startedAt)) {
                ledger.recordOutcome(request, Outcome.EXCUSED, 0);
            } else {
                ledger.report(Violation.timed(
                        Kind.UNANSWERED,
                        "request " + request.id + " (" + request.effect + ", " + gateway.name
                                + ") got no response within 0.5 s after its deadline"));
                ledger.recordOutcome(request, Outcome.FAILED, 0);
            }
            return true;
        }
        if (response == null) {
            return !handleClosedConnection(request, startedAt);
        }
        checkResponse(request, response);
        if ("close".equalsIgnoreCase(response.header("Connection"))) {
            closeConnection();
        }
        return true;
    }

    /** Handles a close without a complete response; returns whether the request may be sent again. */
    private boolean handleClosedConnection(Request request, long startedAt) {
        closeConnection();
        boolean forwarded = !request.attempts.isEmpty();
        if (gateway.killedSince(startedAt) || newConnection && !forwarded && gateway.socketsExhaustedSince(startedAt)) {
            ledger.recordOutcome(request, Outcome.EXCUSED, 0);
            return false;
        }
        if (!newConnection && !forwarded) {
            return true;
        }
        ledger.report(Violation.of(
                Kind.UNANSWERED,
                "request " + request.id + " (" + request.effect + ", " + gateway.name + ") was closed with no "
                        + "response on a " + (newConnection ? "new" : "reused") + " connection"
                        + (forwarded ? " after an attempt was sent" : "")));
        ledger.recordOutcome(request, Outcome.FAILED, 0);
        return false;
    }

    private void checkResponse(Request request, Message response) {
        if (response.status() == 200) {
            if (!ledger.hasProduced(request, new String(response.body(), StandardCharsets.ISO_8859_1))) {
                ledger.report(Violation.of(
                        Kind.WRONG_ANSWER,
                        "request " + request.id + " (" + gateway.name + ") got a response that no server sent for it"));
            }
            ledger.recordOutcome(request, Outcome.SERVED, 200);
        } else {
            if (response.status() < 500 && !EXPECTED_CLIENT_ERRORS.contains(response.status())) {
                ledger.report(Violation.of(
                        Kind.REJECTED,
                        "request " + request.id + " (" + gateway.name + ") was well formed and was rejected with "
                                + response.startLine()));
            }
            ledger.recordOutcome(
                    request,
                    REFUSALS.contains(response.status()) ? Outcome.REFUSED : Outcome.FAILED,
                    response.status());
        }
    }
}
