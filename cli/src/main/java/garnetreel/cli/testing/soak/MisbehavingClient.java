package garnetreel.cli.testing.soak;

import garnetreel.cli.testing.soak.Violation.Kind;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** Sends malformed or incomplete requests; the gateway has to answer with an error or close within 3 s. */
final class MisbehavingClient implements Runnable {
    private static final String READY_REQUEST = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final long RESPONSE_LIMIT_MILLIS = 3_000;

    /** The kinds of misuse. */
    enum Misuse {
        NOISE,
        SILENCE,
        HALF_HEAD,
        HALF_BODY,
        HALF_AFTER_A_REQUEST,
        HUGE_LENGTH,
        NO_ID,
        BOTH_LENGTHS,
        FLOOD_AND_GO,
        BYTE_BY_BYTE
    }

    private final GatewayProcess gateway;
    private final RequestLedger ledger;
    private final Misuse misuse;
    private final SplittableRandom random;

    MisbehavingClient(GatewayProcess gateway, RequestLedger ledger, Misuse misuse, SplittableRandom random) {
        this.gateway = gateway;
        this.ledger = ledger;
        this.misuse = misuse;
        this.random = random;
    }

    @Override
    public void run() {
        long startedAt = System.nanoTime();
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout((int) (RESPONSE_LIMIT_MILLIS + ledger.slack() / 1_000_000));
            InputStream in = socket.getInputStream();
            if (misuse == Misuse.HALF_AFTER_A_REQUEST) {
                send(socket, READY_REQUEST);
                new HttpReader(in).read();
            }
            send(socket, request());
            if (misuse == Misuse.FLOOD_AND_GO) {
                Threads.pause(random.nextInt(50));
                return;
            }
            if (misuse == Misuse.BYTE_BY_BYTE) {
                sendSlowly(socket);
            }
            in.read();
        } catch (SocketTimeoutException e) {
            if (!gateway.killedSince(startedAt)) {
                ledger.report(Violation.timed(
                        Kind.BAD_CLIENT_IGNORED,
                        gateway.name + " neither answered a client nor closed its connection; it sent " + misuse));
            }
        } catch (IOException e) {
            // the gateway closed the connection, as it should
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void sendSlowly(Socket socket) throws IOException {
        for (int i = 0; i < 12; i++) {
            socket.getOutputStream().write('x');
            Threads.pause(250);
        }
    }

    private String request() {
        return switch (misuse) {
            case NOISE -> "\0\1\2\3 noise\r\n\r\n";
            case SILENCE -> "";
            case HALF_HEAD, HALF_AFTER_A_REQUEST, BYTE_BY_BYTE -> "PUT /write/a HTTP/1.1\r\nHost: a\r\nX-Corr";
            case HALF_BODY -> "PUT /write/a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf";
            case HUGE_LENGTH -> "PUT /write/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\nx";
            case NO_ID -> "PUT /write/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
            case BOTH_LENGTHS -> "PUT /write/a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                    + READY_REQUEST;
            case FLOOD_AND_GO -> READY_REQUEST.repeat(300);
        };
    }
}
