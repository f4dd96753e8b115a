package garnetreel.testbed.client;

import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.Rsync;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** The local files of an rsync client, with the contents that a pull of each may return. */
final class LocalFiles {
    private static final int PAGE_BYTES = 4096;
    private static final int DIRECTORIES = 3;
    private static final int DIRECTORY_MODE = Rsync.DIRECTORY | 0755;
    private static final int FILE_MODE = Rsync.REGULAR | 0644;
    /** Modification time of the directories, which never change. */
    private static final int DIRECTORY_MTIME = 1;

    private static final class LocalFile {
        byte[] current;
        long modifiedAt;
        /** The version sent by the last complete push; null before the first. */
        byte[] pushed;
        /** Versions sent by incomplete pushes since then; the server may have stored any of them. */
        final List<byte[]> possiblyPushed = new ArrayList<>();

        boolean isPossibleServerVersion(byte[] contents) {
            return Arrays.equals(contents, pushed)
                    || possiblyPushed.stream().anyMatch(version -> Arrays.equals(contents, version));
        }
    }

    private final SplittableRandom random;
    private final Map<String, LocalFile> files = new TreeMap<>();

    LocalFiles(RsyncLoadSettings settings, SplittableRandom random) {
        this.random = random;
        int sizeRange = Math.max(1, settings.maxBytes() - settings.minBytes());
        for (int i = 0; i < settings.files(); i++) {
            LocalFile file = new LocalFile();
            file.current = randomBytes(settings.minBytes() + random.nextInt(sizeRange));
            file.modifiedAt = i + 1;
            files.put(directoryName(i % DIRECTORIES) + "/page-" + i, file);
        }
    }

    private static String directoryName(int number) {
        return "ward-" + number;
    }

    private byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return bytes;
    }

    /** Overwrites a page at a random position of a random file, a number of times. */
    void modifyRandomPages(int count) {
        List<LocalFile> candidates = new ArrayList<>(files.values());
        for (int i = 0; i < count; i++) {
            LocalFile file = candidates.get(random.nextInt(candidates.size()));
            byte[] changed = file.current.clone();
            if (changed.length > 0) {
                byte[] page = randomBytes(Math.min(PAGE_BYTES, changed.length));
                System.arraycopy(page, 0, changed, random.nextInt(changed.length - page.length + 1), page.length);
            }
            file.current = changed;
            file.modifiedAt++;
        }
    }

    byte[] contents(String name) {
        return files.get(name).current;
    }

    /** The file list that a push sends: all files and directories, in the protocol's order. */
    List<FileItem> items() {
        List<FileItem> items = new ArrayList<>();
        items.add(new FileItem(".", DIRECTORY_MODE, 0, DIRECTORY_MTIME, "", null));
        for (int directory = 0; directory < DIRECTORIES; directory++) {
            items.add(new FileItem(directoryName(directory), DIRECTORY_MODE, 0, DIRECTORY_MTIME, "", null));
        }
        files.forEach((name, file) ->
                items.add(new FileItem(name, FILE_MODE, file.current.length, file.modifiedAt, "", null)));
        items.sort(FileItem.ORDER);
        return items;
    }

    /** Records that a push of the current contents ended. */
    void recordPush(boolean complete) {
        for (LocalFile file : files.values()) {
            if (complete) {
                file.pushed = file.current;
                file.possiblyPushed.clear();
            } else if (file.current != file.pushed) {
                file.possiblyPushed.add(file.current);
            }
        }
    }

    /** Names of completely pushed files that a file list lacks. */
    List<String> pushedFilesMissingFrom(List<FileItem> items) {
        List<String> missing = new ArrayList<>();
        files.forEach((name, file) -> {
            if (file.pushed != null
                    && items.stream().noneMatch(item -> item.name().equals(name))) {
                missing.add(name);
            }
        });
        return missing;
    }

    /** Whether a pull may return these contents; a file that is not one of these may have any. */
    boolean isValidPull(String name, byte[] contents) {
        LocalFile file = files.get(name);
        return file == null || file.isPossibleServerVersion(contents);
    }
}
