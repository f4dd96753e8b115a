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

/** Edge cases and failures over sockets. The tests do not sleep: each step waits for the event that it depends on. */
@Timeout(60)
class HardCasesTest {
    private static final int EXTENT_BYTES = 1 << 20;

    private static byte[] bytes(int seed, int length) {
        byte[] data = new byte[length];
        new Random(seed).nextBytes(data);
        return data;
    }

    @Test
    void entireExportIsWrittenAndReadBack() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(2, "");
                NbdSocket client = harness.client()) {
            byte[] all = bytes(1, (int) client.size);
            Arrays.fill(all, 3 * EXTENT_BYTES, 5 * EXTENT_BYTES, (byte) 0);
            int at = 0;
            int[] sizes = {4096, 65_536, 1, 1_000_003, 2 * EXTENT_BYTES + 512};
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
                    Arrays.copyOfRange(all, 2 * EXTENT_BYTES, 6 * EXTENT_BYTES),
                    client.read(2L * EXTENT_BYTES, 4 * EXTENT_BYTES, Nbd.FLAG_DF));
            assertEquals(0, client.call(Nbd.CMD_FLUSH, 0, 0, 0, null).error);
            assertEquals(0, client.call(Nbd.CMD_TRIM, 0, EXTENT_BYTES, EXTENT_BYTES, null).error);
            assertEquals(0, client.call(Nbd.CMD_WRITE_ZEROES, 0, 0, EXTENT_BYTES, null).error);
            assertEquals(0, client.call(Nbd.CMD_CACHE, 0, 0, EXTENT_BYTES, null).error);
            NbdSocket.Reply status = client.call(Nbd.CMD_BLOCK_STATUS, 0, 0, 3 * EXTENT_BYTES, null);
            assertEquals(List.of(EXTENT_BYTES, 2, EXTENT_BYTES, 3, EXTENT_BYTES, 0), status.status);
        }
    }

    @Test
    void clientDisconnectsWithAWriteOutstanding() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(1, "")) {
            harness.fault(0, NodeFault.Kind.LOSE_ANSWERS, 1);
            NbdSocket client = harness.client();
            long tag = client.send(Nbd.CMD_WRITE, 0, 0, 4096, bytes(2, 4096));
            harness.await(e -> e.kind() == Kind.EXECUTE && e.tag() == tag);
            client.closeAbruptly();
            harness.fault(0, NodeFault.Kind.LOSE_ANSWERS, 0);
            try (NbdSocket reader = harness.client()) {
                reader.nextCookie = 1000;
                assertArrayEquals(bytes(2, 4096), reader.read(0, 4096, 0));
                for (int i = 0; i < 50; i++) {
                    assertEquals(0, reader.call(Nbd.CMD_WRITE, 0, EXTENT_BYTES / 2, 512, bytes(i, 512)).error);
                }
            }
            List<TraceEvent> writeEvents =
                    harness.trace().stream().filter(e -> e.tag() == tag).toList();
            assertEquals(
                    1, writeEvents.stream().filter(e -> e.kind() == Kind.ARRIVE).count());
            assertEquals(
                    1,
                    writeEvents.stream().filter(e -> e.kind() == Kind.EXECUTE).count());
        }
    }

    @Test
    void lateAnswerIsDiscarded() throws Exception {
        // The node takes longer per request than the deadline of the class, and the client reuses the cookie at once.
        try (DeploymentHarness harness = new DeploymentHarness(
                        1, "node \"n0\" {\n  shard = 0\n  cores = 8\n  base_work = \"900ms\"\n}\n", "600ms");
                NbdSocket client = harness.client()) {
            client.nextCookie = 77;
            NbdSocket.Reply first = client.call(Nbd.CMD_WRITE, 0, 0, 4096, bytes(3, 4096));
            assertEquals(Nbd.EIO, first.error);
            client.nextCookie = 77;
            long readCookie = client.send(Nbd.CMD_READ, 0, 8192, 4096, null);
            harness.await(e -> e.kind() == Kind.ANSWER && e.operation().equals("write"));
            NbdSocket.Reply second = client.reply();
            assertEquals(readCookie, second.cookie);
            // The late answer to the write did not answer the read, which exceeded its own deadline.
            assertNotEquals(0, second.error);
            assertEquals(
                    1,
                    harness.trace().stream()
                            .filter(e ->
                                    e.kind() == Kind.EXECUTE && e.operation().equals("write"))
                            .count());
        }
    }

    @Test
    void resetWriteFailsAndWriteToARefusingNodeIsRejected() throws Exception {
        String effect = "once";
        try (DeploymentHarness harness = new DeploymentHarness(1, "", "20s", effect);
                NbdSocket client = harness.client()) {
            harness.fault(0, NodeFault.Kind.LOSE_ANSWERS, 1);
            long tag = client.send(Nbd.CMD_WRITE, 0, 0, 4096, bytes(4, 4096));
            harness.await(e -> e.kind() == Kind.EXECUTE && e.tag() == tag);
            harness.fault(0, NodeFault.Kind.REFUSE, 1); // closes the connection: the write may have run
            assertEquals(Nbd.EIO, client.reply().error);
            // The node does not listen any more, so the next request cannot have run and is rejected.
            NbdSocket.Reply second = client.call(Nbd.CMD_WRITE, 0, 0, 4096, bytes(5, 4096));
            assertEquals(Nbd.ENOMEM, second.error);
            assertTrue(second.message.contains("stay away for"), second.message);
            harness.fault(0, NodeFault.Kind.LOSE_ANSWERS, 0);
            harness.fault(0, NodeFault.Kind.REFUSE, 0);
            assertEquals(
                    1,
                    harness.trace().stream()
                            .filter(e -> e.kind() == Kind.EXECUTE)
                            .count());
        }
    }

    @Test
    void readAndWriteAcrossExtentsWhenOneNodeFails() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(3, "", "20s", "once");
                NbdSocket client = harness.client()) {
            byte[] data = bytes(6, 3 * EXTENT_BYTES);
            assertEquals(0, client.call(Nbd.CMD_WRITE, 0, 0, data.length, data).error);
            harness.fault(1, NodeFault.Kind.REFUSE, 1);
            NbdSocket.Reply read = client.call(Nbd.CMD_READ, 0, EXTENT_BYTES - 4096, EXTENT_BYTES + 8192, null);
            assertEquals(Nbd.ENOMEM, read.error);
            assertEquals(EXTENT_BYTES, read.errorOffset);
            // Only the first half of the write is done: the reply must neither be success nor say that a retry is safe.
            NbdSocket.Reply write = client.call(Nbd.CMD_WRITE, 0, EXTENT_BYTES - 4096, 8192, bytes(7, 8192));
            assertEquals(Nbd.EIO, write.error);
            harness.fault(1, NodeFault.Kind.REFUSE, 0);
            assertArrayEquals(Arrays.copyOf(bytes(7, 8192), 4096), client.read(EXTENT_BYTES - 4096, 4096, 0));
        }
    }

    @Test
    void flushAfterACrashFailsForLostWrites() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(1, "", "20s", "once");
                NbdSocket client = harness.client()) {
            assertEquals(0, client.call(Nbd.CMD_WRITE, 0, 0, 4096, bytes(8, 4096)).error);
            assertEquals(0, client.call(Nbd.CMD_FLUSH, 0, 0, 0, null).error);
            assertEquals(0, client.call(Nbd.CMD_WRITE, 0, 4096, 4096, bytes(9, 4096)).error);
            assertEquals(0, client.call(Nbd.CMD_WRITE, Nbd.FLAG_FUA, 8192, 4096, bytes(10, 4096)).error);
            harness.restartNode(0);
            NbdSocket.Reply flush = client.callWithRetries(Nbd.CMD_FLUSH, 0, 0, 0, null);
            assertEquals(Nbd.EIO, flush.error);
            assertTrue(flush.message.contains("lost writes"), flush.message);
            assertEquals(0, client.callWithRetries(Nbd.CMD_FLUSH, 0, 0, 0, null).error);
            assertArrayEquals(bytes(8, 4096), client.read(0, 4096, 0));
            assertArrayEquals(bytes(10, 4096), client.read(8192, 4096, 0));
        }
    }

    @Test
    void handshakeCutAtEachByte() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(1, "")) {
            byte[] handshake = NbdSocket.handshake("v");
            for (int cut = 0; cut <= handshake.length; cut++) {
                NbdSocket.raw(harness.address(), Arrays.copyOf(handshake, cut)).close();
            }
            try (NbdSocket slow = NbdSocket.bytewise(harness.address(), "v")) {
                assertArrayEquals(new byte[4096], slow.read(0, 4096, 0));
            }
            harness.awaitConnections(0);
        }
    }

    @Test
    void invalidHandshakeClosesOnlyThatConnection() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(1, "");
                NbdSocket bystander = harness.client()) {
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
            for (byte[] handshake : List.of(wrongMagic, huge, flags, many.array())) {
                assertTrue(NbdSocket.raw(harness.address(), handshake).endsAfter(1 << 20));
            }
            // An option that is too long but otherwise valid is skipped and answered.
            try (NbdSocket big = NbdSocket.raw(
                    harness.address(),
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
    void invalidRequestsGetErrorsAndTheConnectionStaysOpen() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(1, "");
                NbdSocket client = harness.client()) {
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
            // The payload of a 4 GiB write is too long to be skipped, so the server closes the connection.
            client.send(Nbd.CMD_WRITE, 0, 0, -1, null);
            assertTrue(client.endsAfter(1 << 10));
            try (NbdSocket other = harness.client()) {
                other.write(new byte[28]); // a request with the wrong magic
                assertTrue(other.endsAfter(1 << 10));
            }
        }
    }

    @Test
    void connectionsAndRequestsOverTheBoundsAreRejectedWithAMessage() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(
                        1, "bounds {\n  connections = 2\n  head_requests = 3\n  connection_requests = 8\n}\n");
                NbdSocket first = harness.client();
                NbdSocket second = harness.client()) {
            IOException refused = org.junit.jupiter.api.Assertions.assertThrows(IOException.class, harness::client);
            assertTrue(refused.getMessage().contains("2 connections, its most"), refused.getMessage());
            harness.fault(0, NodeFault.Kind.SILENCE, 1);
            for (int i = 0; i < 4; i++) {
                first.send(Nbd.CMD_READ, 0, 0, 512, null);
            }
            NbdSocket.Reply overBound = first.reply();
            assertEquals(Nbd.ENOMEM, overBound.error);
            assertTrue(overBound.message.contains("its most"), overBound.message);
            first.closeAbruptly();
            harness.fault(0, NodeFault.Kind.SILENCE, 0);
            harness.awaitConnections(1);
            assertArrayEquals(new byte[512], second.read(0, 512, 0));
            try (NbdSocket third = harness.client()) {
                assertArrayEquals(new byte[512], third.read(0, 512, 0));
            }
        }
    }

    @Test
    void memoryForAClientThatDoesNotReadIsBounded() throws Exception {
        try (DeploymentHarness harness = new DeploymentHarness(
                        1, "bounds {\n  connection_bytes = \"1MiB\"\n  head_bytes = \"4MiB\"\n}\n");
                NbdSocket nonReader = harness.client();
                NbdSocket bystander = harness.client()) {
            // 64 reads of 1 MiB whose replies are not read: the memory held for them stays within the bounds.
            int reads = 64;
            for (int i = 0; i < reads; i++) {
                nonReader.send(Nbd.CMD_READ, Nbd.FLAG_DF, 0, EXTENT_BYTES, null);
            }
            for (int i = 0; i < 20; i++) {
                assertArrayEquals(new byte[4096], bystander.read(4096, 4096, 0));
            }
            assertTrue(harness.bytesHeld() <= 5 << 20, "held " + harness.bytesHeld());
            for (int i = 0; i < reads; i++) {
                assertEquals(EXTENT_BYTES, nonReader.reply().data.length);
            }
        }
    }

    @Test
    void shutdownAnswersAcceptedRequestsAndStops() throws Exception {
        try (DeploymentHarness harness =
                new DeploymentHarness(1, "node \"n0\" {\n  shard = 0\n  base_work = \"100ms\"\n}\n")) {
            NbdSocket client = harness.client();
            long tag = client.send(Nbd.CMD_WRITE, 0, 0, 512, new byte[512]);
            harness.await(e -> e.kind() == Kind.ARRIVE && e.tag() == tag);
            harness.shutDown();
            assertEquals(0, client.reply().error);
            org.junit.jupiter.api.Assertions.assertThrows(EOFException.class, client::reply);
            harness.awaitStopped();
        }
    }

    /** Requests that came after SIGTERM on an open connection were read and dropped (review/10). */
    @Test
    void requestsSentAfterShutdownAreRefusedOverSockets() throws Exception {
        try (DeploymentHarness harness =
                new DeploymentHarness(1, "node \"n0\" {\n  shard = 0\n  base_work = \"100ms\"\n}\n")) {
            NbdSocket client = harness.client();
            long write = client.send(Nbd.CMD_WRITE, 0, 0, 512, new byte[512]);
            harness.await(e -> e.kind() == Kind.ARRIVE && e.tag() == write);
            harness.shutDown();
            int errors = 0;
            for (int i = 0; i < 7; i++) {
                client.send(Nbd.CMD_READ, 0, 0, 512, null);
            }
            for (int i = 0; i < 8; i++) {
                errors += client.reply().error == Nbd.ESHUTDOWN ? 1 : 0;
            }
            assertEquals(7, errors);
            org.junit.jupiter.api.Assertions.assertThrows(EOFException.class, client::reply);
            harness.awaitStopped();
        }
    }

    @Test
    void twoGatewaysShareOneLimitAndARestartGivesNoNewBurst() throws Exception {
        // 40 units per second with a burst of 20, shared by two gateways; the load on each exceeds that.
        try (DeploymentHarness harness = DeploymentHarness.limited(2, 40, 20, 4)) {
            for (int round = 0; round < 3; round++) {
                for (int gateway = 0; gateway < 2; gateway++) {
                    try (NbdSocket client = harness.client(gateway)) {
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
                harness.restartGateway(round % 2);
            }
            assertTrue(
                    harness.verdicts().stream().allMatch(v -> v.rule() != 7 || v.isKept() && v.checks() > 10),
                    harness.verdicts().toString());
        }
    }
}
