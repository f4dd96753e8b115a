package garnetreel.testbed.client;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.MultiplexedFrames;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;
import garnetreel.core.io.NetAction;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** One rsync run on one connection: greeting, module selection, setup and a {@link RsyncTransfer}. */
final class RsyncClientSession {
    private static final int MAX_LINE_BYTES = 1000;

    private enum State {
        GREETING,
        MODULE,
        SETUP,
        TRANSFER,
        ENDED
    }

    private final String module;
    private final long connectionId;
    private final boolean push;
    private final RsyncTransfer transfer;
    private final RsyncIn in = new RsyncIn();
    private final RsyncOut out = new RsyncOut();
    private final MultiplexedFrames frames = new MultiplexedFrames();
    private List<NetAction> actions = new ArrayList<>();
    private State state = State.GREETING;
    private boolean serverErrors;

    /** @param transfer the exchange after the setup, inside the multiplexed stream */
    RsyncClientSession(String module, long connectionId, boolean push, RsyncTransfer transfer) {
        this.module = module;
        this.connectionId = connectionId;
        this.push = push;
        this.transfer = transfer;
    }

    boolean isEnded() {
        return state == State.ENDED;
    }

    /** Whether the server reported an error, or a file could not be transferred. */
    boolean hasErrors() {
        return serverErrors || transfer.hasErrors();
    }

    void received(ByteBuffer data, List<NetAction> into) throws ProtocolException {
        actions = into;
        if (state == State.TRANSFER) {
            frames.add(
                    data,
                    in,
                    (type, body) ->
                            serverErrors |= type == Rsync.ERROR || type == Rsync.ERROR_XFER || type == Rsync.IO_ERROR);
        } else {
            in.add(data);
        }
        while (state != State.ENDED && step()) {
            flush();
        }
        flush();
    }

    private void flush() {
        ByteBuffer frame = state == State.ENDED ? null : out.takeFrame();
        if (frame != null) {
            actions.add(new NetAction.Write(connectionId, frame));
        }
    }

    private void writeText(String text) {
        actions.add(new NetAction.Write(connectionId, new RsyncOut().text(text).take()));
    }

    /** Processes the next protocol element; returns false if more bytes are needed. */
    private boolean step() throws ProtocolException {
        in.mark();
        try {
            return switch (state) {
                case GREETING -> readGreeting();
                case MODULE -> readModuleReply();
                case SETUP -> readSetup();
                case TRANSFER -> advanceTransfer();
                case ENDED -> false;
            };
        } catch (RsyncIn.IncompleteInputException e) {
            in.reset();
            return false;
        }
    }

    private boolean readGreeting() throws ProtocolException {
        if (in.until('\n', MAX_LINE_BYTES) == null) {
            return false;
        }
        writeText("@RSYNCD: 31.0 md5\n" + module + "\n");
        state = State.MODULE;
        return true;
    }

    private boolean readModuleReply() throws ProtocolException {
        String line = in.until('\n', MAX_LINE_BYTES);
        if (line == null) {
            return false;
        }
        if (!line.equals("@RSYNCD: OK")) {
            throw new ProtocolException("rsync server did not accept module " + module + ": " + line);
        }
        String sender = push ? "" : "--sender\0";
        String delete = push ? "--delete\0" : "";
        writeText("--server\0" + sender + "-ltpre.iLsfxCIvu\0" + delete + ".\0" + module + "/\0\0");
        state = State.SETUP;
        return true;
    }

    private boolean readSetup() throws RsyncIn.IncompleteInputException, ProtocolException {
        in.varint(); // compatibility flags
        int seed = in.i32();
        // Bytes received after the setup are the start of the multiplexed stream.
        byte[] buffered = in.take(in.size());
        state = State.TRANSFER;
        out.i32(0); // no filter rules
        transfer.begin(in, out, seed);
        RsyncIn demultiplexed = new RsyncIn();
        frames.add(ByteBuffer.wrap(buffered), demultiplexed, (type, body) -> serverErrors = true);
        in.add(ByteBuffer.wrap(demultiplexed.take(demultiplexed.size())));
        return true;
    }

    private boolean advanceTransfer() throws RsyncIn.IncompleteInputException, ProtocolException {
        boolean progress = transfer.step();
        if (transfer.isEnded()) {
            flush();
            actions.add(new NetAction.Close(connectionId, false));
            state = State.ENDED;
        }
        return progress;
    }
}
