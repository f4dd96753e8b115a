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
    void recordsSurviveReopeningAndNumbersAreConsecutive() throws IOException {
        Path file = temp.resolve("missing/journal");
        write(file, 3);
        try (Journal journal = new Journal(file)) {
            assertEquals(3, journal.contents().records().size());
            assertThrows(IllegalArgumentException.class, () -> journal.append(5, new byte[0]));
            journal.append(4, new byte[] {4});
            assertEquals(4, journal.contents().records().get(3)[0]);
        }
    }

    @Test
    void truncatedFileOpensWithAPrefixOfTheRecords() throws IOException {
        Path file = temp.resolve("journal");
        write(file, 20);
        byte[] complete = Files.readAllBytes(file);
        int opened = 0;
        for (int cut = complete.length; cut > complete.length / 2; cut -= 997) {
            Path truncated = temp.resolve("truncated-" + cut);
            Files.write(truncated, Arrays.copyOf(complete, cut));
            try (Journal journal = new Journal(truncated)) {
                List<byte[]> records = journal.contents().records();
                for (int i = 0; i < records.size(); i++) {
                    assertEquals(i + 1, records.get(i)[0], "cut at " + cut);
                }
                opened++;
            } catch (IOException openFailure) {
                // The only other permitted outcome: opening fails with a clear error.
                assertTrue(openFailure.getMessage().contains("can't be opened"));
            }
        }
        assertTrue(opened > 0);
    }

    @Test
    void snapshotReplacesTheRecordsItCoversAtomically() throws IOException {
        Path file = temp.resolve("journal");
        write(file, 30);
        try (Journal journal = new Journal(file)) {
            journal.snapshot(25, new byte[] {25}, 10);
            assertThrows(IllegalArgumentException.class, () -> journal.snapshot(31, new byte[0], 10));
            journal.append(31, new byte[] {31});
        }
        byte[] complete = Files.readAllBytes(file);
        for (int cut = complete.length; cut > 4096; cut -= 509) {
            Path truncated = temp.resolve("cut-" + cut);
            Files.write(truncated, Arrays.copyOf(complete, cut));
            try (Journal journal = new Journal(truncated)) {
                Journal.Contents contents = journal.contents();
                if (contents.records().isEmpty()) {
                    assertEquals(
                            null, contents.snapshot(), "snapshot without the records retained with it, cut at " + cut);
                    continue;
                }
                // Without the snapshot the first record is 1; with it the records retained from before it begin at 16.
                assertEquals(
                        contents.snapshot() == null ? 1 : 16, contents.records().get(0)[0], "cut at " + cut);
                assertTrue(contents.snapshot() == null || contents.records().size() >= 15);
            } catch (IOException openFailure) {
                assertTrue(openFailure.getMessage().contains("can't be opened"));
            }
        }
    }

    @Test
    void snapshotsBoundTheFileSize() throws IOException {
        Path file = temp.resolve("journal");
        try (Journal journal = new Journal(file)) {
            for (int i = 1; i <= 600; i++) {
                journal.append(i, new byte[2_000]);
                if (i % 50 == 0) {
                    journal.snapshot(i, new byte[10_000], 20);
                }
            }
            assertEquals(20, journal.contents().records().size());
        }
        assertTrue(Files.size(file) < 600 * 2_000 / 2, Files.size(file) + " bytes");
    }
}
