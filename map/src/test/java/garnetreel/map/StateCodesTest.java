package garnetreel.map;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards the codes and labels of states, which journals, nodes and operator scripts use, against changes when the
 * constants are renamed or reordered.
 */
class StateCodesTest {
    @Test
    void migrationStatesKeepTheirCodesAndLabels() {
        Map<String, Integer> codes = new LinkedHashMap<>();
        for (Migration.State state : Migration.State.values()) {
            codes.put(state.label(), state.code());
            assertEquals(state, Migration.State.ofCode(state.code()));
        }
        assertEquals(Map.of("copying", 0, "fencing", 1, "switched", 2, "aborting", 3, "done", 4, "aborted", 5), codes);
        assertEquals(0, Migration.State.COPYING.code());
        assertEquals(1, Migration.State.FENCING.code());
        assertEquals(2, Migration.State.SWITCHED.code());
        assertEquals(3, Migration.State.ABORTING.code());
        assertEquals(4, Migration.State.DONE.code());
        assertEquals(5, Migration.State.ABORTED.code());
    }

    @Test
    void unknownMigrationStateCodeIsReportedAsCorruption() {
        for (int code : List.of(-1, 6, 127)) {
            assertThrows(CorruptJournalException.class, () -> Migration.State.ofCode(code));
        }
    }

    @Test
    void adoptionStatesKeepTheirCodes() {
        assertEquals(0, Adoption.State.SERVING.code());
        assertEquals(1, Adoption.State.FENCED.code());
        assertEquals(2, Adoption.State.RECEIVING.code());
        assertEquals(3, Adoption.State.GONE.code());
        assertEquals(4, Adoption.State.values().length);
        for (Adoption.State state : Adoption.State.values()) {
            assertEquals(state, Adoption.State.ofCode(state.code()));
        }
        assertEquals(Adoption.State.GONE, Adoption.State.ofCode(4));
        assertEquals(Adoption.State.GONE, Adoption.State.ofCode(255));
    }

    @Test
    void journalRecordOfAMigrationEndsWithTheStateCode() {
        for (Migration.State state : Migration.State.values()) {
            Migration migration = new Migration(1, 7, 5, 0, 1, 1, 0, state);
            Transaction t = new Transaction(1, 1, 1, "", 0, "", List.of(), migration, null);
            byte[] bytes = t.bytes();
            assertEquals(state.code(), bytes[bytes.length - 1]);
            assertEquals(t, Transaction.of(bytes));
        }
    }
}
