package garnetreel.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JournalTest {
    @TempDir
    Path temp;

    private void write(Path file, int records) throws IOException {
        try (Journal journal = new Journal(file)) {
            for (int i = 1; i <= records; i++) {
                journal.append(i, new byte[] {(byte) i});
            }
        }
    }

    @Test
    void recordsAreThereAfterReopeningAndCountUp() throws IOException {
        Path file = temp.resolve("deep/journal");
        write(file, 3);
        try (Journal journal = new Journal(file)) {
            assertEquals(3, journal.kept().records().size());
            assertThrows(IllegalArgumentException.class, () -> journal.append(5, new byte[0]));
            journal.append(4, new byte[] {4});
            assertEquals(4, journal.kept().records().get(3)[0]);
        }
    }

    @Test
    void fileTornAtItsTailOpensWithAPrefixOfTheRecords() throws IOException {
        Path file = temp.resolve("journal");
        write(file, 20);
        byte[] whole = Files.readAllBytes(file);
        int opened = 0;
        for (int cut = whole.length; cut > whole.length / 2; cut -= 997) {
            Path torn = temp.resolve("torn-" + cut);
            Files.write(torn, Arrays.copyOf(whole, cut));
            try (Journal journal = new Journal(torn)) {
                List<byte[]> records = journal.kept().records();
                for (int i = 0; i < records.size(); i++) {
                    assertEquals(i + 1, records.get(i)[0], "cut at " + cut);
                }
                opened++;
            } catch (IOException refused) {
                // A clear error is the other honest outcome: nothing is guessed.
                assertTrue(refused.getMessage().contains("can't be opened"));
            }
        }
        assertTrue(opened > 0);
    }
}
