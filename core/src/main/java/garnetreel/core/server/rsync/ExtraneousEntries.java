package garnetreel.core.server.rsync;

import garnetreel.codec.rsync.FileItem;
import garnetreel.files.FileEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Determines what a push with {@code --delete} removes: entries in the client's directories that the client does not
 * list and no filter rule protects. A directory that contains a protected entry is kept.
 */
final class ExtraneousEntries {
    private final PushTarget target;
    private final FilterRules filters;
    private final boolean deleteExcluded;
    private final Set<String> listedPaths = new HashSet<>();
    private final Set<String> listedDirectories = new HashSet<>();
    private final Set<String> removedDirectories = new HashSet<>();
    private final Set<String> keptDirectories = new HashSet<>();
    private final List<FileEntry> removed = new ArrayList<>();

    /**
     * @param items the client's file list
     * @param deleteExcluded whether filter rules protect nothing
     */
    ExtraneousEntries(PushTarget target, FilterRules filters, boolean deleteExcluded, List<FileItem> items) {
        this.target = target;
        this.filters = filters;
        this.deleteExcluded = deleteExcluded;
        for (FileItem item : items) {
            listedPaths.add(target.path(item));
            if (item.isDirectory()) {
                listedDirectories.add(target.path(item));
            }
        }
    }

    /**
     * Returns the entries to remove.
     *
     * @param stored all entries below the destination, directories before what they contain
     */
    List<FileEntry> among(List<FileEntry> stored) {
        for (FileEntry entry : stored) {
            if (isExtraneous(entry)) {
                removeUnlessProtected(entry);
            }
        }
        removed.removeIf(entry -> keptDirectories.contains(entry.path()));
        return removed;
    }

    private boolean isExtraneous(FileEntry entry) {
        String parent = FileNames.parent(entry.path());
        return removedDirectories.contains(parent)
                || listedDirectories.contains(parent) && !listedPaths.contains(entry.path());
    }

    private void removeUnlessProtected(FileEntry entry) {
        if (!deleteExcluded && filters.protects(target.relativePath(entry.path()), entry.isDirectory())) {
            keepParents(entry);
            return;
        }
        if (entry.isDirectory()) {
            removedDirectories.add(entry.path());
        }
        removed.add(entry);
    }

    private void keepParents(FileEntry entry) {
        String ancestor = FileNames.parent(entry.path());
        while (removedDirectories.contains(ancestor)) {
            keptDirectories.add(ancestor);
            ancestor = FileNames.parent(ancestor);
        }
    }
}
