import garnetreel.codec.node.NodeMessage.Op;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import review2.Service;

/**
 * A client keeps eight reads under way on one connection; one of them takes the node a second. Meanwhile the gateway is
 * told to end. Without trouble it is not told. Every request that was sent 0.1 s and more before the connection's end
 * is to be answered: served, refused or failed.
 */
public final class Case10 extends Service {
    private static final int UNDER_WAY = 8;
    private static final int USUAL_MILLIS = 5;
    private static final int LONG_MILLIS = 1000;
    private static final int LONG_OFFSET = 32 << 20;
    private static final int CROSSING_MILLIS = 100;

    private final Map<Long, Long> open = new ConcurrentHashMap<>();
    private final AtomicLong cookies = new AtomicLong();
    private volatile boolean sending = true;
    private DataOutputStream out;

    public static void main(String[] arguments) throws Exception {
        new Case10().main();
    }

    @Override
    protected boolean run() throws Exception {
        startService("");
        node.quiet(true);
        node.hang(request -> request.op() != Op.READ ? 0 : request.offset() == LONG_OFFSET ? LONG_MILLIS : USUAL_MILLIS);
        Socket socket = closing(new Socket(InetAddress.getLoopbackAddress(), nbdPort));
        socket.setTcpNoDelay(true);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
        in.readLong();
        in.readLong();
        in.readUnsignedShort();
        out.writeInt(3);
        out.writeLong(0x49484156454F5054L);
        out.writeInt(1);
        out.writeInt(6);
        out.write("births".getBytes());
        out.flush();
        in.readLong();
        in.readUnsignedShort();

        AtomicInteger answers = new AtomicInteger();
        long[] endedAt = new long[1];
        Thread reader = new Thread(() -> {
            try {
                byte[] data = new byte[4096];
                while (true) {
                    in.readInt();
                    int error = in.readInt();
                    long cookie = in.readLong();
                    if (error == 0) {
                        in.readFully(data);
                    }
                    answers.incrementAndGet();
                    open.remove(cookie);
                    if (sending) {
                        send(cookie % 100 * 4096);
                    }
                }
            } catch (IOException e) {
                endedAt[0] = record.millis();
                record.line("client: the connection has ended, %s", e);
            }
        });
        for (int i = 0; i < UNDER_WAY - 1; i++) {
            send(i * 4096);
        }
        reader.start();
        Thread.sleep(1000);
        record.line("client: %d answers so far; sends the read that takes %d ms", answers.get(), LONG_MILLIS);
        send(LONG_OFFSET);
        Thread.sleep(100);
        if (trouble) {
            gateway.destroy();
            record.line("gateway: SIGTERM");
        }
        reader.join(3000);
        sending = false;
        reader.join(4000);
        long end = endedAt[0] == 0 ? record.millis() : endedAt[0];
        int lost = 0;
        for (Map.Entry<Long, Long> request : open.entrySet()) {
            boolean crossing = end - request.getValue() < CROSSING_MILLIS;
            record.line("client: no answer to request %d, sent %d ms before the end%s", request.getKey(),
                    end - request.getValue(), crossing ? ", which crosses it" : "");
            lost += crossing ? 0 : 1;
        }
        record.line("client: %d requests sent, %d answered, %d lost", cookies.get(), answers.get(), lost);
        if (answers.get() == 0) {
            throw new IllegalStateException("nothing was answered");
        }
        return lost == 0;
    }

    private synchronized void send(long offset) throws IOException {
        long cookie = cookies.incrementAndGet();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream request = new DataOutputStream(bytes);
        request.writeInt(0x25609513);
        request.writeShort(0);
        request.writeShort(0);
        request.writeLong(cookie);
        request.writeLong(offset);
        request.writeInt(4096);
        open.put(cookie, record.millis());
        out.write(bytes.toByteArray());
        out.flush();
    }
}
