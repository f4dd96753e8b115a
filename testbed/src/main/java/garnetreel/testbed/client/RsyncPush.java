package garnetreel.testbed.client;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Delta;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;
import java.util.List;

/** A push: sends the file list, and for each file that the server requests the delta to the server's copy. */
final class RsyncPush implements RsyncTransfer {
    /** Number of end-of-phase markers from the server before the goodbye. */
    private static final int PHASES = 3;

    private enum State {
        REQUESTS,
        CHECKSUMS,
        GOODBYE,
        ENDED
    }

    private final LocalFiles files;
    private final RsyncLoadGenerator.Tally tally;
    private final FileListCodec fileList = new FileListCodec(LIST_OPTIONS);
    private List<FileItem> items = List.of();
    private State state = State.REQUESTS;
    private RsyncIn in;
    private RsyncOut out;
    private int checksumSeed;
    private int phasesEnded;
    private int index;
    private int itemFlags;
    private Delta.Basis basis;

    RsyncPush(LocalFiles files, RsyncLoadGenerator.Tally tally) {
        this.files = files;
        this.tally = tally;
    }

    @Override
    public void begin(RsyncIn input, RsyncOut output, int seed) {
        in = input;
        out = output;
        checksumSeed = seed;
        items = files.items();
        items.forEach(item -> fileList.write(out, item));
        out.u8(0);
    }

    @Override
    public boolean step() throws RsyncIn.IncompleteInputException, ProtocolException {
        switch (state) {
            case REQUESTS -> readRequest();
            case CHECKSUMS -> sendDelta();
            case GOODBYE -> {
                if (in.index() == Rsync.PHASE_END) {
                    state = State.ENDED;
                }
            }
            case ENDED -> throw new IllegalStateException("step called after the goodbye exchange");
        }
        return true;
    }

    private void readRequest() throws RsyncIn.IncompleteInputException, ProtocolException {
        index = in.index();
        if (index == Rsync.PHASE_END) {
            out.index(Rsync.PHASE_END);
            if (++phasesEnded == PHASES) {
                state = State.GOODBYE;
            }
            return;
        }
        itemFlags = in.u16();
        basis = new Delta.Basis(in.i32(), in.i32(), in.i32(), in.i32());
        state = State.CHECKSUMS;
    }

    private void sendDelta() throws RsyncIn.IncompleteInputException {
        while (!basis.isComplete()) {
            // Keeps the checksums read so far if the input runs short.
            in.mark();
            basis.read(in);
        }
        out.index(index).u16(itemFlags);
        basis.writeHeader(out);
        byte[] contents = files.contents(items.get(index).name());
        Delta delta = new Delta(basis, checksumSeed, out);
        delta.add(contents, 0, contents.length);
        delta.end();
        tally.files++;
        tally.bytes += contents.length;
        tally.literalBytes += contents.length - delta.matched();
        state = State.REQUESTS;
    }

    @Override
    public boolean isEnded() {
        return state == State.ENDED;
    }

    @Override
    public boolean hasErrors() {
        return false;
    }
}
