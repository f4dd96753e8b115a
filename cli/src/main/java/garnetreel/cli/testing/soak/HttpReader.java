package garnetreel.cli.testing.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages with Content-Length bodies from a blocking stream; supports only what the soak needs. */
final class HttpReader {
    private static final int MAX_HEADER_BYTES = 64 << 10;

    /**
     * An HTTP message.
     *
     * @param firstByte stream offset of the first byte
     * @param end stream offset after the last byte
     */
    record Message(String startLine, Map<String, String> headers, byte[] body, long firstByte, long end) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        /** The status code of a response; -1 if there is none. */
        int status() {
            String[] parts = startLine.split(" ");
            return parts.length > 1 && parts[1].matches("[0-9]{3}") ? Integer.parseInt(parts[1]) : -1;
        }
    }

    private final InputStream in;
    private long offset;

    HttpReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next message; null if the stream ends before its first byte. */
    Message read() throws IOException {
        ByteArrayOutputStream headerBytes = new ByteArrayOutputStream();
        long firstByte = offset;
        int lastFourBytes = 0;
        while (lastFourBytes != 0x0d0a0d0a) {
            int next = in.read();
            if (next < 0) {
                if (headerBytes.size() == 0) {
                    return null;
                }
                throw new IOException("connection closed within a message header");
            }
            offset++;
            headerBytes.write(next);
            lastFourBytes = lastFourBytes << 8 | next;
            if (headerBytes.size() > MAX_HEADER_BYTES) {
                throw new IOException("message header exceeds 64 KiB");
            }
        }
        String[] lines = headerBytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection closed within a message body");
        }
        offset += length;
        return new Message(lines[0], headers, body, firstByte, offset);
    }
}
