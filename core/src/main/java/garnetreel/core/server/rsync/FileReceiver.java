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
 * A push: takes the client's list, asks for what differs from what the module has, and makes each file visible whole once
 * its contents are durable and match their checksum.
 */
final class FileReceiver implements Transfer {
    private static final int LIST_MOST = 1_000_000;
    /** Files asked for whose contents have not all come. */
    private static final int REQUESTS_OUT = 32;

    private static final int NAMES_A_CHANGE = 500;
    private static final int LAST_PHASE = 3;

    private enum State {
        FILTERS,
        LIST,
        USERS,
        GROUPS,
        ITEMS,
        HEAD,
        CONTENTS,
        GOODBYE
    }

    /** A name and when it came: one that is listed twice keeps two places, as the client counts them. */
    private record Listed(FileItem item, int number) {}

    /** A file that was asked for. */
    private record Wanted(int index, FileEntry basis, boolean again) {}

    private final RsyncSession session;
    private final GatewaySettings.Module module;
    private final TransferOptions options;
    private final int seed;
    private final Catalogue catalogue;
    private final FilterRules filters = new FilterRules();
    private final FileListCodec list;
    /** The list while it comes: put in order name by name, as to sort a long one at its end would hold up the head. */
    private final TreeSet<Listed> sorted =
            new TreeSet<>(Comparator.comparing(Listed::item, FileItem.ORDER).thenComparingInt(Listed::number));

    private final List<FileItem> items = new ArrayList<>();
    private String directory = "";
    private String single;
    private State state;
    private int next;
    private int phase;
    private int told;
    private int commits;
    private final Map<Integer, Wanted> wanted = new HashMap<>();
    private final ArrayDeque<Integer> redo = new ArrayDeque<>();
    private final Set<Integer> tried = new HashSet<>();
    private final Set<FileEntry> opened = new HashSet<>();
    private BasisChecksums summing;
    private Wanted incoming;
    /** A request was made in this step, whatever came of the client's bytes. */
    private boolean made;

    private IncomingFile file;

    FileReceiver(RsyncSession session, GatewaySettings.Module module, TransferOptions options, int seed)
            throws ProtocolException {
        this.session = session;
        this.module = module;
        this.options = options;
        this.seed = seed;
        this.catalogue = session.front.files.catalogue();
        this.list = new FileListCodec(
                new FileListCodec.Form(options.links, options.owner, options.group, options.checksum));
        this.state = options.delete || options.prune ? State.FILTERS : State.LIST;
        if (options.paths.size() != 1) {
            throw new ProtocolException("a push has one destination");
        }
        directory = FileNames.argument(module.name(), options.paths.get(0));
    }

    @Override
    public boolean step() throws ProtocolException {
        session.in.mark();
        made = false;
        try {
            return switch (state) {
                case FILTERS -> filter();
                case LIST -> item();
                case USERS -> ids(State.GROUPS);
                case GROUPS -> ids(State.ITEMS);
                case ITEMS -> (made = generate()) | reply();
                case HEAD -> head();
                case CONTENTS -> (made = generate()) | contents();
                case GOODBYE -> goodbye();
            };
        } catch (RsyncIn.Short e) {
            session.in.reset();
            return made;
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
        } else {
            state = State.LIST;
        }
        return true;
    }

    private boolean item() throws RsyncIn.Short, ProtocolException {
        FileItem item = list.read(session.in);
        if (item == null) {
            state = options.numericIds
                    ? State.ITEMS
                    : options.owner ? State.USERS : options.group ? State.GROUPS : State.ITEMS;
            if (state == State.ITEMS) {
                listed();
            }
            return true;
        }
        FileNames.check(item.name());
        if (sorted.size() >= LIST_MOST) {
            throw new ProtocolException("a list of more than " + LIST_MOST + " files");
        }
        sorted.add(new Listed(item, sorted.size()));
        return true;
    }

    /** Owners are not kept; their names are passed over. */
    private boolean ids(State then) throws RsyncIn.Short, ProtocolException {
        if (state == State.GROUPS && !options.group) {
            state = then;
            listed();
            return true;
        }
        if (session.in.varint() != 0) {
            session.in.text(session.in.u8());
            return true;
        }
        state = then;
        if (state == State.ITEMS) {
            listed();
        }
        return true;
    }

    private void listed() throws ProtocolException {
        sorted.forEach(l -> items.add(l.item()));
        sorted.clear();
        FileEntry destination = directory.isEmpty() ? null : catalogue.get(module.name(), directory);
        boolean one = items.size() == 1 && !items.get(0).directory();
        if (destination != null && !destination.isDirectory() && !one) {
            throw new ProtocolException("the destination \"" + FileNames.printable(directory) + "\" is no directory");
        }
        if (one
                && !directory.isEmpty()
                && !options.paths.get(0).endsWith("/")
                && (destination == null || !destination.isDirectory())) {
            single = directory; // one file under another name
        }
        makeDirectories();
        if (options.delete && options.recursive) {
            delete();
        }
    }

    private String path(FileItem item) {
        return single != null ? single : FileNames.join(directory, item.name());
    }

    /** All directories become visible first, together with the links; both are names without contents. */
    private void makeDirectories() {
        List<FileEntry> put = new ArrayList<>();
        Set<String> made = new HashSet<>();
        parents(put, made, directory, single != null);
        for (FileItem item : items) {
            String path = path(item);
            if (options.dryRun || path.isEmpty()) {
                continue;
            }
            if (item.directory() || item.symlink()) {
                FileEntry old = catalogue.get(module.name(), path);
                if (options.existing && old == null) {
                    continue;
                }
                parents(put, made, FileNames.parent(path), false);
                FileEntry entry = item.directory()
                        ? FileEntry.directory(module.name(), path, mode(item, old, 0755), time(item))
                        : FileEntry.link(module.name(), path, item.mode(), time(item), item.target());
                boolean same = old != null
                        && old.mode() == entry.mode()
                        && old.target().equals(entry.target())
                        && (!options.times || old.modified() == entry.modified());
                if (!same && made.add(path)) {
                    put.add(entry);
                }
            } else if (!item.regular()) {
                session.tell(Rsync.INFO, "skipping non-regular file \"" + FileNames.printable(item.name()) + "\"\n");
            }
            if (put.size() >= NAMES_A_CHANGE) {
                commit(List.of(), put);
                put = new ArrayList<>();
            }
        }
        if (!put.isEmpty() && !options.dryRun) {
            commit(List.of(), put);
        }
    }

    private void parents(List<FileEntry> put, Set<String> made, String path, boolean ofFile) {
        String at = ofFile ? FileNames.parent(path) : path;
        if (at.isEmpty() || made.contains(at)) {
            return;
        }
        FileEntry old = catalogue.get(module.name(), at);
        if (old == null || !old.isDirectory()) {
            parents(put, made, FileNames.parent(at), false);
            made.add(at);
            put.add(FileEntry.directory(module.name(), at, 0755, session.front.time() / 1_000_000));
        }
    }

    private int mode(FileItem item, FileEntry old, int otherwise) {
        return options.perms
                ? item.mode()
                : item.mode() & Rsync.KIND
                        | (old != null ? old.mode() & 07777 : item.directory() ? otherwise : item.mode() & 0777);
    }

    private long time(FileItem item) {
        return options.times ? item.modified() : session.front.time() / 1_000_000;
    }

    /** Takes away what the client's directories do not hold, unless the client could not read them all. */
    private void delete() {
        if (list.failed() || session.peerFailed()) {
            session.tell(Rsync.INFO, "IO error encountered -- skipping file deletion\n");
            return;
        }
        Set<String> held = new HashSet<>();
        Set<String> directories = new HashSet<>();
        for (FileItem item : items) {
            held.add(path(item));
            if (item.directory()) {
                directories.add(path(item));
            }
        }
        List<FileChange.Name> gone = new ArrayList<>();
        Set<String> goneDirectories = new HashSet<>();
        Set<String> kept = new HashSet<>();
        List<FileEntry> all = catalogue.entriesBelow(module.name(), directory);
        for (FileEntry entry : all) {
            String parent = FileNames.parent(entry.path());
            boolean candidate =
                    goneDirectories.contains(parent) || directories.contains(parent) && !held.contains(entry.path());
            if (!candidate) {
                continue;
            }
            String name = directory.isEmpty() ? entry.path() : entry.path().substring(directory.length() + 1);
            if (!options.deleteExcluded && filters.protects(name, entry.isDirectory())) {
                for (String up = parent; goneDirectories.contains(up); up = FileNames.parent(up)) {
                    kept.add(up); // a directory that holds something protected stays
                }
                continue;
            }
            if (entry.isDirectory()) {
                goneDirectories.add(entry.path());
            }
            gone.add(new FileChange.Name(module.name(), entry.path()));
        }
        gone.removeIf(n -> kept.contains(n.path()));
        if (options.verbose > 0) {
            gone.forEach(n -> session.tell(
                    Rsync.DELETED,
                    n.path().substring(directory.isEmpty() ? 0 : directory.length() + 1)
                            + (goneDirectories.contains(n.path()) ? "\0" : "")));
        }
        if (!gone.isEmpty() && !options.dryRun) {
            commit(gone, List.of());
        }
    }

    private void commit(List<FileChange.Name> gone, List<FileEntry> put) {
        commits++;
        session.front.files.commit(gone, put, () -> {
            commits--;
            session.pump();
        });
    }

    // ---------------------------------------------------------------- the generator

    /** Asks for files while there is room for their requests. True when something was done. */
    private boolean generate() {
        if (summing != null) {
            return summing.step() && finishSums();
        }
        if (wanted.size() >= REQUESTS_OUT || !session.mayWrite()) {
            return false;
        }
        if (phase == 0 && next < items.size()) {
            int index = next++;
            FileItem item = items.get(index);
            if (item.regular()) {
                consider(index, item);
            }
            return true;
        }
        if (phase > 0 && phase < LAST_PHASE && !redo.isEmpty() && told == phase) {
            ask(redo.poll(), null, true);
            return true;
        }
        if (told == phase && told < LAST_PHASE && redo.isEmpty()) {
            session.out.index(Rsync.DONE);
            session.flush();
            told++;
            return true;
        }
        return false;
    }

    private void consider(int index, FileItem item) {
        FileEntry old = catalogue.get(module.name(), path(item));
        FileEntry same = old != null && old.isRegularFile() ? old : null;
        if (options.existing && old == null
                || options.ignoreExisting && old != null
                || options.update && same != null && same.modified() > item.modified()) {
            return;
        }
        if (same != null && same.size() == item.size() && unchanged(same, item)) {
            int mode = mode(item, same, 0);
            long time = options.times ? item.modified() : same.modified();
            if (!options.dryRun && (mode != same.mode() || time != same.modified())) {
                commit(List.of(), List.of(same.withAttributes(mode, time)));
            }
            return;
        }
        ask(index, same, false);
    }

    private boolean unchanged(FileEntry old, FileItem item) {
        return options.checksum
                ? Arrays.equals(old.md5(), item.sum())
                : options.sizeOnly || !options.ignoreTimes && old.modified() == item.modified();
    }

    private void ask(int index, FileEntry basis, boolean again) {
        boolean delta = basis != null && basis.size() > 0 && !options.whole && !options.dryRun;
        Wanted want = new Wanted(index, delta ? basis : null, again);
        wanted.put(index, want);
        session.out.index(index).u16(Rsync.ITEM_TRANSFER | (basis == null ? Rsync.ITEM_NEW : 0));
        if (options.dryRun) {
            session.flush();
            return;
        }
        if (delta) {
            catalogue.open(basis);
            opened.add(basis);
            summing = new BasisChecksums(session, session.front.files.volume(module.name()), basis, seed);
            summing.step();
            finishSums();
        } else {
            session.out.i32(0).i32(0).i32(0).i32(0);
            session.flush();
        }
    }

    /** The checksums of a basis follow its request once all of it has been read; nothing else may come between. */
    private boolean finishSums() {
        if (summing.done()) {
            summing = null;
            session.flush();
        }
        return true;
    }

    // ---------------------------------------------------------------- what the client sends

    private boolean reply() throws RsyncIn.Short, ProtocolException {
        session.in.mark();
        if (file != null) {
            return false;
        }
        int index = session.in.index();
        if (index == Rsync.DONE) {
            phase++;
            if (phase > told) {
                throw new ProtocolException("a phase ended that had not begun");
            }
            if (phase == LAST_PHASE) {
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
            return true; // a sign of life
        }
        incoming = wanted.get(index);
        if (incoming == null) {
            throw new ProtocolException("index " + index + ", which was not asked for");
        }
        if (options.dryRun) {
            wanted.remove(index);
            return true;
        }
        if ((flags & Rsync.ITEM_TRANSFER) == 0) {
            throw new ProtocolException("index " + index + " without its contents");
        }
        state = State.HEAD;
        return true;
    }

    private boolean head() throws RsyncIn.Short, ProtocolException {
        int count = session.in.i32();
        int block = session.in.i32();
        session.in.i32();
        int rest = session.in.i32();
        if (count < 0 || block < 0 || block > Rsync.BLOCK_MOST || rest < 0 || rest > block) {
            throw new ProtocolException(
                    "a checksum header of " + count + " blocks of " + block + " bytes, the last of " + rest);
        }
        file = new IncomingFile(
                session, module.name(), items.get(incoming.index()), incoming.basis(), count, block, rest);
        state = State.CONTENTS;
        return true;
    }

    private boolean contents() throws RsyncIn.Short, ProtocolException {
        if (!file.step()) {
            return false;
        }
        if (!file.complete()) {
            return true;
        }
        done();
        return true;
    }

    private void done() {
        Wanted want = incoming;
        IncomingFile ended = file;
        incoming = null;
        file = null;
        wanted.remove(want.index());
        state = State.ITEMS;
        if (want.basis() != null && opened.remove(want.basis())) {
            catalogue.close(want.basis());
        }
        FileItem item = items.get(want.index());
        String shown = FileNames.printable(item.name());
        if (ended.error() != null) {
            ended.discard();
            session.tell(
                    Rsync.ERROR_XFER,
                    "rsync: write failed on \"/" + shown + "\" (in " + module.name() + "): " + ended.error() + "\n");
        } else if (!ended.matches()) {
            ended.discard();
            if (tried.add(want.index()) && phase < 2) {
                redo.add(want.index());
            } else {
                session.tell(Rsync.ERROR_XFER, "ERROR: " + shown + " failed verification -- update discarded.\n");
            }
        } else {
            String path = path(item);
            FileEntry old = catalogue.get(module.name(), path);
            commit(
                    replaced(old),
                    List.of(new FileEntry(
                            module.name(),
                            path,
                            0,
                            mode(item, old, 0),
                            ended.size(),
                            time(item),
                            ended.sum(),
                            ended.keep(),
                            "")));
        }
    }

    /** A directory that a file takes the place of goes with all it holds. */
    private List<FileChange.Name> replaced(FileEntry old) {
        if (old == null || !old.isDirectory()) {
            return List.of();
        }
        List<FileChange.Name> gone = new ArrayList<>();
        catalogue
                .entriesBelow(module.name(), old.path())
                .forEach(e -> gone.add(new FileChange.Name(module.name(), e.path())));
        return gone;
    }

    /** All has come. The goodbye is said when all of it is durable and visible. */
    private boolean goodbye() {
        if (commits > 0) {
            return false;
        }
        session.out.index(Rsync.DONE);
        session.finished();
        return false;
    }

    @Override
    public void gone() {
        if (file != null) {
            file.discard();
        }
        opened.forEach(catalogue::close);
        opened.clear();
    }
}
