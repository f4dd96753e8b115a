package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.ProtocolException;
import org.junit.jupiter.api.Test;

/** The states of one connection. */
class UpstreamConnectionTest {
    private final UpstreamConnection connection = UpstreamTestData.connection(-1, "s-1", 5);

    @Test
    void aRequestIsSentOnceItsLastByteIsWritten() {
        assertFalse(connection.isRequestSent(), "the connection is not open");
        connection.opened();
        connection.requestWriteStarted(100, 9);
        assertEquals(9, connection.lastTransitionAt());
        connection.bytesWritten(99);
        assertTrue(connection.hasUnsentBytes());
        assertFalse(connection.isRequestSent());
        connection.bytesWritten(1);
        assertTrue(connection.isRequestSent());
    }

    @Test
    void anAttemptOrAHealthCheckIsAssignedUntilRelease() {
        UpstreamAttempt attempt = UpstreamTestData.attempt(1, 0, 100);
        assertFalse(connection.isAssigned());
        connection.assign(attempt);
        assertTrue(connection.isAssigned());
        assertSame(attempt, connection.attempt());
        connection.release();
        assertFalse(connection.isAssigned());
        assertNull(connection.attempt());
        connection.assignHealthCheck();
        assertTrue(connection.isAssigned());
        assertTrue(connection.isHealthCheck());
        connection.release();
        assertFalse(connection.isHealthCheck());
    }

    @Test
    void aResponseWithoutALengthIsCompletedByTheClose() throws ProtocolException {
        assertNull(connection.responseCompletedByClose());
        assertNull(connection.read(UpstreamTestData.bytes("HTTP/1.1 200 OK\r\n\r\nresult")));
        assertEquals("result".length(), connection.parserBufferedBytes());
        assertNotNull(connection.responseCompletedByClose());
    }

    @Test
    void aTruncatedResponseIsNotCompletedByTheClose() throws ProtocolException {
        assertNull(connection.read(UpstreamTestData.bytes("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nresult")));
        assertNull(connection.responseCompletedByClose());
    }
}
