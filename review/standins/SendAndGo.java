import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients connect, send what can't be read and go at once. A usual client asks on beside them, and alone after
 * they have stopped. Checks that the head lives and that the usual client's requests get their final answers.
 */
final class SendAndGo {
    private static final int BAD_CLIENTS = 6;
    private static final int MAX_BAD_CONNECTIONS = 90_000;
    private static final double MAX_BAD_MILLIS = 80_000;
    private static final double TIME_LEFT = 2.0;
    /** An answer counts up to half a second after the request's time, and every limit is longer by 50 ms. */
    private static final int ANSWER_MILLIS = 2_550;

    private static final int REQUESTS_AFTERWARDS = 5;

    private final AtomicInteger badConnections = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private Lab.Connection usual;
    private int answered;
    private int lost;
    private int lostInARow;

    public static void main(String[] arguments) throws Exception {
        Lab.openRecord(Path.of(arguments[1]));
        System.exit(new SendAndGo().run(Path.of(arguments[0])));
    }

    private int run(Path root) throws Exception {
        Lab.Shelf shelf = new Lab.Shelf("s-0", 0, (connection, request) -> {
            Lab.sleep(10);
            String body = "made for " + request.field("X-Correlation-Id");
            connection.send(Lab.response(200, "", body.getBytes(StandardCharsets.US_ASCII)));
        });
        Lab.Discovery discovery = new Lab.Discovery(List.of(shelf));
        try (Lab.Head head = new Lab.Head(root, discovery, Lab.settings("once", 2.5, 3, 1), 192, 1024)) {
            if (!head.awaitReady()) {
                Lab.say("could not run: the head is not ready");
                return Lab.COULD_NOT_RUN;
            }
            double begin = Lab.now();
            if (Lab.trouble()) {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    String from = "127.0.0." + (10 + i);
                    Lab.daemon("bad-" + i, () -> badClient(head.port, from));
                }
            }
            double noted = 0;
            while (lostInARow < 3
                    && head.process.isAlive()
                    && Lab.now() - begin < (Lab.trouble() ? MAX_BAD_MILLIS : 30_000)
                    && badConnections.get() < MAX_BAD_CONNECTIONS) {
                ask(head);
                Lab.sleep(50);
                if (Lab.now() - noted > 2000) {
                    noted = Lab.now();
                    Lab.note("bad connections so far %d, resident %d MiB", badConnections.get(), head.residentMb());
                }
            }
            Lab.say(
                    "the bad clients stop after %d connections in %.1f s; the usual client: answered %d, lost %d",
                    badConnections.get(), (Lab.now() - begin) / 1000, answered, lost);
            stopped.set(true);
            Lab.sleep(5000);
            int answeredBefore = answered;
            for (int i = 0; i < REQUESTS_AFTERWARDS && head.process.isAlive(); i++) {
                ask(head);
                Lab.sleep(50);
            }
            boolean alive = head.process.isAlive();
            int answeredAfterwards = answered - answeredBefore;
            Lab.say(
                    "5 s later, with the usual client alone: %d of %d requests answered; the head's process %s",
                    answeredAfterwards,
                    REQUESTS_AFTERWARDS,
                    alive ? "exists" : "has ended with code " + head.process.exitValue());
            if (Lab.trouble() && badConnections.get() < 1000) {
                Lab.say("could not run: too few connections");
                return Lab.COULD_NOT_RUN;
            }
            return lost == 0 && alive && answeredAfterwards == REQUESTS_AFTERWARDS ? Lab.HELD : Lab.BROKEN;
        }
    }

    private void badClient(int port, String from) {
        byte[] unreadable = new byte[200];
        while (!stopped.get()) {
            ThreadLocalRandom.current().nextBytes(unreadable);
            unreadable[0] = 1; // no method begins with this
            try (Lab.Connection connection = new Lab.Connection(port, from)) {
                connection.send(unreadable);
                badConnections.incrementAndGet();
            } catch (IOException e) {
                Lab.sleep(20);
            }
        }
    }

    /** Sends one request on the usual client's connection and waits for its final answer. */
    private void ask(Lab.Head head) {
        String id = Lab.newId();
        try {
            if (usual == null) {
                usual = new Lab.Connection(head.port);
            }
        } catch (IOException e) {
            Lab.note("usual client: can't connect: %s", e);
            lostInARow++;
            return;
        }
        double sentAt = Lab.now();
        try {
            usual.send(Lab.request("GET", "/record-read", id, TIME_LEFT, 7, 0, new byte[0]));
            Lab.Message answer = usual.answer(ANSWER_MILLIS);
            if (answer != null) {
                Lab.note("usual client: %s answered %d after %.1f ms", id, answer.status(), Lab.now() - sentAt);
                answered++;
                lostInARow = 0;
                if (answer.field("Connection") == null) {
                    return;
                }
            } else {
                Lab.note("usual client: closed by the head, %s is sent again later", id);
            }
        } catch (IOException e) {
            Lab.note("BROKEN: usual client: %s has no final answer after %.1f ms: %s", id, Lab.now() - sentAt, e);
            lost++;
            lostInARow++;
        }
        usual.close();
        usual = null;
    }
}
