package garnetreel.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.nbd.HandshakeParser;
import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdRequestParser;
import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.nodelist.NodeListCodec;
import garnetreel.codec.nodelist.NodeListMessage;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Feeds the parsers complete messages, single bytes, damaged messages and random input. */
class ParsersTest {
    private static final List<NodeMessage> NODE_MESSAGES = List.of(
            new NodeMessage.Hello(3, 99),
            new NodeMessage.Welcome(4, 123_456_789L),
            new NodeMessage.Request(
                    7,
                    1,
                    88,
                    NodeMessage.Op.WRITE,
                    true,
                    false,
                    55,
                    2,
                    5,
                    3,
                    9,
                    17,
                    4096,
                    5,
                    ByteBuffer.wrap(new byte[] {1, 2, 3, 4, 5})),
            new NodeMessage.Request(
                    8, 0, 89, NodeMessage.Op.READ, false, true, -55, 2, 5, 3, 9, -1, 4096, 512, NodeMessage.noData()),
            new NodeMessage.Answer(
                    7, 1, NodeMessage.Result.FULL, 12, 13, 14, Map.of("outstanding", 3.5), ByteBuffer.wrap(new byte[] {9
                    })),
            new NodeMessage.Cancel(7, 2),
            new NodeMessage.Probe(5),
            new NodeMessage.ProbeReply(5, 6, Map.of()));
    private static final List<NodeListMessage> NODE_LIST_MESSAGES = List.of(
            new NodeListMessage.Subscribe(4, true, 17),
            new NodeListMessage.Fetch(2),
            new NodeListMessage.Failed("busy"),
            new NodeListMessage.NodeListUpdate(
                    NodeListMessage.Kind.DELTA,
                    4,
                    5,
                    List.of(new NodeListMessage.Entry(
                            "127.0.0.1:1", "zone-b", 3, NodeListMessage.State.DRAINING, 1.5, 42))),
            new NodeListMessage.Register(
                    new NodeListMessage.Entry("127.0.0.1:2", "", 0, NodeListMessage.State.UP, 1, 0)));

    private interface Parser {
        Object next(ByteQueue in) throws ProtocolException;
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    private static void assertDecodedByteByByte(Parser parser, ByteBuffer frame, Object expected)
            throws ProtocolException {
        byte[] bytes = bytes(frame);
        ByteQueue in = new ByteQueue();
        for (int i = 0; i < bytes.length; i++) {
            assertNull(parser.next(in), "decoded after only " + i + " bytes of " + bytes.length);
            in.add(ByteBuffer.wrap(bytes, i, 1).slice());
        }
        assertEquals(expected, parser.next(in));
        assertEquals(0, in.size());
    }

    @Test
    void messagesAreDecodedByteByByte() throws ProtocolException {
        for (NodeMessage message : NODE_MESSAGES) {
            assertDecodedByteByByte(NodeCodec::next, NodeCodec.frame(message), message);
        }
        for (NodeListMessage message : NODE_LIST_MESSAGES) {
            assertDecodedByteByByte(NodeListCodec::next, NodeListCodec.frame(message), message);
        }
    }

    @Test
    void eachFlippedBitIsDetected() {
        for (NodeMessage message : NODE_MESSAGES) {
            byte[] bytes = bytes(NodeCodec.frame(message));
            for (int bit = 0; bit < bytes.length * 8; bit++) {
                byte[] damaged = bytes.clone();
                damaged[bit / 8] ^= (byte) (1 << bit % 8);
                ByteQueue in = new ByteQueue();
                in.add(ByteBuffer.wrap(damaged));
                int at = bit / 8;
                // A damaged length may be longer, so that the parser waits for more bytes; all other damage is
                // rejected.
                if (at >= 8 && at < 12) {
                    try {
                        assertNull(NodeCodec.next(in));
                    } catch (ProtocolException expected) {
                        assertNotNull(expected.getMessage());
                    }
                } else {
                    assertThrows(ProtocolException.class, () -> NodeCodec.next(in), "bit " + bit);
                }
            }
        }
    }

    @Test
    void randomInputFailsOnlyWithProtocolExceptions() {
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 20_000; round++) {
            byte[] randomBytes = new byte[random.nextInt(200)];
            random.nextBytes(randomBytes);
            if (randomBytes.length > 28 && round % 2 == 0) {
                // A valid magic, so that the random bytes reach the fields after it.
                ByteBuffer.wrap(randomBytes).putInt(round % 4 == 0 ? LengthPrefixedFrames.MAGIC : Nbd.REQUEST_MAGIC);
            }
            ByteQueue in = new ByteQueue();
            in.add(ByteBuffer.wrap(randomBytes));
            for (Parser parser : List.<Parser>of(
                    NodeCodec::next,
                    NodeListCodec::next,
                    new HandshakeParser()::next,
                    new NbdRequestParser()::readHeader)) {
                try {
                    for (int i = 0; i < 10 && parser.next(in) != null; i++) {
                        assertTrue(in.size() <= randomBytes.length);
                    }
                } catch (ProtocolException expected) {
                    assertNotNull(expected.getMessage());
                }
            }
        }
    }

    @Test
    void randomBodiesInValidFramesFailOnlyWithProtocolExceptions() {
        SplittableRandom random = new SplittableRandom(12);
        for (int round = 0; round < 20_000; round++) {
            byte[] body = new byte[random.nextInt(120)];
            random.nextBytes(body);
            ByteBuffer frame = LengthPrefixedFrames.finish(
                    LengthPrefixedFrames.begin(random.nextInt(40), body.length).put(body));
            for (Parser parser : List.<Parser>of(NodeCodec::next, NodeListCodec::next)) {
                ByteQueue in = new ByteQueue();
                in.add(frame.duplicate());
                try {
                    assertNotNull(parser.next(in));
                } catch (ProtocolException expected) {
                    assertNotNull(expected.getMessage());
                }
            }
        }
    }

    @Test
    void optionLengthsAreBounded() throws ProtocolException {
        HandshakeParser parser = new HandshakeParser();
        ByteQueue in = new ByteQueue();
        in.add(ByteBuffer.allocate(4).putInt(3).flip());
        assertEquals(new HandshakeParser.Flags(3), parser.next(in));
        in.add(ByteBuffer.allocate(16)
                .putLong(Nbd.OPTION_MAGIC)
                .putInt(7)
                .putInt(HandshakeParser.MAX_OPTION_BYTES + 1)
                .flip());
        for (int sent = 0; sent <= HandshakeParser.MAX_OPTION_BYTES; sent += 1024) {
            assertNull(parser.next(in));
            assertTrue(in.size() <= 1024, "queue holds " + in.size());
            in.add(ByteBuffer.allocate(Math.min(1024, HandshakeParser.MAX_OPTION_BYTES + 1 - sent)));
        }
        HandshakeParser.Option option = (HandshakeParser.Option) parser.next(in);
        assertEquals(7, option.code());
        assertNull(option.data());
        in.add(ByteBuffer.allocate(16)
                .putLong(Nbd.OPTION_MAGIC)
                .putInt(7)
                .putInt(-1)
                .flip());
        assertThrows(ProtocolException.class, () -> parser.next(in));
    }

    @Test
    void payloadsAreKeptOrSkipped() throws ProtocolException {
        NbdRequestParser parser = new NbdRequestParser();
        ByteQueue in = new ByteQueue();
        parser.beginPayload(3);
        in.add(ByteBuffer.wrap(new byte[] {1, 2}));
        assertEquals(false, parser.readPayload(in));
        in.add(ByteBuffer.wrap(new byte[] {3, 4}));
        assertEquals(true, parser.readPayload(in));
        assertArrayEquals(new byte[] {1, 2, 3}, parser.takePayload());
        parser.skipPayload(1);
        assertEquals(true, parser.readPayload(in));
        assertNull(parser.takePayload());
        assertThrows(ProtocolException.class, () -> parser.skipPayload(NbdRequestParser.MAX_SKIPPED_BYTES + 1L));
    }
}
