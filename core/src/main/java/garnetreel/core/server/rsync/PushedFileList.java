package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** Reads what a client sends before a push: its filter rules, its file list, and the names of owners. */
final class PushedFileList {
    /** Maximum number of entries of a file list. */
    private static final int MAX_FILES = 1_000_000;

    private enum Part {
        FILTERS,
        ENTRIES,
        USER_NAMES,
        GROUP_NAMES,
        COMPLETE
    }

    /** An entry and its position in the received list; a name listed twice keeps two indexes, as on the client. */
    private record Listed(FileItem item, int position) {}

    private final TransferOptions options;
    private final FilterRules filters = new FilterRules();
    private final FileListCodec codec;
    /** The list as it arrives, sorted entry by entry: sorting a long list at its end would block the gateway's thread. */
    private final TreeSet<Listed> sorted =
            new TreeSet<>(Comparator.comparing(Listed::item, FileItem.ORDER).thenComparingInt(Listed::position));

    private Part part;

    PushedFileList(TransferOptions options) {
        this.options = options;
        this.codec = new FileListCodec(
                new FileListCodec.Options(options.links, options.owner, options.group, options.checksum));
        this.part = options.delete || options.pruneEmptyDirs ? Part.FILTERS : Part.ENTRIES;
    }

    /**
     * Reads the next filter rule, entry or name.
     *
     * @throws RsyncIn.IncompleteInputException if it has not been received completely; it is then read again
     */
    void step(RsyncIn in) throws RsyncIn.IncompleteInputException, ProtocolException {
        switch (part) {
            case FILTERS -> readFilterRule(in);
            case ENTRIES -> readEntry(in);
            case USER_NAMES -> skipName(in, options.group ? Part.GROUP_NAMES : Part.COMPLETE);
            case GROUP_NAMES -> skipName(in, Part.COMPLETE);
            case COMPLETE -> throw new IllegalStateException("the file list is complete");
        }
    }

    boolean isComplete() {
        return part == Part.COMPLETE;
    }

    FilterRules filters() {
        return filters;
    }

    /** Whether the client failed to read some of its files. */
    boolean hasIoError() {
        return codec.hasIoError();
    }

    /** The entries in the order that defines their indexes; only once. */
    List<FileItem> takeItems() {
        List<FileItem> items = new ArrayList<>(sorted.size());
        sorted.forEach(listed -> items.add(listed.item()));
        sorted.clear();
        return items;
    }

    private void readFilterRule(RsyncIn in) throws RsyncIn.IncompleteInputException, ProtocolException {
        int length = in.i32();
        if (length < 0 || length > Rsync.MAX_NAME_LENGTH) {
            throw new ProtocolException("a filter rule of " + length + " bytes");
        }
        if (length > 0) {
            filters.add(in.text(length));
        } else {
            part = Part.ENTRIES;
        }
    }

    private void readEntry(RsyncIn in) throws RsyncIn.IncompleteInputException, ProtocolException {
        FileItem item = codec.read(in);
        if (item == null) {
            part = partAfterEntries();
            return;
        }
        FileNames.checkSafe(item.name());
        if (sorted.size() >= MAX_FILES) {
            throw new ProtocolException("a list of more than " + MAX_FILES + " files");
        }
        sorted.add(new Listed(item, sorted.size()));
    }

    /** The client sends the names of users with -o only, and those of groups with -g only. */
    private Part partAfterEntries() {
        if (options.numericIds) {
            return Part.COMPLETE;
        }
        if (options.owner) {
            return Part.USER_NAMES;
        }
        return options.group ? Part.GROUP_NAMES : Part.COMPLETE;
    }

    /** Skips the next name of a list of users or groups, which a zero ends; ownership is not stored. */
    private void skipName(RsyncIn in, Part next) throws RsyncIn.IncompleteInputException, ProtocolException {
        if (in.varint() == 0) {
            part = next;
        } else {
            in.text(in.u8());
        }
    }
}
