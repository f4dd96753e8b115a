package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Delta;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.files.Catalogue;
import garnetreel.files.FileEntry;
import garnetreel.files.FileEntry.Piece;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/** The sender of a pull: sends the file list, then each file that the client's generator requests, as a delta. */
final class FileSender implements Transfer {
    /** Length of a read in bytes. */
    private static final int READ_LENGTH = 128 << 10;

    /** Maximum number of reads in progress for one client. */
    private static final int MAX_OUTSTANDING_READS = 4;

    /** Index of the last of the three phases, whose ends both sides send before the goodbye. */
    private static final int LAST_PHASE = 2;

    private static final int ENTRIES_PER_STEP = 256;

    private enum State {
        FILTERS,
        COLLECT,
        LIST,
        REQUESTS,
        CHECKSUM_HEADER,
        BLOCK_CHECKSUMS,
        CONTENTS,
        GOODBYE
    }

    /**
     * A directory that is being listed.
     *
     * @param root path that names in the file list are relative to: that of the requested directory or of its parent
     * @param hidden names of the directories below it that filter rules hide
     */
    private record Walk(String path, String root, Iterator<FileEntry> entries, Set<String> hidden) {}

    private final RsyncSession session;
    private final GatewaySettings.Module module;
    private final TransferOptions options;
    private final int seed;
    private final Volume volume;
    private final FilterRules filters = new FilterRules();
    private final FileListCodec listCodec;
    private final List<FileItem> items = new ArrayList<>();
    private final List<FileEntry> entries = new ArrayList<>();
    private final ArrayDeque<Walk> walks = new ArrayDeque<>();
    private final List<FileItem> foundItems = new ArrayList<>();
    private final List<FileEntry> foundEntries = new ArrayList<>();
    private final Set<String> names = new HashSet<>();
    private State state = State.FILTERS;
    private int sentEntries;
    private int phase;
    private long totalSize;
    private boolean ioError;
    private int index;
    private int flags;
    private int basisType;
    private String alternateName = "";
    private Delta.Basis basis;
    private FileEntry currentFile;
    private Delta delta;
    private long readOffset;
    private long sentBytes;
    private String error;
    private final ArrayDeque<BlockIo.Result[]> pendingReads = new ArrayDeque<>();

    FileSender(RsyncSession session, GatewaySettings.Module module, TransferOptions options, int seed) {
        this.session = session;
        this.module = module;
        this.options = options;
        this.seed = seed;
        this.volume = session.server.files.volume(module.name());
        this.listCodec = new FileListCodec(
                new FileListCodec.Options(options.links, options.owner, options.group, options.checksum));
    }

    @Override
    public boolean step() throws ProtocolException {
        session.in.mark();
        try {
            return switch (state) {
                case FILTERS -> readFilterRule();
                case COLLECT -> collectEntries();
                case LIST -> sendList();
                case REQUESTS -> readRequest();
                case CHECKSUM_HEADER -> readChecksumHeader();
                case BLOCK_CHECKSUMS -> readBlockChecksums();
                case CONTENTS -> sendContents();
                case GOODBYE -> readGoodbye();
            };
        } catch (RsyncIn.IncompleteInputException e) {
            session.in.reset();
            return false;
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
            return true;
        }
        resolvePaths();
        state = State.COLLECT;
        return true;
    }

    /** Looks up the requested paths; the contents of directories are added in later steps. */
    private void resolvePaths() throws ProtocolException {
        for (String argument : options.paths) {
            String path = FileNames.modulePath(module.name(), argument);
            FileEntry entry = path.isEmpty()
                    ? FileEntry.directory(module.name(), "", 0755, 0)
                    : session.server.files.catalogue().get(module.name(), path);
            if (entry == null) {
                ioError = true;
                session.sendMessage(
                        Rsync.ERROR_XFER,
                        "rsync: link_stat \"/" + FileNames.printable(path) + "\" (in " + module.name()
                                + ") failed: No such file or directory (2)\n");
                continue;
            }
            boolean contents = path.isEmpty() || argument.endsWith("/") || argument.endsWith("/.");
            String root = contents ? path : FileNames.parent(path);
            if (!entry.isDirectory()) {
                add(entry, FileNames.baseName(path));
                continue;
            }
            if (!options.recursive && !options.dirs) {
                session.sendMessage(
                        Rsync.INFO, "skipping directory " + (path.isEmpty() ? "." : FileNames.printable(path)) + "\n");
                continue;
            }
            add(entry, contents ? "." : FileNames.baseName(path));
            if (options.recursive || contents) {
                walks.add(new Walk(
                        path,
                        root,
                        catalogue().entriesBelow(module.name(), path).iterator(),
                        new HashSet<>()));
            }
        }
    }

    /** Adds some entries of the requested directories; sorts the list once there are none left. */
    private boolean collectEntries() {
        if (!walks.isEmpty()) {
            Walk walk = walks.peek();
            for (int remaining = ENTRIES_PER_STEP;
                    remaining > 0 && walk.entries().hasNext();
                    remaining--) {
                addBelow(walk, walk.entries().next());
            }
            if (!walk.entries().hasNext()) {
                walks.poll();
            }
            return true;
        }
        List<Integer> sortedIndexes = new ArrayList<>();
        for (int i = 0; i < foundItems.size(); i++) {
            sortedIndexes.add(i);
        }
        Collections.sort(sortedIndexes, (a, b) -> FileItem.ORDER.compare(foundItems.get(a), foundItems.get(b)));
        for (int position : sortedIndexes) {
            items.add(foundItems.get(position));
            entries.add(foundEntries.get(position));
        }
        foundItems.clear();
        foundEntries.clear();
        names.clear();
        state = State.LIST;
        return true;
    }

    private void addBelow(Walk walk, FileEntry entry) {
        String name = walk.root().isEmpty()
                ? entry.path()
                : entry.path().substring(walk.root().length() + 1);
        if (!options.recursive && !FileNames.parent(entry.path()).equals(walk.path())) {
            return;
        }
        // The contents of a hidden directory are hidden too; the catalogue returns a directory before its contents.
        if (walk.hidden().contains(FileNames.parent(name)) || filters.hides(name, entry.isDirectory())) {
            if (entry.isDirectory()) {
                walk.hidden().add(name);
            }
            return;
        }
        add(entry, name);
    }

    private Catalogue catalogue() {
        return session.server.files.catalogue();
    }

    private void add(FileEntry entry, String name) {
        boolean symlink = !entry.isDirectory() && !entry.isRegularFile();
        if (symlink && !options.links || !names.add(name)) {
            return;
        }
        totalSize += entry.isRegularFile() ? entry.size() : 0;
        foundItems.add(new FileItem(
                name,
                entry.mode(),
                entry.size(),
                entry.modified(),
                entry.target(),
                entry.isRegularFile() ? entry.md5() : null));
        foundEntries.add(entry);
    }

    private boolean sendList() {
        if (!session.canWrite()) {
            return false;
        }
        for (int end = Math.min(items.size(), sentEntries + ENTRIES_PER_STEP); sentEntries < end; sentEntries++) {
            listCodec.write(session.out, items.get(sentEntries));
        }
        if (sentEntries == items.size()) {
            session.out.u8(0);
            if (options.owner && !options.numericIds) {
                session.out.varint(0);
            }
            if (options.group && !options.numericIds) {
                session.out.varint(0);
            }
            if (ioError) {
                session.sendMessage(Rsync.IO_ERROR, 1);
            }
            state = State.REQUESTS;
        }
        session.flush();
        return true;
    }

    // ---------------------------------------------------------------- requests

    private boolean readRequest() throws RsyncIn.IncompleteInputException, ProtocolException {
        if (!session.canWrite()) {
            return false;
        }
        index = session.in.index();
        if (index == Rsync.PHASE_END) {
            session.out.index(Rsync.PHASE_END);
            if (++phase > LAST_PHASE) {
                session.out
                        .varlong(session.bytesReceived(), 3)
                        .varlong(session.bytesSent(), 3)
                        .varlong(totalSize, 3)
                        .varlong(0, 3)
                        .varlong(0, 3);
                state = State.GOODBYE;
            }
            session.flush();
            return true;
        }
        flags = session.in.u16();
        basisType = (flags & Rsync.ITEM_BASIS) != 0 ? session.in.u8() : 0;
        alternateName = (flags & Rsync.ITEM_XNAME) != 0 ? session.in.vstring() : "";
        if (index == items.size() && flags == Rsync.ITEM_NEW) {
            return true; // a keep-alive
        }
        if (index < 0 || index >= items.size()) {
            throw new ProtocolException("index " + index + " of a list of " + items.size());
        }
        if ((flags & Rsync.ITEM_TRANSFER) == 0 || options.dryRun) {
            echoItem();
            return true;
        }
        if (!items.get(index).isRegularFile()) {
            throw new ProtocolException("index " + index + " is no regular file");
        }
        state = State.CHECKSUM_HEADER;
        return true;
    }

    private void echoItem() {
        session.out.index(index).u16(flags);
        if ((flags & Rsync.ITEM_BASIS) != 0) {
            session.out.u8(basisType);
        }
        if ((flags & Rsync.ITEM_XNAME) != 0) {
            session.out.vstring(alternateName);
        }
    }

    private boolean readChecksumHeader() throws RsyncIn.IncompleteInputException, ProtocolException {
        basis = new Delta.Basis(session.in.i32(), session.in.i32(), session.in.i32(), session.in.i32());
        state = State.BLOCK_CHECKSUMS;
        return true;
    }

    private boolean readBlockChecksums() throws RsyncIn.IncompleteInputException {
        while (!basis.isComplete()) {
            session.in.mark();
            basis.read(session.in);
        }
        // The file may have been replaced since it was listed, and the space of that version reused by another file.
        // Therefore the current version is sent, as any sender does whose files change during a transfer.
        FileEntry listedEntry = entries.get(index);
        FileEntry current = session.server.files.catalogue().get(module.name(), listedEntry.path());
        if (current == null || !current.isRegularFile()) {
            session.sendMessage(
                    Rsync.WARNING,
                    "file has vanished: \"/" + FileNames.printable(listedEntry.path()) + "\" (in " + module.name()
                            + ")\n");
            session.sendMessage(Rsync.NO_SEND, index);
            state = State.REQUESTS;
            return true;
        }
        currentFile = current;
        session.server.files.catalogue().open(currentFile);
        echoItem();
        basis.writeHeader(session.out);
        delta = new Delta(basis, seed, session.out);
        readOffset = 0;
        sentBytes = 0;
        error = null;
        state = State.CONTENTS;
        return true;
    }

    private boolean sendContents() {
        boolean progressed = false;
        while (error == null
                && readOffset < currentFile.size()
                && pendingReads.size() < MAX_OUTSTANDING_READS
                && session.canWrite()) {
            Piece piece = currentFile.locate(readOffset, READ_LENGTH);
            BlockIo.Result[] result = new BlockIo.Result[1];
            pendingReads.add(result);
            readOffset += piece.length();
            progressed = true;
            session.blockIo.read(volume, piece.offset(), (int) piece.length(), completed -> {
                result[0] = completed;
                session.pump();
            });
        }
        while (!pendingReads.isEmpty() && pendingReads.peek()[0] != null) {
            BlockIo.Result read = pendingReads.poll()[0];
            progressed = true;
            if (error == null && read.ok()) {
                byte[] bytes = new byte[read.data().remaining()];
                read.data().duplicate().get(bytes);
                delta.add(bytes, 0, bytes.length);
                sentBytes += bytes.length;
                session.flush();
            } else if (error == null) {
                error = read.error();
            }
        }
        if (pendingReads.isEmpty() && (error != null || sentBytes == currentFile.size())) {
            finishFile();
            return true;
        }
        return progressed;
    }

    /** Ends a file. If it could not be read or is damaged, its checksum is falsified, so that the client discards it. */
    private void finishFile() {
        byte[] sum = delta.end();
        boolean damaged = error == null && !Arrays.equals(sum, currentFile.md5());
        session.server.files.catalogue().close(currentFile);
        if (error != null || damaged) {
            String reason = damaged ? "its contents do not match their checksum" : error;
            session.out.corrupt(Rsync.STRONG_SUM_LENGTH);
            session.sendMessage(
                    Rsync.ERROR_XFER,
                    "rsync: read errors mapping \"/" + FileNames.printable(currentFile.path()) + "\" (in "
                            + module.name() + "): " + reason + "\n");
            session.sendMessage(Rsync.IO_ERROR, 1);
        }
        currentFile = null;
        session.flush();
        state = State.REQUESTS;
    }

    private boolean readGoodbye() throws RsyncIn.IncompleteInputException, ProtocolException {
        if (session.in.index() != Rsync.PHASE_END) {
            throw new ProtocolException("something else than a goodbye");
        }
        session.finish();
        return false;
    }

    @Override
    public void disconnected() {
        if (currentFile != null) {
            session.server.files.catalogue().close(currentFile);
            currentFile = null;
        }
    }
}
