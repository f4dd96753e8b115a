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

/** A pull: lists what was asked for, then sends what the client's generator requests, as delta against what it has. */
final class FileSender implements Transfer {
    /** Bytes of a block that is read, and blocks under way for one client. */
    private static final int READ = 128 << 10;

    private static final int READS_OUT = 4;
    private static final int LAST_PHASE = 2;
    private static final int ENTRIES_A_STEP = 256;

    private enum State {
        FILTERS,
        COLLECT,
        LIST,
        REQUESTS,
        HEAD,
        SUMS,
        SENDING,
        GOODBYE
    }

    /** A directory whose names are being listed, and directories in it that a filter hides. */
    private record Walk(String path, String root, Iterator<FileEntry> entries, Set<String> hidden) {}

    private final RsyncSession session;
    private final GatewaySettings.Module module;
    private final TransferOptions options;
    private final int seed;
    private final Volume volume;
    private final FilterRules filters = new FilterRules();
    private final FileListCodec list;
    private final List<FileItem> items = new ArrayList<>();
    private final List<FileEntry> entries = new ArrayList<>();
    private final ArrayDeque<Walk> walks = new ArrayDeque<>();
    private final List<FileItem> found = new ArrayList<>();
    private final List<FileEntry> from = new ArrayList<>();
    private final Set<String> names = new HashSet<>();
    private State state = State.FILTERS;
    private int listed;
    private int phase;
    private long total;
    private boolean failed;
    private int index;
    private int flags;
    private int basisKind;
    private String otherName = "";
    private Delta.Basis basis;
    private FileEntry sending;
    private Delta delta;
    private long asked;
    private long sent;
    private String error;
    private final ArrayDeque<BlockReader.Done[]> reads = new ArrayDeque<>();

    FileSender(RsyncSession session, GatewaySettings.Module module, TransferOptions options, int seed) {
        this.session = session;
        this.module = module;
        this.options = options;
        this.seed = seed;
        this.volume = session.front.files.volume(module.name());
        this.list = new FileListCodec(
                new FileListCodec.Form(options.links, options.owner, options.group, options.checksum));
    }

    @Override
    public boolean step() throws ProtocolException {
        session.in.mark();
        try {
            return switch (state) {
                case FILTERS -> filter();
                case COLLECT -> walk();
                case LIST -> list();
                case REQUESTS -> request();
                case HEAD -> head();
                case SUMS -> sums();
                case SENDING -> send();
                case GOODBYE -> goodbye();
            };
        } catch (RsyncIn.Short e) {
            session.in.reset();
            return false;
        }
    }

    // ---------------------------------------------------------------- the list

    private boolean filter() throws RsyncIn.Short, ProtocolException {
        int length = session.in.i32();
        if (length < 0 || length > Rsync.NAME_MOST) {
            throw new ProtocolException("a filter rule of " + length + " bytes");
        }
        if (length > 0) {
            filters.add(session.in.text(length));
            return true;
        }
        collect();
        state = State.COLLECT;
        return true;
    }

    /** Looks up what was asked for; what directories hold follows in steps. */
    private void collect() throws ProtocolException {
        for (String word : options.paths) {
            String path = FileNames.argument(module.name(), word);
            FileEntry entry = path.isEmpty()
                    ? FileEntry.directory(module.name(), "", 0755, 0)
                    : session.front.files.catalogue().get(module.name(), path);
            if (entry == null) {
                failed = true;
                session.tell(
                        Rsync.ERROR_XFER,
                        "rsync: link_stat \"/" + FileNames.printable(path) + "\" (in " + module.name()
                                + ") failed: No such file or directory (2)\n");
                continue;
            }
            boolean contents = path.isEmpty() || word.endsWith("/") || word.endsWith("/.");
            String root = contents ? path : FileNames.parent(path);
            if (!entry.isDirectory()) {
                add(entry, FileNames.last(path));
                continue;
            }
            if (!options.recursive && !options.dirs) {
                session.tell(
                        Rsync.INFO, "skipping directory " + (path.isEmpty() ? "." : FileNames.printable(path)) + "\n");
                continue;
            }
            add(entry, contents ? "." : FileNames.last(path));
            if (options.recursive || contents) {
                walks.add(new Walk(
                        path,
                        root,
                        catalogue().entriesBelow(module.name(), path).iterator(),
                        new HashSet<>()));
            }
        }
    }

    /** Some names of the directories that were asked for; when there are none left, the order of the list. */
    private boolean walk() {
        if (!walks.isEmpty()) {
            Walk walk = walks.peek();
            for (int left = ENTRIES_A_STEP; left > 0 && walk.entries().hasNext(); left--) {
                below(walk, walk.entries().next());
            }
            if (!walk.entries().hasNext()) {
                walks.poll();
            }
            return true;
        }
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < found.size(); i++) {
            order.add(i);
        }
        Collections.sort(order, (a, b) -> FileItem.ORDER.compare(found.get(a), found.get(b)));
        for (int at : order) {
            items.add(found.get(at));
            entries.add(from.get(at));
        }
        found.clear();
        from.clear();
        names.clear();
        state = State.LIST;
        return true;
    }

    private void below(Walk walk, FileEntry entry) {
        String name = walk.root().isEmpty()
                ? entry.path()
                : entry.path().substring(walk.root().length() + 1);
        if (!options.recursive && !FileNames.parent(entry.path()).equals(walk.path())) {
            return;
        }
        // What a hidden directory holds is hidden with it; the catalogue gives a directory before what it holds.
        if (walk.hidden().contains(FileNames.parent(name)) || filters.hides(name, entry.isDirectory())) {
            if (entry.isDirectory()) {
                walk.hidden().add(name);
            }
            return;
        }
        add(entry, name);
    }

    private Catalogue catalogue() {
        return session.front.files.catalogue();
    }

    private void add(FileEntry entry, String name) {
        boolean link = !entry.isDirectory() && !entry.isRegularFile();
        if (link && !options.links || !names.add(name)) {
            return;
        }
        total += entry.isRegularFile() ? entry.size() : 0;
        found.add(new FileItem(
                name,
                entry.mode(),
                entry.size(),
                entry.modified(),
                entry.target(),
                entry.isRegularFile() ? entry.md5() : null));
        from.add(entry);
    }

    private boolean list() {
        if (!session.mayWrite()) {
            return false;
        }
        for (int end = Math.min(items.size(), listed + ENTRIES_A_STEP); listed < end; listed++) {
            list.write(session.out, items.get(listed));
        }
        if (listed == items.size()) {
            session.out.u8(0);
            if (options.owner && !options.numericIds) {
                session.out.varint(0);
            }
            if (options.group && !options.numericIds) {
                session.out.varint(0);
            }
            if (failed) {
                session.tell(Rsync.IO_ERROR, 1);
            }
            state = State.REQUESTS;
        }
        session.flush();
        return true;
    }

    // ---------------------------------------------------------------- requests

    private boolean request() throws RsyncIn.Short, ProtocolException {
        if (!session.mayWrite()) {
            return false;
        }
        index = session.in.index();
        if (index == Rsync.DONE) {
            session.out.index(Rsync.DONE);
            if (++phase > LAST_PHASE) {
                session.out
                        .varlong(session.heard(), 3)
                        .varlong(session.told(), 3)
                        .varlong(total, 3)
                        .varlong(0, 3)
                        .varlong(0, 3);
                state = State.GOODBYE;
            }
            session.flush();
            return true;
        }
        flags = session.in.u16();
        basisKind = (flags & Rsync.ITEM_BASIS) != 0 ? session.in.u8() : 0;
        otherName = (flags & Rsync.ITEM_XNAME) != 0 ? session.in.vstring() : "";
        if (index == items.size() && flags == Rsync.ITEM_NEW) {
            return true; // a sign of life
        }
        if (index < 0 || index >= items.size()) {
            throw new ProtocolException("index " + index + " of a list of " + items.size());
        }
        if ((flags & Rsync.ITEM_TRANSFER) == 0 || options.dryRun) {
            item();
            return true;
        }
        if (!items.get(index).regular()) {
            throw new ProtocolException("index " + index + " is no regular file");
        }
        state = State.HEAD;
        return true;
    }

    private void item() {
        session.out.index(index).u16(flags);
        if ((flags & Rsync.ITEM_BASIS) != 0) {
            session.out.u8(basisKind);
        }
        if ((flags & Rsync.ITEM_XNAME) != 0) {
            session.out.vstring(otherName);
        }
    }

    private boolean head() throws RsyncIn.Short, ProtocolException {
        basis = new Delta.Basis(session.in.i32(), session.in.i32(), session.in.i32(), session.in.i32());
        state = State.SUMS;
        return true;
    }

    private boolean sums() throws RsyncIn.Short {
        while (!basis.full()) {
            session.in.mark();
            basis.read(session.in);
        }
        // Guards against a file that was replaced since it was listed: the room of that version may be another file's
        // by
        // now. What is there at this moment is sent, as by a sender whose files change under it.
        FileEntry listedAs = entries.get(index);
        FileEntry current = session.front.files.catalogue().get(module.name(), listedAs.path());
        if (current == null || !current.isRegularFile()) {
            session.tell(
                    Rsync.WARNING,
                    "file has vanished: \"/" + FileNames.printable(listedAs.path()) + "\" (in " + module.name()
                            + ")\n");
            session.tell(Rsync.NO_SEND, index);
            state = State.REQUESTS;
            return true;
        }
        sending = current;
        session.front.files.catalogue().open(sending);
        item();
        basis.writeHead(session.out);
        delta = new Delta(basis, seed, session.out);
        asked = 0;
        sent = 0;
        error = null;
        state = State.SENDING;
        return true;
    }

    private boolean send() {
        boolean moved = false;
        while (error == null && asked < sending.size() && reads.size() < READS_OUT && session.mayWrite()) {
            Piece piece = sending.locate(asked, READ);
            BlockReader.Done[] slot = new BlockReader.Done[1];
            reads.add(slot);
            asked += piece.length();
            moved = true;
            session.blocks.read(volume, piece.offset(), (int) piece.length(), done -> {
                slot[0] = done;
                session.pump();
            });
        }
        while (!reads.isEmpty() && reads.peek()[0] != null) {
            BlockReader.Done done = reads.poll()[0];
            moved = true;
            if (error == null && done.ok()) {
                byte[] bytes = new byte[done.data().remaining()];
                done.data().duplicate().get(bytes);
                delta.add(bytes, 0, bytes.length);
                sent += bytes.length;
                session.flush();
            } else if (error == null) {
                error = done.error();
            }
        }
        if (reads.isEmpty() && (error != null || sent == sending.size())) {
            finish();
            return true;
        }
        return moved;
    }

    /** Ends a file. One that can't be read whole ends with a checksum that it does not have, so nobody keeps it. */
    private void finish() {
        byte[] sum = delta.end();
        boolean damaged = error == null && !Arrays.equals(sum, sending.md5());
        session.front.files.catalogue().close(sending);
        if (error != null || damaged) {
            String why = damaged ? "its contents do not match their checksum" : error;
            session.out.spoil(Rsync.STRONG);
            session.tell(
                    Rsync.ERROR_XFER,
                    "rsync: read errors mapping \"/" + FileNames.printable(sending.path()) + "\" (in " + module.name()
                            + "): " + why + "\n");
            session.tell(Rsync.IO_ERROR, 1);
        }
        sending = null;
        session.flush();
        state = State.REQUESTS;
    }

    private boolean goodbye() throws RsyncIn.Short, ProtocolException {
        if (session.in.index() != Rsync.DONE) {
            throw new ProtocolException("something else than a goodbye");
        }
        session.finished();
        return false;
    }

    @Override
    public void gone() {
        if (sending != null) {
            session.front.files.catalogue().close(sending);
            sending = null;
        }
    }
}
