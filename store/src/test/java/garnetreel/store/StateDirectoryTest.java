package garnetreel.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StateDirectoryTest {
    @TempDir
    Path temp;

    @Test
    void lastWrittenStateIsRead() throws IOException {
        StateDirectory states = new StateDirectory(temp.resolve("a/b"));
        assertEquals(Optional.empty(), states.read("nodes"));
        states.write("nodes", new byte[] {1});
        states.write("nodes", new byte[] {2, 3});
        assertArrayEquals(
                new byte[] {2, 3},
                new StateDirectory(temp.resolve("a/b")).read("nodes").orElseThrow());
    }

    @Test
    void truncatedOrDamagedFileIsReadAsAbsent() throws IOException {
        StateDirectory states = new StateDirectory(temp);
        states.write("nodes", new byte[] {4, 5, 6});
        byte[] complete = Files.readAllBytes(temp.resolve("nodes"));
        for (int length = 0; length < complete.length; length++) {
            Files.write(temp.resolve("nodes"), Arrays.copyOf(complete, length));
            assertTrue(states.read("nodes").isEmpty(), "truncated to " + length);
            assertTrue(Files.exists(temp.resolve("nodes.torn")));
        }
        for (int offset = 0; offset < complete.length; offset++) {
            byte[] damaged = complete.clone();
            damaged[offset] ^= 8;
            Files.write(temp.resolve("nodes"), damaged);
            assertTrue(states.read("nodes").isEmpty(), "damaged byte " + offset);
        }
    }

    @Test
    void previousStateSurvivesAnInterruptedReplacement() throws IOException {
        StateDirectory states = new StateDirectory(temp);
        states.write("nodes", new byte[] {7});
        Files.write(temp.resolve("nodes.new"), new byte[] {1, 2}); // left behind by a killed writer
        assertArrayEquals(new byte[] {7}, states.read("nodes").orElseThrow());
    }

    @Test
    void namesThatLeaveTheDirectoryAreRejected() throws IOException {
        StateDirectory states = new StateDirectory(temp);
        assertThrows(IllegalArgumentException.class, () -> states.write("../x", new byte[0]));
        assertThrows(IllegalArgumentException.class, () -> states.read("a/b"));
    }
}
