import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import review2.Nbd;
import review2.Service;

/**
 * Clients send the head of a write of 32 MiB and nothing more, and stay. Another client, which was connected before,
 * then reads one block. Without trouble these clients connect and say nothing.
 */
public final class Case10 extends Service {
    private static final int BAD_CLIENTS = 60;
    private static final int WAIT_SECONDS = 40;

    public static void main(String[] arguments) throws Exception {
        new Case10().main();
    }

    @Override
    protected boolean run() throws Exception {
        startService("");
        byte[] entry = contents("register of births", 4096);
        Nbd client = closing(new Nbd(record, nbdPort, "births"));
        if (client.write(0, entry, true) != 0 || !Arrays.equals(client.read(0, 4096), entry)) {
            throw new IllegalStateException("the service does not serve");
        }
        List<Socket> bad = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            bad.add(closing(badClient()));
        }
        record.line("%d clients are connected%s", bad.size(), trouble ? " and have sent half a request" : "");
        Thread.sleep(3500); // they are owed an error or a close by now
        int ended = 0;
        for (Socket socket : bad) {
            socket.setSoTimeout(1);
            try {
                socket.getInputStream().read();
                ended++;
            } catch (SocketTimeoutException e) {
                // neither an error nor a close
            }
        }
        record.line("%d of them have got an error or a close", ended);
        record.line("nbd client: asks for the entry; the class's deadline is 2.5 s");
        long begin = record.millis();
        CompletableFuture<Boolean> answered = CompletableFuture.supplyAsync(() -> {
            try {
                client.read(0, 4096);
                return true;
            } catch (IOException e) {
                record.line("nbd client: %s", e);
                return false;
            }
        });
        try {
            boolean held = answered.get(WAIT_SECONDS, TimeUnit.SECONDS);
            record.line("nbd client: %s after %d ms", held ? "answer" : "no answer", record.millis() - begin);
            return held;
        } catch (TimeoutException e) {
            record.line("nbd client: no answer within %d s; the gateway %s", WAIT_SECONDS,
                    gateway.isAlive() ? "is alive" : "has ended with " + gateway.exitValue());
            return false;
        }
    }

    private Socket badClient() throws Exception {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), nbdPort);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        in.readLong();
        in.readLong();
        in.readUnsignedShort();
        out.writeInt(3);
        out.writeLong(0x49484156454F5054L);
        out.writeInt(1);
        out.writeInt(6);
        out.write("births".getBytes());
        in.readLong();
        in.readUnsignedShort();
        if (trouble) {
            out.writeInt(0x25609513);
            out.writeShort(0);
            out.writeShort(1);
            out.writeLong(7);
            out.writeLong(1 << 20);
            out.writeInt(32 << 20);
        }
        out.flush();
        return socket;
    }
}
