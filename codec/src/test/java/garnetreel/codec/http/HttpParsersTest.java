package garnetreel.codec.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Valid and invalid input of the HTTP parsers, from clients and from endpoints. */
class HttpParsersTest {
    private static final String VALID_REQUEST =
            "PUT /write?x=1 HTTP/1.1\r\nHost: a\r\nTier:  gold \r\nContent-Length: 3\r\n\r\nabc";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void requestsAreParsedInOnePieceAndByteByByte() throws ProtocolException {
        HttpRequestParser parser = new HttpRequestParser();
        ByteBuffer twoRequests = bytes(VALID_REQUEST + VALID_REQUEST);
        HttpRequest first = parser.next(twoRequests);
        assertEquals("PUT", first.method());
        assertEquals("/write", first.path());
        assertEquals("gold", first.fields().singleValue("tier"));
        assertArrayEquals("abc".getBytes(StandardCharsets.US_ASCII), first.body());
        assertEquals(
                VALID_REQUEST.length(),
                twoRequests.remaining(),
                "the parser consumes no bytes after the end of the request");
        HttpRequest second = null;
        while (twoRequests.hasRemaining()) {
            assertNull(second);
            second = parser.next(bytes(String.valueOf((char) twoRequests.get())));
        }
        assertNotNull(second);
        assertFalse(parser.hasPartialMessage());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n\r\n",
                "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
                "GET  HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET a HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET / HTTP/1.1\nHost: a\n\n",
                "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\0\r\n\r\n",
                "GET / HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1a\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n"
            })
    void invalidRequestsAreRejected(String text) {
        assertThrows(ProtocolException.class, () -> new HttpRequestParser().next(bytes(text)));
    }

    /** A header section without end, of many fields or of one long line, is rejected when it exceeds a limit. */
    @Test
    void headerSectionsAreBounded() {
        HttpRequestParser fields = new HttpRequestParser();
        assertThrows(ProtocolException.class, () -> {
            assertNull(fields.next(bytes("GET / HTTP/1.1\r\n")));
            for (int i = 0; i < 1_000; i++) {
                assertNull(fields.next(bytes("a: b\r\n")));
            }
        });
        HttpRequestParser line = new HttpRequestParser();
        assertThrows(ProtocolException.class, () -> {
            for (int i = 0; i < 1_000; i++) {
                assertNull(line.next(bytes("a".repeat(100))));
            }
        });
    }

    @Test
    void responsesAreParsedAndInterimOnesSkipped() throws ProtocolException {
        HttpResponseParser parser = new HttpResponseParser(100);
        ByteBuffer in = bytes("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
                + "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x\r\nd\r\n0\r\n\r\nbehind");
        HttpResponse sized = parser.next(in);
        assertEquals("ab", new String(sized.body(), StandardCharsets.US_ASCII));
        assertTrue(sized.reusable());
        assertEquals("abcd", new String(parser.next(in).body(), StandardCharsets.US_ASCII));
        assertEquals("behind".length(), in.remaining());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 099 No\r\n\r\n",
                "HTTP/1.1 2x0 No\r\n\r\n",
                "HTTP/1.1 2000 No\r\n\r\n",
                "HTTP/2 200 OK\r\n\r\n",
                "garbage\r\n",
                "HTTP/1.1 101 Switching\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\n" + "endless, and past the bound of a hundred bytes ........"
                        + ".......................................................",
                "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFF\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n01234567890123456789012345678901234567890123456789"
                        + "012345678901234567890123456789012345678901234567890123456789"
            })
    void invalidResponsesAreRejected(String text) {
        assertThrows(ProtocolException.class, () -> new HttpResponseParser(100).next(bytes(text)));
    }

    /** A response without a length is complete when its connection has been closed properly, and not before. */
    @Test
    void aResponseWithoutALengthEndsWithItsConnection() throws ProtocolException {
        HttpResponseParser parser = new HttpResponseParser(100);
        assertNull(parser.next(bytes("HTTP/1.1 200 OK\r\nA: b\r\n\r\nab")));
        assertNull(parser.next(bytes("cd")));
        HttpResponse response = parser.connectionEnded();
        assertEquals("abcd", new String(response.body(), StandardCharsets.US_ASCII));
        assertFalse(response.reusable());
        HttpResponseParser truncated = new HttpResponseParser(100);
        assertNull(truncated.next(bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")));
        assertNull(truncated.connectionEnded(), "the body is shorter than its Content-Length");
        assertNull(new HttpResponseParser(100).connectionEnded());
    }

    /** Randomly damaged messages are rejected with a ProtocolException or incomplete; nothing else is thrown. */
    @Test
    void damagedMessagesFailOnlyWithProtocolExceptions() {
        Random random = new Random(7);
        for (int round = 0; round < 2_000; round++) {
            byte[] damaged = (random.nextBoolean()
                            ? VALID_REQUEST
                            : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            for (int i = random.nextInt(4); i >= 0; i--) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            }
            try {
                new HttpRequestParser().next(ByteBuffer.wrap(damaged));
            } catch (ProtocolException e) {
                assertNotNull(e.getMessage());
            }
            try {
                new HttpResponseParser(100).next(ByteBuffer.wrap(damaged));
            } catch (ProtocolException e) {
                assertNotNull(e.getMessage());
            }
        }
    }
}
