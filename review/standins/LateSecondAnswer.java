import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of two shelfs are followed by a second copy of themselves some milliseconds later, sent only if nothing
 * waits on the connection then. Checks that each 200 carries the body that a shelf made for that request.
 */
final class LateSecondAnswer {
    private static final int CLIENTS = 8;
    private static final int LOAD_MILLIS = 40_000;
    private static final double SHARE_OF_COPIES = 0.05;
    private static final double MIN_LATE_MILLIS = 3;
    private static final double MAX_LATE_MILLIS = 6;

    private final Map<String, String> made = new ConcurrentHashMap<>();
    private final AtomicInteger run = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger foreignWrites = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.openRecord(Path.of(arguments[1]));
        System.exit(new LateSecondAnswer().run(Path.of(arguments[0])));
    }

    private int run(Path root) throws Exception {
        List<Lab.Shelf> shelfs = List.of(new Lab.Shelf("s-0", 0, work("s-0")), new Lab.Shelf("s-1", 1, work("s-1")));
        Lab.Discovery discovery = new Lab.Discovery(shelfs);
        try (Lab.Head head = new Lab.Head(root, discovery, Lab.settings("once", 2.5, 3, 2), 192, 512)) {
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
            Lab.say(
                    "run by shelfs %d, second copies %d, served %d, served with the answer to another request %d"
                            + " (writes: %d), other answers %d",
                    run.get(), copies.get(), served.get(), foreign.get(), foreignWrites.get(), others.get());
            if (served.get() < 1000 || Lab.trouble() && copies.get() < 20) {
                Lab.say("could not run: too few requests or copies");
                return Lab.COULD_NOT_RUN;
            }
            return foreign.get() == 0 ? Lab.HELD : Lab.BROKEN;
        }
    }

    private Lab.Work work(String shelf) {
        return (connection, request) -> {
            String id = request.field("X-Correlation-Id");
            Lab.sleep(15 + ThreadLocalRandom.current().nextDouble(30));
            String body = "made by " + shelf + " for " + id;
            made.put(id, body);
            run.incrementAndGet();
            byte[] answer = Lab.response(200, "", body.getBytes(StandardCharsets.US_ASCII));
            connection.send(answer);
            Lab.note("%s connection %d: ran and answered %s", shelf, connection.number, id);
            if (Lab.trouble() && ThreadLocalRandom.current().nextDouble() < SHARE_OF_COPIES) {
                double late = ThreadLocalRandom.current().nextDouble(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
                double at = Lab.now() + late;
                while (Lab.now() < at) {
                    if (connection.somethingWaits()) {
                        return;
                    }
                    Thread.yield();
                }
                if (!connection.somethingWaits()) {
                    connection.send(answer);
                    copies.incrementAndGet();
                    Lab.note(
                            "%s connection %d: second copy of the answer to %s, %.1f ms late",
                            shelf, connection.number, id, late);
                }
            }
        };
    }

    private void client(int number, int port, double end) {
        while (Lab.now() < end) {
            try (Lab.Connection connection = new Lab.Connection(port)) {
                while (Lab.now() < end && ask(number, connection)) {
                    Lab.sleep(1 + ThreadLocalRandom.current().nextDouble(2));
                }
            } catch (IOException e) {
                others.incrementAndGet();
                Lab.note("client %d: %s", number, e);
                Lab.sleep(100);
            }
        }
    }

    /** Sends one request and checks its answer; false once the head closes the connection. */
    private boolean ask(int number, Lab.Connection connection) throws IOException {
        boolean write = ThreadLocalRandom.current().nextDouble() < 0.35;
        String id = Lab.newId();
        byte[] content = write ? ("content " + id).getBytes(StandardCharsets.US_ASCII) : new byte[0];
        connection.send(Lab.request(
                write ? "PUT" : "GET", write ? "/record-write" : "/record-read", id, 2.0, number, number % 2, content));
        Lab.note("client %d: sent %s %s", number, write ? "write" : "read", id);
        Lab.Message answer = connection.answer(5000);
        if (answer == null) {
            Lab.note("client %d: closed without an answer to %s", number, id);
            others.incrementAndGet();
            return false;
        }
        Lab.note("client %d: %s answered %d \"%s\"", number, id, answer.status(), answer.text());
        if (answer.status() != 200) {
            others.incrementAndGet();
            Lab.sleep(50);
            return answer.field("Connection") == null;
        }
        served.incrementAndGet();
        if (!answer.text().equals(made.get(id))) {
            foreign.incrementAndGet();
            foreignWrites.addAndGet(write ? 1 : 0);
            Lab.note("BROKEN: %s was served with \"%s\"; made for it: \"%s\"", id, answer.text(), made.get(id));
        }
        return true;
    }
}
