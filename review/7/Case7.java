import java.io.IOException;
import java.util.Arrays;
import review2.Nbd;
import review2.Service;

/**
 * A client's write is answered; the gateway is killed and started again; the client connects anew and flushes. The
 * node then dies and comes back. Without trouble the gateway is not killed.
 */
public final class Case7 extends Service {
    public static void main(String[] arguments) throws Exception {
        new Case7().main();
    }

    @Override
    protected boolean run() throws Exception {
        startService("");
        byte[] entry = contents("entry 4711 of the register of births", 4096);
        Nbd client = connect();
        if (client.write(8192, entry, false) != 0) {
            throw new IllegalStateException("the write was not served");
        }
        if (trouble) {
            kill("gateway", gateway);
            client.close();
            Thread.sleep(1300);
            startGateway();
            client = connect();
        }
        boolean flushed = false;
        for (int tries = 0; tries < 5 && !flushed; tries++) {
            flushed = client.flush() == 0;
        }
        node.restart(1500);
        byte[] found = null;
        for (int tries = 0; tries < 30 && found == null; tries++) {
            Thread.sleep(500);
            found = client.read(8192, 4096);
        }
        client.close();
        if (found == null) {
            throw new IllegalStateException("the entry can't be read");
        }
        boolean there = Arrays.equals(found, entry);
        record.line("write served, flush %s, entry %s", flushed ? "served" : "failed", there ? "there" : "lost");
        return there || !flushed;
    }

    private Nbd connect() throws Exception {
        for (int tries = 0; ; tries++) {
            try {
                return closing(new Nbd(record, nbdPort, "births"));
            } catch (IOException e) {
                if (tries == 50) {
                    throw e;
                }
                Thread.sleep(200);
            }
        }
    }
}
