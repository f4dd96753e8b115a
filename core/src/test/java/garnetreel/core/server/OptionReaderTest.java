package garnetreel.core.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.codec.nbd.Nbd;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class OptionReaderTest {
    private static OptionReader reader(int... bytes) {
        ByteBuffer data = ByteBuffer.allocate(bytes.length);
        for (int value : bytes) {
            data.put((byte) value);
        }
        return new OptionReader(data.array());
    }

    private static String error(Executable read) {
        return assertThrows(InvalidOptionException.class, read).getMessage();
    }

    @Test
    void fieldsAreReadInOrder() throws Exception {
        OptionReader data = reader(0, 0, 0, 2, 'a', 'b', 0xff, 0xfe, 0, 0, 1, 0, 'c');
        assertEquals("ab", data.text());
        assertEquals(0xfffe, data.unsignedShort());
        assertEquals(256, data.integer());
        assertEquals("c", data.remainingText());
        data.end();
    }

    @Test
    void truncatedDataIsRejected() {
        String truncated = "the option is cut short";
        assertEquals(truncated, error(() -> reader(0).unsignedShort()));
        assertEquals(truncated, error(() -> reader(0, 0, 0).integer()));
        assertEquals(truncated, error(() -> reader(0, 0, 0, 2, 'a').text()));
        assertEquals(truncated, error(() -> reader(0xff, 0xff, 0xff, 0xff, 'a').text()));
    }

    @Test
    void trailingDataIsRejected() {
        assertEquals("the option has 2 bytes too many", error(() -> reader(1, 2).end()));
    }

    @Test
    void nameMustBeUtf8AndNotTooLong() {
        assertEquals("a name is not UTF-8", error(() -> reader(0, 0, 0, 1, 0xff).text()));
        OptionReader longName = new OptionReader(new byte[Nbd.MAX_STRING_BYTES + 1]);
        assertEquals(
                "a name of " + (Nbd.MAX_STRING_BYTES + 1) + " bytes, " + Nbd.MAX_STRING_BYTES + " at most",
                error(longName::remainingText));
    }
}
