package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The deadlines of a call to discovery, and the objects parsed from its response. */
class DiscoveryCallTest {
    private static final long SILENCE_TIMEOUT = 3_000_000;
    private static final String STREAM_HEADER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final DiscoveryCall watch = new DiscoveryCall(-1, true, SILENCE_TIMEOUT, 100);
    private final DiscoveryCall poll = new DiscoveryCall(-2, false, SILENCE_TIMEOUT, 100);

    @Test
    void eachPhaseHasItsOwnTimeout() throws ProtocolException {
        assertEquals(100 + 1_000_000, watch.deadline(), "connect timeout");
        watch.markConnected(200);
        assertTrue(watch.isConnected());
        assertEquals(200, watch.connectedAt());
        assertEquals(200 + 2_600_000, watch.deadline(), "timeout of the first response");
        assertNull(watch.read(UpstreamTestData.bytes(STREAM_HEADER), 300));
        assertEquals(300 + SILENCE_TIMEOUT, watch.deadline(), "timeout of the next update");
    }

    @Test
    void aWatchReturnsObjectsAsTheyAreReceived() throws ProtocolException {
        assertNull(watch.read(UpstreamTestData.bytes(STREAM_HEADER + "8\r\n{\"a\":1}\n\r\n4\r\n{\"b\"\r\n"), 200));
        assertTrue(watch.isStreaming());
        assertEquals(1, watch.takeObjects().size());
        assertNull(watch.read(UpstreamTestData.bytes("3\r\n:2}\r\n"), 300));
        assertEquals("{\"b\":2}", new String(watch.takeObjects().get(0), StandardCharsets.UTF_8));
        assertNotNull(
                watch.read(UpstreamTestData.bytes("0\r\n\r\n"), 400), "the end of the stream completes the response");
    }

    @Test
    void aRejectedWatchDoesNotStream() throws ProtocolException {
        HttpResponse response =
                watch.read(UpstreamTestData.bytes("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), 200);
        assertEquals(503, response.status());
        assertFalse(watch.isStreaming());
    }

    @Test
    void aPollReturnsTheObjectsOfItsCompleteResponse() throws ProtocolException {
        assertNull(poll.read(UpstreamTestData.bytes("HTTP/1.1 200 OK\r\n\r\n{\"a\":1}"), 200));
        assertFalse(poll.isStreaming());
        HttpResponse response = poll.responseCompletedByClose();
        assertEquals(1, poll.objectsOf(response).size());
    }
}
