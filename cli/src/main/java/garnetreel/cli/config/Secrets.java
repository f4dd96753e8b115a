package garnetreel.cli.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads the users of a module from a file that only its owner may access: one line {@code name:password} per user. */
final class Secrets {
    private static final Set<PosixFilePermission> OWNER_ONLY =
            Set.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE, PosixFilePermission.OWNER_EXECUTE);

    private Secrets() {}

    /**
     * Reads a secrets file.
     *
     * @return passwords by user
     * @throws IOException when the file can't be read, others may access it, or a line is malformed; the message says which
     */
    static Map<String, String> read(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new IOException("names " + file + ", which does not exist");
        }
        if (!OWNER_ONLY.containsAll(Files.getPosixFilePermissions(file))) {
            throw new IOException("names " + file + ", which users other than its owner may access; chmod 600 it");
        }
        Map<String, String> users = new TreeMap<>();
        int lineNumber = 0;
        for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
            lineNumber++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            int colon = line.indexOf(':');
            if (colon < 1 || colon == line.length() - 1) {
                throw new IOException("names " + file + ", whose line " + lineNumber + " is not name:password");
            }
            users.put(line.substring(0, colon), line.substring(colon + 1));
        }
        if (users.isEmpty()) {
            throw new IOException("names " + file + ", which has no users");
        }
        return users;
    }
}
