import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import review2.Platform;

/**
 * One client has a hundred reads for an idle head, 2.5 s each, on one connection. It sends them at once; without trouble
 * one after the other. The shelf answers at once.
 */
public final class Case10 extends Platform {
    private static final int REQUESTS = 100;
    private static final double TIME_LEFT = 2.5;
    /** Half a second after its time a request is lost; and 50 ms, by which all limits of time are longer. */
    private static final long LOST_AFTER_MILLIS = 2500 + 500 + 50;

    public static void main(String[] arguments) throws Exception {
        new Case10().main();
    }

    @Override
    protected boolean run() throws Exception {
        list("s-1", serve("shelf", this::shelf), 0, "up");
        startHead();
        try (Socket socket = connect()) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            long slowest = 0;
            for (int i = 0; i < 3 * REQUESTS; i++) {
                long begin = record.millis();
                send(socket, request(i));
                if (read(in) == null) {
                    throw new IllegalStateException("the head ends connections");
                }
                slowest = Math.max(slowest, record.millis() - begin);
            }
            record.line("client: %d reads one after the other, the slowest answered after %d ms", 3 * REQUESTS, slowest);
        }
        int lost = trouble ? atOnce() : oneByOne();
        record.line("client: %d of %d reads lost", lost, REQUESTS);
        return lost == 0;
    }

    private int atOnce() throws IOException {
        try (Socket socket = connect()) {
            socket.setSoTimeout(30_000);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < REQUESTS; i++) {
                all.writeBytes(request(1000 + i));
            }
            long sent = record.millis();
            send(socket, all.toByteArray());
            record.line("client: sent %d reads at once, %d bytes", REQUESTS, all.size());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int lost = 0;
            for (int i = 0; i < REQUESTS; i++) {
                lost += judge(i, read(in), record.millis() - sent);
            }
            return lost;
        }
    }

    private int oneByOne() throws IOException {
        try (Socket socket = connect()) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int lost = 0;
            for (int i = 0; i < REQUESTS; i++) {
                long sent = record.millis();
                send(socket, request(1000 + i));
                lost += judge(i, read(in), record.millis() - sent);
            }
            return lost;
        }
    }

    /** Any answer in time is right, a refusal too. */
    private int judge(int number, Message answer, long millis) {
        boolean lost = answer == null || millis > LOST_AFTER_MILLIS;
        record.line("client: read %d: %s after %d ms%s", number, answer == null ? "closed" : answer.startLine(), millis,
                lost ? ", lost" : "");
        return lost ? 1 : 0;
    }

    private static byte[] request(int number) {
        return readRequest(String.format("%016x", number + 1), TIME_LEFT);
    }

    private static void send(Socket socket, byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    private void shelf(Socket socket) throws Exception {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        Message request;
        while ((request = read(in)) != null) {
            String body = "made for " + request.fields().get("X-Correlation-Id");
            socket.getOutputStream().write(
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
        }
    }
}
