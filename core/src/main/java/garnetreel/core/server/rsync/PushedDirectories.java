package garnetreel.core.server.rsync;

import garnetreel.codec.rsync.FileItem;
import garnetreel.files.Catalogue;
import garnetreel.files.FileEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Determines the directories and symbolic links that a push creates before any file is requested. */
final class PushedDirectories {
    private static final int DIRECTORY_MODE = 0755;

    private final Catalogue catalogue;
    private final PushTarget target;
    private final TransferOptions options;
    private final Set<String> addedPaths = new HashSet<>();
    private List<FileEntry> changed = new ArrayList<>();

    PushedDirectories(Catalogue catalogue, PushTarget target, TransferOptions options) {
        this.catalogue = catalogue;
        this.target = target;
        this.options = options;
    }

    /** Number of entries that were added since {@link #takeChanged}. */
    int changedCount() {
        return changed.size();
    }

    /** The entries that were added since the last call, parents before what they contain. */
    List<FileEntry> takeChanged() {
        List<FileEntry> taken = changed;
        changed = new ArrayList<>();
        return taken;
    }

    /** Adds the destination of the push with the directories above it. */
    void addDestination() {
        String directory = target.directory();
        addMissing(target.isSingleFile() ? FileNames.parent(directory) : directory);
    }

    /** Adds a directory or symbolic link of the client, if it differs from what is stored. */
    void add(FileItem item) {
        String path = target.path(item);
        FileEntry old = catalogue.planned(target.module(), path);
        if (options.existing && old == null) {
            return;
        }
        addMissing(FileNames.parent(path));
        FileEntry entry = item.isDirectory()
                ? FileEntry.directory(target.module(), path, target.mode(item, old, DIRECTORY_MODE), target.time(item))
                : FileEntry.link(target.module(), path, item.mode(), target.time(item), item.target());
        if (!isStored(old, entry) && addedPaths.add(path)) {
            changed.add(entry);
        }
    }

    private boolean isStored(FileEntry old, FileEntry entry) {
        return old != null
                && old.mode() == entry.mode()
                && old.target().equals(entry.target())
                && (!options.times || old.modified() == entry.modified());
    }

    /** Adds a directory and those above it, up to the first that exists. */
    private void addMissing(String directory) {
        Deque<String> missing = new ArrayDeque<>();
        for (String path = directory; !path.isEmpty() && !exists(path); path = FileNames.parent(path)) {
            missing.push(path);
        }
        for (String path : missing) {
            addedPaths.add(path);
            changed.add(FileEntry.directory(target.module(), path, DIRECTORY_MODE, target.nowSeconds()));
        }
    }

    private boolean exists(String path) {
        if (addedPaths.contains(path)) {
            return true;
        }
        FileEntry stored = catalogue.planned(target.module(), path);
        return stored != null && stored.isDirectory();
    }
}
