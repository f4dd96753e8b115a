package garnetreel.core.server.rsync;

import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.Rsync;
import garnetreel.files.FileEntry;
import java.util.function.LongSupplier;

/** Where the files of a push are stored in a module, and with which modes and times. */
final class PushTarget {
    private static final int PERMISSIONS_MASK = 0777;
    private static final int MODE_MASK = 07777;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final String module;
    private final String directory;
    private final TransferOptions options;
    private final LongSupplier nowMicros;
    private String singleFilePath;

    /**
     * @param directory path of the destination in the module; "" for its root
     * @param nowMicros the current time
     */
    PushTarget(String module, String directory, TransferOptions options, LongSupplier nowMicros) {
        this.module = module;
        this.directory = directory;
        this.options = options;
        this.nowMicros = nowMicros;
    }

    String module() {
        return module;
    }

    String directory() {
        return directory;
    }

    /** Stores the only file of the push under the destination's path, and not in a directory of that path. */
    void storeSingleFile() {
        singleFilePath = directory;
    }

    boolean isSingleFile() {
        return singleFilePath != null;
    }

    String path(FileItem item) {
        return singleFilePath != null ? singleFilePath : FileNames.join(directory, item.name());
    }

    /** The part of a path below the destination. */
    String relativePath(String path) {
        return directory.isEmpty() ? path : path.substring(directory.length() + 1);
    }

    /**
     * The mode of a pushed entry: the client's if it asked for that, else the stored one.
     *
     * @param old the stored entry; null if there is none
     * @param directoryMode permissions of a new directory
     */
    int mode(FileItem item, FileEntry old, int directoryMode) {
        if (options.perms) {
            return item.mode();
        }
        int permissions;
        if (old != null) {
            permissions = old.mode() & MODE_MASK;
        } else {
            permissions = item.isDirectory() ? directoryMode : item.mode() & PERMISSIONS_MASK;
        }
        return item.mode() & Rsync.FILE_TYPE_MASK | permissions;
    }

    /** The modification time of a pushed entry, in seconds: the client's if it asked for that, else now. */
    long time(FileItem item) {
        return options.times ? item.modified() : nowSeconds();
    }

    long nowSeconds() {
        return nowMicros.getAsLong() / MICROS_PER_SECOND;
    }
}
