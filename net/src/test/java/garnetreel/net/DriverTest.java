package garnetreel.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.core.io.Machine;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DriverTest {
    /** Echoes, and always wants another turn, as a machine with a defect in its wake time does. */
    private static final class Restless implements Machine {
        private boolean begun;

        @Override
        public void turn(long now, List<NetEvent> events, List<NetAction> actions) {
            if (!begun) {
                begun = true;
                actions.add(new NetAction.Listen("echo", "127.0.0.1:0"));
            }
            for (NetEvent event : events) {
                if (event instanceof NetEvent.Received got) {
                    actions.add(new NetAction.Write(got.conn(), got.data()));
                }
            }
        }

        @Override
        public long wakeAt() {
            return 0;
        }
    }

    /** Blocks for ever where sockets are starved; the test's own time limit is all that a clock decides here. */
    @Test
    @org.junit.jupiter.api.Timeout(60)
    void socketsAreServedThoughTheMachineAlwaysWantsATurn() throws Exception {
        try (Driver driver = new Driver("restless", new Restless(), Clock.system(), (name, data) -> { }).start()) {
            InetSocketAddress address = Addresses.parse(driver.bound("echo").get(30, TimeUnit.SECONDS));
            try (Socket socket = new Socket()) {
                socket.connect(address);
                byte[] sent = ByteBuffer.allocate(8).putLong(42).array();
                for (int i = 0; i < 50; i++) {
                    socket.getOutputStream().write(sent);
                    assertEquals(42, ByteBuffer.wrap(socket.getInputStream().readNBytes(8)).getLong());
                }
            }
        }
    }
}
