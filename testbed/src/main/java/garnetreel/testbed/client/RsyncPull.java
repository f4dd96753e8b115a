package garnetreel.testbed.client;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;

/** A pull: receives the file list, requests every file whole, and compares its contents with those pushed. */
final class RsyncPull implements RsyncTransfer {
    /** Number of phases before the goodbye, each ended by a marker from both sides. */
    private static final int PHASES = 3;
    /** Number of statistics values that the server sends before the goodbye. */
    private static final int STATISTICS_COUNT = 5;

    private static final int MIN_STATISTIC_BYTES = 3;

    private enum State {
        FILE_LIST,
        FILES,
        CONTENTS,
        GOODBYE,
        ENDED
    }

    private final LocalFiles files;
    private final RsyncLoadGenerator.Tally tally;
    private final BiConsumer<String, String> onMismatch;
    private final FileListCodec fileList = new FileListCodec(LIST_OPTIONS);
    private final List<FileItem> items = new ArrayList<>();
    private State state = State.FILE_LIST;
    private RsyncIn in;
    private RsyncOut out;
    private int phasesEnded;
    private int index;
    private int literalRemaining;
    private ByteArrayOutputStream contents = new ByteArrayOutputStream();
    private boolean errors;

    /** @param onMismatch receives the name of an unexpected or missing file, and what is wrong with it */
    RsyncPull(LocalFiles files, RsyncLoadGenerator.Tally tally, BiConsumer<String, String> onMismatch) {
        this.files = files;
        this.tally = tally;
        this.onMismatch = onMismatch;
    }

    @Override
    public void begin(RsyncIn input, RsyncOut output, int seed) {
        in = input;
        out = output;
    }

    @Override
    public boolean step() throws RsyncIn.IncompleteInputException, ProtocolException {
        switch (state) {
            case FILE_LIST -> readFileList();
            case FILES -> readFileHeader();
            case CONTENTS -> {
                return readContents();
            }
            case GOODBYE -> readGoodbye();
            case ENDED -> throw new IllegalStateException("step called after the goodbye exchange");
        }
        return true;
    }

    private void readFileList() throws RsyncIn.IncompleteInputException, ProtocolException {
        FileItem item = fileList.read(in);
        if (item != null) {
            items.add(item);
            return;
        }
        items.sort(FileItem.ORDER);
        for (int i = 0; i < items.size(); i++) {
            if (items.get(i).isRegularFile()) {
                requestWholeFile(i);
            }
        }
        out.index(Rsync.PHASE_END).index(Rsync.PHASE_END).index(Rsync.PHASE_END);
        files.pushedFilesMissingFrom(items).forEach(name -> onMismatch.accept(name, "is not there"));
        state = State.FILES;
    }

    /** Requests a file with an empty checksum header, so that the server sends all of it. */
    private void requestWholeFile(int file) {
        out.index(file)
                .u16(Rsync.ITEM_TRANSFER | Rsync.ITEM_NEW)
                .i32(0)
                .i32(0)
                .i32(0)
                .i32(0);
    }

    private void readFileHeader() throws RsyncIn.IncompleteInputException, ProtocolException {
        index = in.index();
        if (index == Rsync.PHASE_END) {
            if (++phasesEnded == PHASES) {
                state = State.GOODBYE;
            }
            return;
        }
        in.u16();
        // The server repeats the checksum header of the request.
        in.i32();
        in.i32();
        in.i32();
        in.i32();
        contents = new ByteArrayOutputStream();
        literalRemaining = 0;
        state = State.CONTENTS;
    }

    /** Reads a token or part of its data; returns false if more bytes are needed. */
    private boolean readContents() throws RsyncIn.IncompleteInputException {
        if (literalRemaining > 0) {
            int part = Math.min(literalRemaining, in.size());
            contents.writeBytes(in.take(part));
            literalRemaining -= part;
            return part > 0;
        }
        int token = in.i32();
        if (token > 0) {
            literalRemaining = token;
            return true;
        }
        byte[] checksum = in.take(Rsync.STRONG_SUM_LENGTH);
        verifyFile(items.get(index).name(), contents.toByteArray(), checksum);
        state = State.FILES;
        return true;
    }

    private void verifyFile(String name, byte[] bytes, byte[] checksum) {
        tally.files++;
        tally.bytes += bytes.length;
        if (!Arrays.equals(checksum, Checksums.md5().digest(bytes))) {
            errors = true; // a wrong checksum marks a file that the server could not read; clients discard it
        } else if (!files.isValidPull(name, bytes)) {
            onMismatch.accept(name, "holds bytes that nobody pushed, or an older version");
        }
    }

    private void readGoodbye() throws RsyncIn.IncompleteInputException {
        for (int i = 0; i < STATISTICS_COUNT; i++) {
            try {
                in.varlong(MIN_STATISTIC_BYTES);
            } catch (ProtocolException e) {
                errors = true;
            }
        }
        out.index(Rsync.PHASE_END);
        state = State.ENDED;
    }

    @Override
    public boolean isEnded() {
        return state == State.ENDED;
    }

    @Override
    public boolean hasErrors() {
        return errors;
    }
}
