package garnetreel.cli.testing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.nbd.Nbd;
import garnetreel.testbed.node.NodeFault;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The hard cases, each over sockets. Nothing here waits for a time to pass: each step waits for what it is about. */
@Timeout(60)
class HardCasesTest {
    private static final int EXTENT = 1 << 20;

    private static byte[] bytes(int seed, int length) {
        byte[] data = new byte[length];
        new Random(seed).nextBytes(data);
        return data;
    }

    @Test
    void wholeExportIsWrittenAndReadBack() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(2, "");
                NbdSocket client = rig.client()) {
            byte[] all = bytes(1, (int) client.size);
            Arrays.fill(all, 3 * EXTENT, 5 * EXTENT, (byte) 0);
            int at = 0;
            int[] sizes = {4096, 65_536, 1, 1_000_003, 2 * EXTENT + 512};
            for (int i = 0; at < all.length; i++) {
                int length = Math.min(all.length - at, sizes[i % sizes.length]);
                assertEquals(
                        0,
                        client.call(
                                        Nbd.CMD_WRITE,
                                        i % 7 == 0 ? Nbd.FLAG_FUA : 0,
                                        at,
                                        length,
                                        Arrays.copyOfRange(all, at, at + length))
                                .error);
                at += length;
            }
            assertArrayEquals(all, client.read(0, all.length, 0));
            assertArrayEquals(
                    Arrays.copyOfRange(all, 2 * EXTENT, 6 * EXTENT), client.read(2L * EXTENT, 4 * EXTENT, Nbd.FLAG_DF));
            assertEquals(0, client.call(Nbd.CMD_FLUSH, 0, 0, 0, null).error);
            assertEquals(0, client.call(Nbd.CMD_TRIM, 0, EXTENT, EXTENT, null).error);
            assertEquals(0, client.call(Nbd.CMD_WRITE_ZEROES, 0, 0, EXTENT, null).error);
            assertEquals(0, client.call(Nbd.CMD_CACHE, 0, 0, EXTENT, null).error);
            NbdSocket.Reply status = client.call(Nbd.CMD_BLOCK_STATUS, 0, 0, 3 * EXTENT, null);
            assertEquals(List.of(EXTENT, 2, EXTENT, 3, EXTENT, 0), status.status);
        }
    }

    @Test
    void clientLeavesWithAWriteOutstanding() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(1, "")) {
            rig.fault(0, NodeFault.Kind.LOSE_ANSWERS, 1);
            NbdSocket client = rig.client();
            long tag = client.send(Nbd.CMD_WRITE, 0, 0, 4096, bytes(2, 4096));
            rig.await(e -> e.kind() == Kind.EXECUTE && e.tag() == tag);
            client.hangUp();
            rig.fault(0, NodeFault.Kind.LOSE_ANSWERS, 0);
            try (NbdSocket next = rig.client()) {
                next.nextCookie = 1000;
                assertArrayEquals(bytes(2, 4096), next.read(0, 4096, 0));
                for (int i = 0; i < 50; i++) {
                    assertEquals(0, next.call(Nbd.CMD_WRITE, 0, EXTENT / 2, 512, bytes(i, 512)).error);
                }
            }
            List<TraceEvent> mine =
                    rig.trace().stream().filter(e -> e.tag() == tag).toList();
            assertEquals(1, mine.stream().filter(e -> e.kind() == Kind.ARRIVE).count());
            assertEquals(1, mine.stream().filter(e -> e.kind() == Kind.EXECUTE).count());
        }
    }

    @Test
    void lateAnswerIsGivenToNobody() throws Exception {
        // The node takes longer for each request than the class waits, and the client uses its cookie again at once.
        try (DeploymentHarness rig = new DeploymentHarness(
                        1, "node \"n0\" {\n  shard = 0\n  cores = 8\n  base_work = \"900ms\"\n}\n", "600ms");
                NbdSocket client = rig.client()) {
            client.nextCookie = 77;
            NbdSocket.Reply first = client.call(Nbd.CMD_WRITE, 0, 0, 4096, bytes(3, 4096));
            assertEquals(Nbd.EIO, first.error);
            client.nextCookie = 77;
            long again = client.send(Nbd.CMD_READ, 0, 8192, 4096, null);
            rig.await(e -> e.kind() == Kind.ANSWER && e.operation().equals("write"));
            NbdSocket.Reply second = client.reply();
            assertEquals(again, second.cookie);
            // The read was not answered by the write's late answer: it ran out of time itself.
            assertNotEquals(0, second.error);
            assertEquals(
                    1,
                    rig.trace().stream()
                            .filter(e ->
                                    e.kind() == Kind.EXECUTE && e.operation().equals("write"))
                            .count());
        }
    }

    @Test
    void resetMayHaveRunAndRefusedConnectionDidNot() throws Exception {
        String once = "once";
        try (DeploymentHarness rig = new DeploymentHarness(1, "", "20s", once);
                NbdSocket client = rig.client()) {
            rig.fault(0, NodeFault.Kind.LOSE_ANSWERS, 1);
            long tag = client.send(Nbd.CMD_WRITE, 0, 0, 4096, bytes(4, 4096));
            rig.await(e -> e.kind() == Kind.EXECUTE && e.tag() == tag);
            rig.fault(0, NodeFault.Kind.REFUSE, 1); // cuts the connection: the write may have run
            assertEquals(Nbd.EIO, client.reply().error);
            // Now nothing listens: what is sent next can't have run, and is refused.
            NbdSocket.Reply second = client.call(Nbd.CMD_WRITE, 0, 0, 4096, bytes(5, 4096));
            assertEquals(Nbd.ENOMEM, second.error);
            assertTrue(second.message.contains("stay away for"), second.message);
            rig.fault(0, NodeFault.Kind.LOSE_ANSWERS, 0);
            rig.fault(0, NodeFault.Kind.REFUSE, 0);
            assertEquals(
                    1,
                    rig.trace().stream().filter(e -> e.kind() == Kind.EXECUTE).count());
        }
    }

    @Test
    void readAndWriteAcrossExtentsOfWhichOneNodeFails() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(3, "", "20s", "once");
                NbdSocket client = rig.client()) {
            byte[] data = bytes(6, 3 * EXTENT);
            assertEquals(0, client.call(Nbd.CMD_WRITE, 0, 0, data.length, data).error);
            rig.fault(1, NodeFault.Kind.REFUSE, 1);
            NbdSocket.Reply read = client.call(Nbd.CMD_READ, 0, EXTENT - 4096, EXTENT + 8192, null);
            assertEquals(Nbd.ENOMEM, read.error);
            assertEquals(EXTENT, read.errorOffset);
            // The first half of the write is done and the second is not: it must not look done, nor safe to repeat.
            NbdSocket.Reply write = client.call(Nbd.CMD_WRITE, 0, EXTENT - 4096, 8192, bytes(7, 8192));
            assertEquals(Nbd.EIO, write.error);
            rig.fault(1, NodeFault.Kind.REFUSE, 0);
            assertArrayEquals(Arrays.copyOf(bytes(7, 8192), 4096), client.read(EXTENT - 4096, 4096, 0));
        }
    }

    @Test
    void flushAfterACrashFailsForWhatWasLost() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(1, "", "20s", "once");
                NbdSocket client = rig.client()) {
            assertEquals(0, client.call(Nbd.CMD_WRITE, 0, 0, 4096, bytes(8, 4096)).error);
            assertEquals(0, client.call(Nbd.CMD_FLUSH, 0, 0, 0, null).error);
            assertEquals(0, client.call(Nbd.CMD_WRITE, 0, 4096, 4096, bytes(9, 4096)).error);
            assertEquals(0, client.call(Nbd.CMD_WRITE, Nbd.FLAG_FUA, 8192, 4096, bytes(10, 4096)).error);
            rig.restartNode(0);
            NbdSocket.Reply flush = client.retried(Nbd.CMD_FLUSH, 0, 0, 0, null);
            assertEquals(Nbd.EIO, flush.error);
            assertTrue(flush.message.contains("lost writes"), flush.message);
            assertEquals(0, client.retried(Nbd.CMD_FLUSH, 0, 0, 0, null).error);
            assertArrayEquals(bytes(8, 4096), client.read(0, 4096, 0));
            assertArrayEquals(bytes(10, 4096), client.read(8192, 4096, 0));
        }
    }

    @Test
    void handshakeCutAtEachByte() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(1, "")) {
            byte[] opening = NbdSocket.opening("v");
            for (int cut = 0; cut <= opening.length; cut++) {
                NbdSocket.raw(rig.address(), Arrays.copyOf(opening, cut)).close();
            }
            try (NbdSocket slow = NbdSocket.bytewise(rig.address(), "v")) {
                assertArrayEquals(new byte[4096], slow.read(0, 4096, 0));
            }
            rig.awaitConnections(0);
        }
    }

    @Test
    void handshakeAbuseEndsTheConnectionAlone() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(1, "");
                NbdSocket bystander = rig.client()) {
            byte[] wrongMagic = ByteBuffer.allocate(20)
                    .putInt(3)
                    .putLong(1)
                    .putInt(7)
                    .putInt(0)
                    .array();
            byte[] huge = ByteBuffer.allocate(20)
                    .putInt(3)
                    .putLong(Nbd.OPTION_MAGIC)
                    .putInt(7)
                    .putInt(-1)
                    .array();
            byte[] flags = ByteBuffer.allocate(4).putInt(0x80).array();
            ByteBuffer many = ByteBuffer.allocate(4 + 16 * 10_000).putInt(3);
            for (int i = 0; i < 10_000; i++) {
                many.putLong(Nbd.OPTION_MAGIC).putInt(99).putInt(0);
            }
            for (byte[] abuse : List.of(wrongMagic, huge, flags, many.array())) {
                assertTrue(NbdSocket.raw(rig.address(), abuse).endsAfter(1 << 20));
            }
            // An option that is only too long is read past, and answered.
            try (NbdSocket big = NbdSocket.raw(
                    rig.address(),
                    ByteBuffer.allocate(4 + 16 + 100_000)
                            .putInt(3)
                            .putLong(Nbd.OPTION_MAGIC)
                            .putInt(Nbd.OPT_GO)
                            .putInt(100_000)
                            .array())) {
                assertEquals(Nbd.REP_ERR_TOO_BIG, big.greetingAndOptionReply());
            }
            assertArrayEquals(new byte[512], bystander.read(0, 512, 0));
        }
    }

    @Test
    void wrongRequestsGetErrorsAndTheConnectionGoesOn() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(1, "");
                NbdSocket client = rig.client()) {
            long size = client.size;
            assertEquals(Nbd.EINVAL, client.call(99, 0, 0, 512, null).error);
            assertEquals(Nbd.EINVAL, client.call(Nbd.CMD_READ, 1 << 14, 0, 512, null).error);
            assertEquals(Nbd.EINVAL, client.call(Nbd.CMD_READ, 0, 0, 0, null).error);
            assertEquals(Nbd.EINVAL, client.call(Nbd.CMD_READ, 0, size - 511, 512, null).error);
            assertEquals(Nbd.EINVAL, client.call(Nbd.CMD_READ, 0, -512, 512, null).error);
            assertEquals(Nbd.EINVAL, client.call(Nbd.CMD_READ, 0, 0, -1, null).error);
            assertEquals(Nbd.ENOSPC, client.call(Nbd.CMD_WRITE, 0, size - 256, 512, new byte[512]).error);
            assertEquals(Nbd.ENOSPC, client.call(Nbd.CMD_WRITE_ZEROES, 0, size, 512, null).error);
            assertEquals(Nbd.EINVAL, client.call(Nbd.CMD_FLUSH, 0, 1, 0, null).error);
            assertArrayEquals(new byte[512], client.read(size - 512, 512, 0));
            // A write of 4 GiB has no end that could be waited for.
            client.send(Nbd.CMD_WRITE, 0, 0, -1, null);
            assertTrue(client.endsAfter(1 << 10));
            try (NbdSocket other = rig.client()) {
                other.write(new byte[28]); // a request with the wrong magic
                assertTrue(other.endsAfter(1 << 10));
            }
        }
    }

    @Test
    void fullTablesRefuseInWordsAndOthersGoOn() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(
                        1, "bounds {\n  connections = 2\n  head_requests = 3\n  connection_requests = 8\n}\n");
                NbdSocket first = rig.client();
                NbdSocket second = rig.client()) {
            IOException refused = org.junit.jupiter.api.Assertions.assertThrows(IOException.class, rig::client);
            assertTrue(refused.getMessage().contains("2 connections, its most"), refused.getMessage());
            rig.fault(0, NodeFault.Kind.SILENCE, 1);
            for (int i = 0; i < 4; i++) {
                first.send(Nbd.CMD_READ, 0, 0, 512, null);
            }
            NbdSocket.Reply full = first.reply();
            assertEquals(Nbd.ENOMEM, full.error);
            assertTrue(full.message.contains("its most"), full.message);
            first.hangUp();
            rig.fault(0, NodeFault.Kind.SILENCE, 0);
            rig.awaitConnections(1);
            assertArrayEquals(new byte[512], second.read(0, 512, 0));
            try (NbdSocket third = rig.client()) {
                assertArrayEquals(new byte[512], third.read(0, 512, 0));
            }
        }
    }

    @Test
    void clientThatDoesNotReadIsNotReadFrom() throws Exception {
        try (DeploymentHarness rig = new DeploymentHarness(
                        1, "bounds {\n  connection_bytes = \"1MiB\"\n  head_bytes = \"4MiB\"\n}\n");
                NbdSocket greedy = rig.client();
                NbdSocket bystander = rig.client()) {
            // 64 reads of 1 MiB, none of whose answers is read: all that is held for them stays within the bounds.
            int reads = 64;
            for (int i = 0; i < reads; i++) {
                greedy.send(Nbd.CMD_READ, Nbd.FLAG_DF, 0, EXTENT, null);
            }
            for (int i = 0; i < 20; i++) {
                assertArrayEquals(new byte[4096], bystander.read(4096, 4096, 0));
            }
            assertTrue(rig.bytesHeld() <= 5 << 20, "held " + rig.bytesHeld());
            for (int i = 0; i < reads; i++) {
                assertEquals(EXTENT, greedy.reply().data.length);
            }
        }
    }

    @Test
    void drainAnswersWhatWasTakenAndStops() throws Exception {
        try (DeploymentHarness rig =
                new DeploymentHarness(1, "node \"n0\" {\n  shard = 0\n  base_work = \"100ms\"\n}\n")) {
            NbdSocket client = rig.client();
            long tag = client.send(Nbd.CMD_WRITE, 0, 0, 512, new byte[512]);
            rig.await(e -> e.kind() == Kind.ARRIVE && e.tag() == tag);
            rig.drain();
            assertEquals(0, client.reply().error);
            org.junit.jupiter.api.Assertions.assertThrows(EOFException.class, client::reply);
            rig.awaitStopped();
        }
    }

    @Test
    void twoHeadsKeepOneLimitAndAKilledOneDoesNotGetItsBurstAgain() throws Exception {
        // 40 units a second, 20 at once, over two heads; both are asked for far more.
        try (DeploymentHarness rig = DeploymentHarness.limited(2, 40, 20, 4)) {
            for (int round = 0; round < 3; round++) {
                for (int head = 0; head < 2; head++) {
                    try (NbdSocket client = rig.client(head)) {
                        for (int i = 0; i < 100; i++) {
                            client.send(Nbd.CMD_READ, 0, 0, 4096, null);
                        }
                        int served = 0;
                        for (int i = 0; i < 100; i++) {
                            served += client.reply().error == 0 ? 1 : 0;
                        }
                        assertTrue(served < 100);
                    }
                }
                rig.restartHead(round % 2);
            }
            assertTrue(
                    rig.verdicts().stream().allMatch(v -> v.rule() != 7 || v.isKept() && v.checks() > 10),
                    rig.verdicts().toString());
        }
    }
}
