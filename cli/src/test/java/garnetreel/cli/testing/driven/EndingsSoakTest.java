package garnetreel.cli.testing.driven;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * NBD clients that do all that clients do, at random, pushes over rsync, a process that is held up now and then, and a
 * shutdown at a random time. The seeds are fixed; more of them are played with {@code -Dendings.seeds=FIRST-LAST}.
 */
class EndingsSoakTest {
    private static final String SEEDS = System.getProperty("endings.seeds", "1-150");
    private static final int MAX_CLIENTS = 8;
    private static final int STEPS = 150;
    private static final int BLOCK = 512;
    /** A write of which a part is sent first. */
    private static final int LARGE_WRITE = 8 * BLOCK;

    private static final int MAX_STEP_MICROS = 20_000;
    private static final int MAX_HANG_MICROS = 3_000_000;
    private static final int MAX_HOLD_UP_MICROS = 300_000;
    private static final int MAX_PIPELINED = 300;
    private static final int MAX_PUSHES = 3;
    private static final int MAX_FILE_BYTES = 60_000;
    /** Requests sent in this time before the end of their connection may cross it. */
    private static final long CROSSING_MICROS = 100_000;

    /** A client, and what may still be expected of it. */
    private static final class RandomClient {
        private final DrivenNbdClient client;
        private final Random random;
        /** Part of a write that has not been sent. */
        private int missing;

        private boolean sending = true;
        private boolean answersExpected = true;
        /** The last request that the client is owed an answer to. */
        private long lastOwed = Long.MAX_VALUE;

        RandomClient(DrivenNbdClient client, Random random) {
            this.client = client;
            this.random = random;
        }

        void act() {
            if (!sending || client.isClosed()) {
                return;
            }
            if (missing > 0) {
                continueWrite();
                return;
            }
            int choice = random.nextInt(1_000);
            if (choice < 500) {
                client.read(offset(), BLOCK);
            } else if (choice < 900) {
                client.write(offset(), new byte[BLOCK]);
            } else if (choice < 920) {
                pipeline(1 + random.nextInt(MAX_PIPELINED));
            } else if (choice < 970) {
                int sent = random.nextInt(LARGE_WRITE);
                client.beginWrite(offset(), LARGE_WRITE, sent);
                missing = LARGE_WRITE - sent;
            } else if (choice < 985) {
                client.flush();
            } else {
                leave(choice % 5);
            }
        }

        private long offset() {
            return (long) random.nextInt(DrivenSettings.VOLUME_BYTES / LARGE_WRITE) * LARGE_WRITE;
        }

        private void continueWrite() {
            if (random.nextInt(4) == 0) {
                int part = 1 + random.nextInt(missing);
                missing -= part;
                client.continueWrite(part);
            }
        }

        private void pipeline(int count) {
            for (int i = 0; i < count; i++) {
                client.read(offset(), BLOCK);
            }
        }

        private void leave(int way) {
            sending = false;
            switch (way) {
                case 0 -> {
                    client.disconnect();
                    answersExpected = false;
                }
                case 1 -> {
                    client.stopReading();
                    pipeline(MAX_PIPELINED);
                    answersExpected = false;
                }
                case 2 -> {
                    lastOwed = client.lastCookie();
                    client.sendBytes(new byte[28]);
                }
                case 3 -> {
                    lastOwed = client.lastCookie();
                    client.sendDisconnect();
                }
                default -> client.beginWrite(offset(), LARGE_WRITE, BLOCK);
            }
        }

        List<Long> lost() {
            return !answersExpected
                    ? List.of()
                    : client.unanswered(CROSSING_MICROS).stream()
                            .filter(cookie -> cookie <= lastOwed)
                            .toList();
        }
    }

    /** Requests that were read and dropped at an ending, replies sent twice, and gateways that do not stop. */
    @Test
    void everyRequestIsAnsweredOnceAndTheGatewayStopsInTime() throws Exception {
        String[] range = SEEDS.split("-");
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            play(seed);
        }
    }

    private void play(long seed) throws Exception {
        Random random = new Random(seed);
        DrivenNode node = new DrivenNode(0, DrivenSettings.VOLUME_BYTES);
        DrivenGateway gateway = new DrivenGateway(DrivenSettings.on(0), List.of(node));
        List<RandomClient> clients = new ArrayList<>();
        List<DrivenRsyncClient> pushes = new ArrayList<>();
        int shutdownAt = random.nextInt(STEPS);
        for (int step = 0; step < STEPS; step++) {
            if (step == shutdownAt) {
                gateway.shutDown();
            }
            if (clients.size() < MAX_CLIENTS && random.nextInt(4) == 0) {
                clients.add(new RandomClient(new DrivenNbdClient(gateway, DrivenSettings.EXPORT), random));
            }
            if (random.nextInt(3) == 0) {
                node.hangInNextWrite(random.nextInt(MAX_HANG_MICROS));
            }
            if (pushes.size() < MAX_PUSHES && random.nextInt(20) == 0) {
                pushes.add(push(gateway, "file-" + pushes.size(), random.nextInt(MAX_FILE_BYTES)));
            }
            clients.forEach(RandomClient::act);
            if (random.nextInt(20) == 0) {
                gateway.holdUp(random.nextInt(MAX_HOLD_UP_MICROS));
            }
            gateway.advance(1 + random.nextInt(MAX_STEP_MICROS));
        }
        gateway.advance(DrivenSettings.TIME_LIMIT_MICROS);
        String where = "seed " + seed;
        assertTrue(gateway.isStopped(), where + ": the gateway has not stopped");
        assertEquals(0, gateway.statistics().owedAnswers(), where + ": answers that were owed");
        for (RandomClient client : clients) {
            assertEquals(List.of(), client.lost(), where + ": requests without an answer");
            assertEquals(0, client.client.repliesTwice(), where + ": replies sent twice");
        }
        for (DrivenRsyncClient push : pushes) {
            boolean told = !push.errors().isEmpty() && !push.errors().equals(DrivenRsyncClient.CLOSED);
            assertTrue(push.isConfirmed() || told, where + ": a push that was not told of its end: " + push.errors());
        }
    }

    private static DrivenRsyncClient push(DrivenGateway gateway, String name, int bytes) {
        DrivenRsyncClient.PushedFile file =
                new DrivenRsyncClient.PushedFile(name, 0644, 1_700_000_000, new byte[1 + bytes]);
        return DrivenRsyncClient.push(gateway, DrivenSettings.MODULE, file);
    }
}
