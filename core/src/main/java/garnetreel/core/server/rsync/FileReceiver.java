package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.core.GatewaySettings;
import garnetreel.files.Catalogue;
import garnetreel.files.FileChange;
import garnetreel.files.FileEntry;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The receiver and generator of a push: reads the client's file list, requests the files that differ from those of the
 * module, and makes each file visible as a whole once its contents are durable and match their checksum. It compares
 * with the planned entries of the catalogue, which include the changes of other pushes that are not durable yet.
 */
final class FileReceiver implements Transfer {
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
        FILE_LIST,
        REPLIES,
        CHECKSUM_HEADER,
        CONTENTS,
        GOODBYE
    }

    /** A requested file; the basis is null if no block checksums were sent. */
    private record FileRequest(int index, FileEntry basis, boolean retry) {}

    private final RsyncSession session;
    private final GatewaySettings.Module module;
    private final TransferOptions options;
    private final int seed;
    private final Catalogue catalogue;
    private final PushTarget target;
    private final PushedFileList fileList;
    private List<FileItem> items = List.of();
    private State state = State.FILE_LIST;
    private int nextIndex;
    /** Number of phases whose end the client has sent. */
    private int phaseEndsReceived;

    /** Number of phases whose end has been sent to the client. */
    private int phaseEndsSent;

    private boolean awaitsDurability;
    private boolean allDurable;
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
        this.fileList = new PushedFileList(options);
        if (options.paths.size() != 1) {
            throw new ProtocolException("a push has one destination");
        }
        String directory = FileNames.modulePath(module.name(), options.paths.get(0));
        this.target = new PushTarget(module.name(), directory, options, session.server::time);
    }

    @Override
    public boolean step() throws ProtocolException {
        session.in.mark();
        generatorProgressed = false;
        try {
            return switch (state) {
                case FILE_LIST -> readFileList();
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

    private boolean readFileList() throws RsyncIn.IncompleteInputException, ProtocolException {
        fileList.step(session.in);
        if (fileList.isComplete()) {
            state = State.REPLIES;
            completeList();
        }
        return true;
    }

    private void completeList() throws ProtocolException {
        items = fileList.takeItems();
        String directory = target.directory();
        FileEntry destination = directory.isEmpty() ? null : catalogue.planned(module.name(), directory);
        boolean singleFile = items.size() == 1 && !items.get(0).isDirectory();
        if (destination != null && !destination.isDirectory() && !singleFile) {
            throw new ProtocolException("the destination \"" + FileNames.printable(directory) + "\" is no directory");
        }
        if (singleFile
                && !directory.isEmpty()
                && !options.paths.get(0).endsWith("/")
                && (destination == null || !destination.isDirectory())) {
            target.storeSingleFile();
        }
        createDirectoriesAndLinks();
        if (options.delete && options.recursive) {
            deleteExtraneous();
        }
    }

    /** Creates all directories and symbolic links before any file is requested; neither has contents. */
    private void createDirectoriesAndLinks() {
        PushedDirectories directories = new PushedDirectories(catalogue, target, options);
        directories.addDestination();
        for (FileItem item : items) {
            if (options.dryRun || target.path(item).isEmpty()) {
                continue;
            }
            if (item.isDirectory() || item.isSymbolicLink()) {
                directories.add(item);
            } else if (!item.isRegularFile()) {
                session.sendMessage(
                        Rsync.INFO, "skipping non-regular file \"" + FileNames.printable(item.name()) + "\"\n");
            }
            if (directories.changedCount() >= MAX_ENTRIES_PER_CHANGE) {
                commit(List.of(), directories.takeChanged());
            }
        }
        if (directories.changedCount() > 0 && !options.dryRun) {
            commit(List.of(), directories.takeChanged());
        }
    }

    /** Deletes entries that the client's directories do not contain, unless the client failed to read all of them. */
    private void deleteExtraneous() {
        if (fileList.hasIoError() || session.peerIoError()) {
            session.sendMessage(Rsync.INFO, "IO error encountered -- skipping file deletion\n");
            return;
        }
        List<FileEntry> removed = new ExtraneousEntries(target, fileList.filters(), options.deleteExcluded, items)
                .among(catalogue.plannedBelow(module.name(), target.directory()));
        if (options.verbose > 0) {
            removed.forEach(entry -> session.sendMessage(
                    Rsync.DELETED, target.relativePath(entry.path()) + (entry.isDirectory() ? "\0" : "")));
        }
        if (!removed.isEmpty() && !options.dryRun) {
            commit(names(removed), List.of());
        }
    }

    private List<FileChange.Name> names(List<FileEntry> entries) {
        return entries.stream()
                .map(entry -> new FileChange.Name(module.name(), entry.path()))
                .toList();
    }

    private void commit(List<FileChange.Name> removed, List<FileEntry> changed) {
        session.server.files.commit(removed, changed);
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
        FileEntry old = catalogue.planned(module.name(), target.path(item));
        FileEntry oldFile = old != null && old.isRegularFile() ? old : null;
        if (options.existing && old == null
                || options.ignoreExisting && old != null
                || options.update && oldFile != null && oldFile.modified() > item.modified()) {
            return;
        }
        if (oldFile != null && oldFile.size() == item.size() && unchanged(oldFile, item)) {
            int mode = target.mode(item, oldFile, 0);
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
            String path = target.path(item);
            FileEntry old = catalogue.planned(module.name(), path);
            commit(
                    entriesReplacedBy(old),
                    List.of(new FileEntry(
                            module.name(),
                            path,
                            0,
                            target.mode(item, old, 0),
                            received.size(),
                            target.time(item),
                            received.actualSum(),
                            received.takePieces(),
                            "")));
        }
    }

    /** The entries to remove when a file replaces a directory: all that it contains. */
    private List<FileChange.Name> entriesReplacedBy(FileEntry old) {
        return old == null || !old.isDirectory() ? List.of() : names(catalogue.plannedBelow(module.name(), old.path()));
    }

    /**
     * Sends the goodbye once all files are durable and visible, also those that this push found unchanged in a change of
     * another one.
     */
    private boolean sendGoodbye() {
        if (!awaitsDurability) {
            awaitsDurability = true;
            session.server.files.whenAllDurable(() -> {
                allDurable = true;
                session.pump();
            });
        }
        if (!allDurable) {
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
