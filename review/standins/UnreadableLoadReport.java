import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few good answers of two shelfs carry a load report that can't be read. Checks that each request gets its final
 * answer and that the head goes on.
 */
final class UnreadableLoadReport {
    private static final int CLIENTS = 8;
    private static final int LOAD_MILLIS = 20_000;
    /** The first good answers all carry reports that can be read. */
    private static final int READABLE_AT_FIRST = 500;

    private static final double UNREADABLE_SHARE = 0.02;
    private static final double TIME_LEFT = 1.5;
    /** An answer counts up to half a second after the request's time, and every limit is longer by 50 ms. */
    private static final int ANSWER_MILLIS = 2_050;

    private final AtomicInteger run = new AtomicInteger();
    private final AtomicInteger unreadable = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notConnected = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.openRecord(Path.of(arguments[1]));
        System.exit(new UnreadableLoadReport().run(Path.of(arguments[0])));
    }

    private int run(Path root) throws Exception {
        List<Lab.Shelf> shelfs = List.of(new Lab.Shelf("s-0", 0, work("s-0")), new Lab.Shelf("s-1", 1, work("s-1")));
        Lab.Discovery discovery = new Lab.Discovery(shelfs);
        String settings = Lab.settings("by_key", 2, 3, 2)
                .replace("\"group\":\"all\"", "\"group\":\"cell\"")
                .replace("\"fields\":[\"recent_ms\"],\"how\":\"probe\"", "\"fields\":[\"backlog\",\"recent_ms\"],\"how\":\"answers\"");
        try (Lab.Head head = new Lab.Head(root, discovery, settings, 192, 512)) {
            if (!head.awaitReady()) {
                Lab.say("could not run: the head is not ready");
                return Lab.COULD_NOT_RUN;
            }
            double end = Lab.now() + LOAD_MILLIS;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                clients.add(Lab.daemon("client-" + i, () -> client(number, head.port, end)));
            }
            for (Thread client : clients) {
                client.join();
            }
            Lab.sleep(2000);
            boolean serves = head.process.isAlive() && isReady(head.port);
            Lab.say(
                    "run by shelfs %d, answers with an unreadable report %d, requests answered %d, lost %d, attempts to"
                            + " connect that failed %d",
                    run.get(), unreadable.get(), answered.get(), lost.get(), notConnected.get());
            Lab.say("2 s later the head %s", serves ? "answers" : "answers no more; its process "
                    + (head.process.isAlive() ? "exists" : "has ended with code " + head.process.exitValue()));
            if (run.get() < READABLE_AT_FIRST || Lab.trouble() && unreadable.get() == 0) {
                Lab.say("could not run: too few requests");
                return Lab.COULD_NOT_RUN;
            }
            return lost.get() == 0 && serves ? Lab.HELD : Lab.BROKEN;
        }
    }

    private static boolean isReady(int port) {
        try (Lab.Connection connection = new Lab.Connection(port)) {
            connection.send("GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n".getBytes());
            Lab.Message answer = connection.answer(3000);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private Lab.Work work(String shelf) {
        return (connection, request) -> {
            String id = request.field("X-Correlation-Id");
            Lab.sleep(15 + ThreadLocalRandom.current().nextDouble(20));
            String report = "{\"queue\":2,\"latency_ms\":25}";
            if (run.incrementAndGet() > READABLE_AT_FIRST
                    && Lab.trouble()
                    && ThreadLocalRandom.current().nextDouble() < UNREADABLE_SHARE) {
                // Begins like a report, nests, and is cut off: no JSON object, 5 KB.
                report = "{\"q\":".repeat(1000);
                unreadable.incrementAndGet();
                Lab.note("%s: answers %s with a load report that can't be read", shelf, id);
            } else {
                Lab.note("%s: ran and answers %s", shelf, id);
            }
            byte[] body = ("made by " + shelf + " for " + id).getBytes(StandardCharsets.US_ASCII);
            connection.send(Lab.response(200, "X-Backend-Load: " + report + "\r\n", body));
        };
    }

    private void client(int number, int port, double end) {
        while (Lab.now() < end) {
            Lab.Connection connection;
            try {
                connection = new Lab.Connection(port);
            } catch (IOException e) {
                notConnected.incrementAndGet();
                Lab.note("client %d: can't connect: %s", number, e);
                Lab.sleep(500);
                continue;
            }
            try (connection) {
                while (Lab.now() < end && ask(number, connection)) {
                    Lab.sleep(10 + ThreadLocalRandom.current().nextDouble(20));
                }
            }
        }
    }

    /** Sends one request and waits for its final answer; false if the connection is of no further use. */
    private boolean ask(int number, Lab.Connection connection) {
        boolean write = ThreadLocalRandom.current().nextDouble() < 0.35;
        String id = Lab.newId();
        byte[] content = write ? ("content " + id).getBytes(StandardCharsets.US_ASCII) : new byte[0];
        boolean sent = false;
        try {
            connection.send(Lab.request(
                    write ? "PUT" : "GET", write ? "/record-write" : "/record-read", id, TIME_LEFT, number, number % 2, content));
            sent = true;
            Lab.Message answer = connection.answer(ANSWER_MILLIS);
            if (answer != null) {
                Lab.note("client %d: %s answered %d", number, id, answer.status());
                answered.incrementAndGet();
                return answer.field("Connection") == null;
            }
            Lab.note("BROKEN: client %d: connection closed without an answer to %s", number, id);
        } catch (IOException e) {
            Lab.note("%s: client %d: no answer to %s: %s", sent ? "BROKEN" : "not sent", number, id, e);
        }
        lost.addAndGet(sent ? 1 : 0);
        return false;
    }
}
