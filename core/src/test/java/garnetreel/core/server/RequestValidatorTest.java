package garnetreel.core.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdRequestParser.Header;
import garnetreel.core.ExtentLayout;
import garnetreel.core.Volume;
import garnetreel.core.server.RequestValidator.RequestError;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestValidatorTest {
    private static final int SIZE = 1000;
    private static final int MAX_PAYLOAD = 100;

    private static RequestError validate(
            boolean readOnly, boolean negotiated, int flags, int type, long offset, long length) {
        Volume volume = new Volume(
                1, "disk", "", SIZE, readOnly, "gold", "r", "w", "f", 0, ExtentLayout.fixed(SIZE, List.of(0)));
        return new RequestValidator(volume, MAX_PAYLOAD, negotiated, negotiated)
                .validate(new Header(flags, type, 7, offset, length));
    }

    private static RequestError validate(int flags, int type, long offset, long length) {
        return validate(false, false, flags, type, offset, length);
    }

    @Test
    void requestsWithinTheVolumeAreValid() {
        assertNull(validate(0, Nbd.CMD_READ, SIZE - 1, 1));
        assertNull(validate(Nbd.FLAG_FUA, Nbd.CMD_WRITE, 0, MAX_PAYLOAD));
        assertNull(validate(0, Nbd.CMD_TRIM, 0, SIZE));
        assertNull(validate(Nbd.FLAG_NO_HOLE, Nbd.CMD_WRITE_ZEROES, 0, SIZE));
        assertNull(validate(0, Nbd.CMD_FLUSH, 0, 0));
        assertNull(validate(false, true, Nbd.FLAG_REQ_ONE, Nbd.CMD_BLOCK_STATUS, 0, SIZE));
    }

    @Test
    void flagsMustMatchTheTypeAndTheNegotiatedOptions() {
        assertEquals(
                new RequestError(Nbd.EINVAL, "flags 0x4 are not valid for request type 0"),
                validate(Nbd.FLAG_DF, Nbd.CMD_READ, 0, 1));
        assertNull(validate(false, true, Nbd.FLAG_DF, Nbd.CMD_READ, 0, 1));
        assertEquals(
                new RequestError(Nbd.EINVAL, "no metadata context was negotiated"),
                validate(0, Nbd.CMD_BLOCK_STATUS, 0, 1));
    }

    @Test
    void rangePastTheEndIsNoSpaceForWritesAndInvalidOtherwise() {
        String message = "offset 999 and length 2 pass the end at 1000";
        assertEquals(new RequestError(Nbd.ENOSPC, message), validate(0, Nbd.CMD_WRITE, 999, 2));
        assertEquals(new RequestError(Nbd.EINVAL, message), validate(0, Nbd.CMD_READ, 999, 2));
        assertEquals(new RequestError(Nbd.EINVAL, message), validate(0, Nbd.CMD_TRIM, 999, 2));
        assertEquals(
                new RequestError(Nbd.EINVAL, "offset 18446744073709551615 and length 1 pass the end at 1000"),
                validate(0, Nbd.CMD_READ, -1, 1));
    }

    @Test
    void readOnlyExportRejectsWrites() {
        assertEquals(
                new RequestError(Nbd.EPERM, "the export is read-only"), validate(true, false, 0, Nbd.CMD_WRITE, 0, 1));
        assertNull(validate(true, false, 0, Nbd.CMD_READ, 0, 1));
    }

    @Test
    void invalidLengthsAndTypesAreRejected() {
        assertEquals(new RequestError(Nbd.EINVAL, "a length of 0"), validate(0, Nbd.CMD_READ, 0, 0));
        assertEquals(new RequestError(Nbd.EINVAL, "a length of 101, 100 at most"), validate(0, Nbd.CMD_READ, 0, 101));
        assertEquals(
                new RequestError(Nbd.EINVAL, "a flush has neither offset nor length"),
                validate(0, Nbd.CMD_FLUSH, 0, 1));
        assertEquals(new RequestError(Nbd.EINVAL, "unknown request type 99"), validate(0, 99, 0, 1));
    }
}
