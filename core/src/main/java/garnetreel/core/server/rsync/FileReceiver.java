package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.core.GatewaySettings;
import garnetreel.files.Catalogue;
import garnetreel.files.FileChange;
import garnetreel.files.FileEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The receiver and generator of a push: reads the client's file list, requests the files that differ from those of the
 * module, and makes each file visible as a whole once its contents are durable and match their checksum.
 */
final class FileReceiver implements Transfer {
    /** Maximum number of entries of a file list. */
    private static final int MAX_FILES = 1_000_000;
    /** Maximum number of files requested but not completely received. */
    private static final int MAX_OUTSTANDING_REQUESTS = 32;

    /** Number of directories and links after which a change of the catalogue is committed. */
    private static final int MAX_ENTRIES_PER_CHANGE = 500;

    /**
     * Number of phases whose end both sides send before the goodbye: the transfer, the retry of files whose checksum
     * did not match, and one without transfers here.
     */
    private static final int PHASES = 3;

    private enum State {
        FILTERS,
        LIST,
        USER_NAMES,
        GROUP_NAMES,
        REPLIES,
        CHECKSUM_HEADER,
        CONTENTS,
        GOODBYE
    }

    /** An entry and its position in the received list; a name listed twice keeps two indexes, as on the client. */
    private record Listed(FileItem item, int position) {}

    /** A requested file; the basis is null if no block checksums were sent. */
    private record FileRequest(int index, FileEntry basis, boolean retry) {}

    private final RsyncSession session;
    private final GatewaySettings.Module module;
    private final TransferOptions options;
    private final int seed;
    private final Catalogue catalogue;
    private final FilterRules filters = new FilterRules();
    private final FileListCodec listCodec;
    /** The list as it arrives, sorted entry by entry: sorting a long list at its end would block the gateway's thread. */
    private final TreeSet<Listed> sorted =
            new TreeSet<>(Comparator.comparing(Listed::item, FileItem.ORDER).thenComparingInt(Listed::position));

    private final List<FileItem> items = new ArrayList<>();
    private String directory = "";
    private String singleFilePath;
    private State state;
    private int nextIndex;
    /** Number of phases whose end the client has sent. */
    private int phaseEndsReceived;

    /** Number of phases whose end has been sent to the client. */
    private int phaseEndsSent;

    private int pendingCommits;
    private final Map<Integer, FileRequest> outstanding = new HashMap<>();
    private final ArrayDeque<Integer> redo = new ArrayDeque<>();
    private final Set<Integer> retried = new HashSet<>();
    private final Set<FileEntry> openedBases = new HashSet<>();
    private BasisChecksums basisChecksums;
    private FileRequest currentRequest;
    /** Whether the generator progressed in this step, even if the input was incomplete. */
    private boolean generatorProgressed;

    private IncomingFile incomingFile;

    FileReceiver(RsyncSession session, GatewaySettings.Module module, TransferOptions options, int seed)
            throws ProtocolException {
        this.session = session;
        this.module = module;
        this.options = options;
        this.seed = seed;
        this.catalogue = session.server.files.catalogue();
        this.listCodec = new FileListCodec(
                new FileListCodec.Options(options.links, options.owner, options.group, options.checksum));
        this.state = options.delete || options.pruneEmptyDirs ? State.FILTERS : State.LIST;
        if (options.paths.size() != 1) {
            throw new ProtocolException("a push has one destination");
        }
        directory = FileNames.modulePath(module.name(), options.paths.get(0));
    }

    @Override
    public boolean step() throws ProtocolException {
        session.in.mark();
        generatorProgressed = false;
        try {
            return switch (state) {
                case FILTERS -> readFilterRule();
                case LIST -> readListEntry();
                case USER_NAMES -> skipIdNames(State.GROUP_NAMES);
                case GROUP_NAMES -> skipIdNames(State.REPLIES);
                case REPLIES -> (generatorProgressed = generate()) | readReply();
                case CHECKSUM_HEADER -> readChecksumHeader();
                case CONTENTS -> (generatorProgressed = generate()) | receiveContents();
                case GOODBYE -> sendGoodbye();
            };
        } catch (RsyncIn.IncompleteInputException e) {
            session.in.reset();
            return generatorProgressed;
        }
    }

    // ---------------------------------------------------------------- file list

    private boolean readFilterRule() throws RsyncIn.IncompleteInputException, ProtocolException {
        int length = session.in.i32();
        if (length < 0 || length > Rsync.MAX_NAME_LENGTH) {
            throw new ProtocolException("a filter rule of " + length + " bytes");
        }
        if (length > 0) {
            filters.add(session.in.text(length));
        } else {
            state = State.LIST;
        }
        return true;
    }

    private boolean readListEntry() throws RsyncIn.IncompleteInputException, ProtocolException {
        FileItem item = listCodec.read(session.in);
        if (item == null) {
            state = options.numericIds
                    ? State.REPLIES
                    : options.owner ? State.USER_NAMES : options.group ? State.GROUP_NAMES : State.REPLIES;
            if (state == State.REPLIES) {
                completeList();
            }
            return true;
        }
        FileNames.checkSafe(item.name());
        if (sorted.size() >= MAX_FILES) {
            throw new ProtocolException("a list of more than " + MAX_FILES + " files");
        }
        sorted.add(new Listed(item, sorted.size()));
        return true;
    }

    /** Skips the list of user or group names; ownership is not stored. */
    private boolean skipIdNames(State nextState) throws RsyncIn.IncompleteInputException, ProtocolException {
        if (state == State.GROUP_NAMES && !options.group) { // the client sends group names only with -g
            state = nextState;
            completeList();
            return true;
        }
        if (session.in.varint() != 0) {
            session.in.text(session.in.u8());
            return true;
        }
        state = nextState;
        if (state == State.REPLIES) {
            completeList();
        }
        return true;
    }

    private void completeList() throws ProtocolException {
        sorted.forEach(listed -> items.add(listed.item()));
        sorted.clear();
        FileEntry destination = directory.isEmpty() ? null : catalogue.get(module.name(), directory);
        boolean singleFile = items.size() == 1 && !items.get(0).isDirectory();
        if (destination != null && !destination.isDirectory() && !singleFile) {
            throw new ProtocolException("the destination \"" + FileNames.printable(directory) + "\" is no directory");
        }
        if (singleFile
                && !directory.isEmpty()
                && !options.paths.get(0).endsWith("/")
                && (destination == null || !destination.isDirectory())) {
            singleFilePath = directory; // a single file that is stored under another name
        }
        createDirectoriesAndLinks();
        if (options.delete && options.recursive) {
            deleteExtraneous();
        }
    }

    private String path(FileItem item) {
        return singleFilePath != null ? singleFilePath : FileNames.join(directory, item.name());
    }

    /** Creates all directories and symbolic links before any file is requested; neither has contents. */
    private void createDirectoriesAndLinks() {
        List<FileEntry> changed = new ArrayList<>();
        Set<String> addedPaths = new HashSet<>();
        addMissingParents(changed, addedPaths, directory, singleFilePath != null);
        for (FileItem item : items) {
            String path = path(item);
            if (options.dryRun || path.isEmpty()) {
                continue;
            }
            if (item.isDirectory() || item.isSymbolicLink()) {
                FileEntry old = catalogue.get(module.name(), path);
                if (options.existing && old == null) {
                    continue;
                }
                addMissingParents(changed, addedPaths, FileNames.parent(path), false);
                FileEntry entry = item.isDirectory()
                        ? FileEntry.directory(module.name(), path, mode(item, old, 0755), time(item))
                        : FileEntry.link(module.name(), path, item.mode(), time(item), item.target());
                boolean unchanged = old != null
                        && old.mode() == entry.mode()
                        && old.target().equals(entry.target())
                        && (!options.times || old.modified() == entry.modified());
                if (!unchanged && addedPaths.add(path)) {
                    changed.add(entry);
                }
            } else if (!item.isRegularFile()) {
                session.sendMessage(
                        Rsync.INFO, "skipping non-regular file \"" + FileNames.printable(item.name()) + "\"\n");
            }
            if (changed.size() >= MAX_ENTRIES_PER_CHANGE) {
                commit(List.of(), changed);
                changed = new ArrayList<>();
            }
        }
        if (!changed.isEmpty() && !options.dryRun) {
            commit(List.of(), changed);
        }
    }

    private void addMissingParents(List<FileEntry> changed, Set<String> addedPaths, String path, boolean pathIsFile) {
        String directoryPath = pathIsFile ? FileNames.parent(path) : path;
        if (directoryPath.isEmpty() || addedPaths.contains(directoryPath)) {
            return;
        }
        FileEntry old = catalogue.get(module.name(), directoryPath);
        if (old == null || !old.isDirectory()) {
            addMissingParents(changed, addedPaths, FileNames.parent(directoryPath), false);
            addedPaths.add(directoryPath);
            changed.add(FileEntry.directory(module.name(), directoryPath, 0755, session.server.time() / 1_000_000));
        }
    }

    private int mode(FileItem item, FileEntry old, int defaultMode) {
        return options.perms
                ? item.mode()
                : item.mode() & Rsync.FILE_TYPE_MASK
                        | (old != null ? old.mode() & 07777 : item.isDirectory() ? defaultMode : item.mode() & 0777);
    }

    private long time(FileItem item) {
        return options.times ? item.modified() : session.server.time() / 1_000_000;
    }

    /** Deletes entries that the client's directories do not contain, unless the client failed to read all of them. */
    private void deleteExtraneous() {
        if (listCodec.hasIoError() || session.peerIoError()) {
            session.sendMessage(Rsync.INFO, "IO error encountered -- skipping file deletion\n");
            return;
        }
        Set<String> listedPaths = new HashSet<>();
        Set<String> directories = new HashSet<>();
        for (FileItem item : items) {
            listedPaths.add(path(item));
            if (item.isDirectory()) {
                directories.add(path(item));
            }
        }
        List<FileChange.Name> removed = new ArrayList<>();
        Set<String> removedDirectories = new HashSet<>();
        Set<String> keptDirectories = new HashSet<>();
        List<FileEntry> entries = catalogue.entriesBelow(module.name(), directory);
        for (FileEntry entry : entries) {
            String parent = FileNames.parent(entry.path());
            boolean candidate = removedDirectories.contains(parent)
                    || directories.contains(parent) && !listedPaths.contains(entry.path());
            if (!candidate) {
                continue;
            }
            String name = directory.isEmpty() ? entry.path() : entry.path().substring(directory.length() + 1);
            if (!options.deleteExcluded && filters.protects(name, entry.isDirectory())) {
                for (String ancestor = parent;
                        removedDirectories.contains(ancestor);
                        ancestor = FileNames.parent(ancestor)) {
                    keptDirectories.add(ancestor); // a directory with a protected entry in it is kept
                }
                continue;
            }
            if (entry.isDirectory()) {
                removedDirectories.add(entry.path());
            }
            removed.add(new FileChange.Name(module.name(), entry.path()));
        }
        removed.removeIf(n -> keptDirectories.contains(n.path()));
        if (options.verbose > 0) {
            removed.forEach(n -> session.sendMessage(
                    Rsync.DELETED,
                    n.path().substring(directory.isEmpty() ? 0 : directory.length() + 1)
                            + (removedDirectories.contains(n.path()) ? "\0" : "")));
        }
        if (!removed.isEmpty() && !options.dryRun) {
            commit(removed, List.of());
        }
    }

    private void commit(List<FileChange.Name> removed, List<FileEntry> changed) {
        pendingCommits++;
        session.server.files.commit(removed, changed, () -> {
            pendingCommits--;
            session.pump();
        });
    }

    // ---------------------------------------------------------------- generator

    /** Requests the next file if the limits allow it; true if there was progress. */
    private boolean generate() {
        if (basisChecksums != null) {
            return basisChecksums.step() && finishChecksums();
        }
        if (outstanding.size() >= MAX_OUTSTANDING_REQUESTS || !session.canWrite()) {
            return false;
        }
        if (phaseEndsReceived == 0 && nextIndex < items.size()) {
            int index = nextIndex++;
            FileItem item = items.get(index);
            if (item.isRegularFile()) {
                requestIfChanged(index, item);
            }
            return true;
        }
        if (phaseEndsReceived > 0
                && phaseEndsReceived < PHASES
                && !redo.isEmpty()
                && phaseEndsSent == phaseEndsReceived) {
            request(redo.poll(), null, true);
            return true;
        }
        if (phaseEndsSent == phaseEndsReceived && phaseEndsSent < PHASES && redo.isEmpty()) {
            session.out.index(Rsync.PHASE_END);
            session.flush();
            phaseEndsSent++;
            return true;
        }
        return false;
    }

    private void requestIfChanged(int index, FileItem item) {
        FileEntry old = catalogue.get(module.name(), path(item));
        FileEntry oldFile = old != null && old.isRegularFile() ? old : null;
        if (options.existing && old == null
                || options.ignoreExisting && old != null
                || options.update && oldFile != null && oldFile.modified() > item.modified()) {
            return;
        }
        if (oldFile != null && oldFile.size() == item.size() && unchanged(oldFile, item)) {
            int mode = mode(item, oldFile, 0);
            long time = options.times ? item.modified() : oldFile.modified();
            if (!options.dryRun && (mode != oldFile.mode() || time != oldFile.modified())) {
                commit(List.of(), List.of(oldFile.withAttributes(mode, time)));
            }
            return;
        }
        request(index, oldFile, false);
    }

    private boolean unchanged(FileEntry old, FileItem item) {
        return options.checksum
                ? Arrays.equals(old.md5(), item.md5())
                : options.sizeOnly || !options.ignoreTimes && old.modified() == item.modified();
    }

    private void request(int index, FileEntry basis, boolean retry) {
        boolean delta = basis != null && basis.size() > 0 && !options.wholeFile && !options.dryRun;
        FileRequest request = new FileRequest(index, delta ? basis : null, retry);
        outstanding.put(index, request);
        session.out.index(index).u16(Rsync.ITEM_TRANSFER | (basis == null ? Rsync.ITEM_NEW : 0));
        if (options.dryRun) {
            session.flush();
            return;
        }
        if (delta) {
            catalogue.open(basis);
            openedBases.add(basis);
            basisChecksums = new BasisChecksums(session, session.server.files.volume(module.name()), basis, seed);
            basisChecksums.step();
            finishChecksums();
        } else {
            session.out.i32(0).i32(0).i32(0).i32(0);
            session.flush();
        }
    }

    /** Ends a request once all block checksums of its basis file are sent; until then no other request may be sent. */
    private boolean finishChecksums() {
        if (basisChecksums.isComplete()) {
            basisChecksums = null;
            session.flush();
        }
        return true;
    }

    // ---------------------------------------------------------------- receiver

    private boolean readReply() throws RsyncIn.IncompleteInputException, ProtocolException {
        session.in.mark();
        if (incomingFile != null) {
            return false;
        }
        int index = session.in.index();
        if (index == Rsync.PHASE_END) {
            phaseEndsReceived++;
            if (phaseEndsReceived > phaseEndsSent) {
                throw new ProtocolException("a phase ended that had not begun");
            }
            if (phaseEndsReceived == PHASES) {
                state = State.GOODBYE;
            }
            return true;
        }
        int flags = session.in.u16();
        if ((flags & Rsync.ITEM_BASIS) != 0) {
            session.in.u8();
        }
        if ((flags & Rsync.ITEM_XNAME) != 0) {
            session.in.vstring();
        }
        if (index == items.size() && flags == Rsync.ITEM_NEW) {
            return true; // a keep-alive
        }
        currentRequest = outstanding.get(index);
        if (currentRequest == null) {
            throw new ProtocolException("index " + index + ", which was not asked for");
        }
        if (options.dryRun) {
            outstanding.remove(index);
            return true;
        }
        if ((flags & Rsync.ITEM_TRANSFER) == 0) {
            throw new ProtocolException("index " + index + " without its contents");
        }
        state = State.CHECKSUM_HEADER;
        return true;
    }

    private boolean readChecksumHeader() throws RsyncIn.IncompleteInputException, ProtocolException {
        int blockCount = session.in.i32();
        int blockLength = session.in.i32();
        session.in.i32();
        int lastBlockLength = session.in.i32();
        if (blockCount < 0
                || blockLength < 0
                || blockLength > Rsync.MAX_BLOCK_LENGTH
                || lastBlockLength < 0
                || lastBlockLength > blockLength) {
            throw new ProtocolException("a checksum header of " + blockCount + " blocks of " + blockLength
                    + " bytes, the last of " + lastBlockLength);
        }
        incomingFile = new IncomingFile(
                session,
                module.name(),
                items.get(currentRequest.index()),
                currentRequest.basis(),
                blockCount,
                blockLength,
                lastBlockLength);
        state = State.CONTENTS;
        return true;
    }

    private boolean receiveContents() throws RsyncIn.IncompleteInputException, ProtocolException {
        if (!incomingFile.step()) {
            return false;
        }
        if (!incomingFile.isComplete()) {
            return true;
        }
        completeFile();
        return true;
    }

    private void completeFile() {
        FileRequest request = currentRequest;
        IncomingFile received = incomingFile;
        currentRequest = null;
        incomingFile = null;
        outstanding.remove(request.index());
        state = State.REPLIES;
        if (request.basis() != null && openedBases.remove(request.basis())) {
            catalogue.close(request.basis());
        }
        FileItem item = items.get(request.index());
        String printableName = FileNames.printable(item.name());
        if (received.error() != null) {
            received.discard();
            session.sendMessage(
                    Rsync.ERROR_XFER,
                    "rsync: write failed on \"/" + printableName + "\" (in " + module.name() + "): " + received.error()
                            + "\n");
        } else if (!received.sumMatches()) {
            received.discard();
            // A file is retried once, and not after the second phase.
            if (retried.add(request.index()) && phaseEndsReceived < 2) {
                redo.add(request.index());
            } else {
                session.sendMessage(
                        Rsync.ERROR_XFER, "ERROR: " + printableName + " failed verification -- update discarded.\n");
            }
        } else {
            String path = path(item);
            FileEntry old = catalogue.get(module.name(), path);
            commit(
                    entriesReplacedBy(old),
                    List.of(new FileEntry(
                            module.name(),
                            path,
                            0,
                            mode(item, old, 0),
                            received.size(),
                            time(item),
                            received.actualSum(),
                            received.takePieces(),
                            "")));
        }
    }

    /** The entries to remove when a file replaces a directory: all that it contains. */
    private List<FileChange.Name> entriesReplacedBy(FileEntry old) {
        if (old == null || !old.isDirectory()) {
            return List.of();
        }
        List<FileChange.Name> removed = new ArrayList<>();
        catalogue
                .entriesBelow(module.name(), old.path())
                .forEach(e -> removed.add(new FileChange.Name(module.name(), e.path())));
        return removed;
    }

    /** Sends the goodbye once all files are durable and visible. */
    private boolean sendGoodbye() {
        if (pendingCommits > 0) {
            return false;
        }
        session.out.index(Rsync.PHASE_END);
        session.finish();
        return false;
    }

    @Override
    public void disconnected() {
        if (incomingFile != null) {
            incomingFile.discard();
        }
        openedBases.forEach(catalogue::close);
        openedBases.clear();
    }
}
