package garnetreel.cli.testing.driven;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.MultiplexedFrames;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;
import garnetreel.core.Gateway;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An rsync client of a {@link DrivenGateway}: one push or pull of regular files, with whole contents. */
final class DrivenRsyncClient implements DrivenGateway.DrivenClient {
    /** The error of a transfer whose connection was closed before it had ended. */
    static final String CLOSED = "the connection was closed";

    /** A file of a push. */
    record PushedFile(String name, int permissions, long modified, byte[] contents) {}

    private static final FileListCodec.Options LIST_OPTIONS = new FileListCodec.Options(true, false, false, false);
    private static final int PHASES = 3;
    private static final int LITERAL_LENGTH = 32 << 10;
    private static final int CHECKSUM_LENGTH = 16;
    private static final int MAX_LINE_LENGTH = 2_000;

    private enum State {
        GREETING,
        SEED,
        LIST,
        TRANSFER
    }

    private final DrivenGateway gateway;
    private final RsyncIn in = new RsyncIn();
    private final RsyncOut out = new RsyncOut();
    private final MultiplexedFrames frames = new MultiplexedFrames();
    private final List<FileItem> items = new ArrayList<>();
    private final Map<String, byte[]> contents = new HashMap<>();
    private final Map<String, byte[]> pulled = new HashMap<>();
    private final boolean pull;
    private final boolean deletes;
    private final long connectionId;
    private final FileListCodec list = new FileListCodec(LIST_OPTIONS);
    private State state = State.GREETING;
    private int phaseEnds;
    private boolean ended;
    private boolean closed;
    private String errors = "";

    private enum Kind {
        PUSH,
        DELETING_PUSH,
        PULL
    }

    private DrivenRsyncClient(DrivenGateway gateway, String module, Kind kind, List<PushedFile> files) {
        this.gateway = gateway;
        this.pull = kind == Kind.PULL;
        this.deletes = kind == Kind.DELETING_PUSH;
        if (!pull) {
            items.add(new FileItem(".", Rsync.DIRECTORY | 0755, 0, 1, "", null));
        }
        for (PushedFile file : files) {
            contents.put(file.name(), file.contents());
            items.add(new FileItem(
                    file.name(),
                    Rsync.REGULAR | file.permissions(),
                    file.contents().length,
                    file.modified(),
                    "",
                    null));
        }
        items.sort(FileItem.ORDER);
        connectionId = gateway.connect(Gateway.RSYNC, this);
        String arguments = pull
                ? "--server\0--sender\0-ltpre.i\0.\0"
                : "--server\0-ltpWre.i\0" + (deletes ? "--delete\0" : "") + ".\0";
        sendText("@RSYNCD: 30.0\n" + module + "\n" + arguments + module + "/\0\0");
    }

    /** Begins a push. */
    static DrivenRsyncClient push(DrivenGateway gateway, String module, PushedFile... files) {
        return new DrivenRsyncClient(gateway, module, Kind.PUSH, List.of(files));
    }

    /** Begins a push that deletes what it does not contain. */
    static DrivenRsyncClient pushDeleting(DrivenGateway gateway, String module, PushedFile... files) {
        return new DrivenRsyncClient(gateway, module, Kind.DELETING_PUSH, List.of(files));
    }

    /** Begins a pull of a module's root. */
    static DrivenRsyncClient pull(DrivenGateway gateway, String module) {
        return new DrivenRsyncClient(gateway, module, Kind.PULL, List.of());
    }

    /** Whether the gateway has confirmed the whole transfer without an error. */
    boolean isConfirmed() {
        return ended && errors.isEmpty();
    }

    boolean hasEnded() {
        return ended;
    }

    /** Messages of the gateway about errors; empty for none. */
    String errors() {
        return errors;
    }

    /** The contents of a file that was pulled with a right checksum; null for none. */
    byte[] pulled(String name) {
        return pulled.get(name);
    }

    /** Whether the gateway has closed the connection. */
    boolean isClosed() {
        return closed;
    }

    /** Breaks off the connection. */
    void disconnect() {
        gateway.disconnect(connectionId);
    }

    private void sendText(String text) {
        gateway.send(connectionId, ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Override
    public void closed() {
        closed = true;
        if (!ended) {
            errors += CLOSED;
        }
    }

    @Override
    public void received(ByteBuffer data) {
        try {
            if (state == State.LIST || state == State.TRANSFER) {
                frames.add(data, in, this::message);
            } else {
                in.add(data);
            }
            boolean progressed;
            do {
                progressed = step();
            } while (progressed);
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    private void message(int kind, byte[] body) {
        if (kind == Rsync.ERROR || kind == Rsync.ERROR_XFER || kind == Rsync.IO_ERROR) {
            errors += new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private boolean step() throws ProtocolException {
        if (ended) {
            return false;
        }
        in.mark();
        try {
            switch (state) {
                case GREETING -> greet();
                case SEED -> readSeed();
                case LIST -> readListItem();
                case TRANSFER -> {
                    if (pull) {
                        receiveFile();
                    } else {
                        sendFile();
                    }
                }
            }
            return true;
        } catch (RsyncIn.IncompleteInputException e) {
            in.reset();
            return false;
        }
    }

    /** The greeting and the acknowledgement of the module are lines. */
    private void greet() throws RsyncIn.IncompleteInputException, ProtocolException {
        String line = in.until('\n', MAX_LINE_LENGTH);
        if (line == null) {
            in.take(in.size() + 1); // incomplete
        } else if (line.equals("@RSYNCD: OK")) {
            state = State.SEED;
        } else if (line.startsWith("@ERROR")) {
            errors += line;
            ended = true;
        }
    }

    private void readSeed() throws RsyncIn.IncompleteInputException, ProtocolException {
        in.varint(); // compatibility flags
        in.i32();
        byte[] rest = in.take(in.size());
        state = pull ? State.LIST : State.TRANSFER;
        frames.add(ByteBuffer.wrap(rest), in, this::message);
        if (pull || deletes) {
            out.i32(0); // no filter rules
        }
        if (!pull) {
            sendList();
        }
        flush();
    }

    private void sendList() {
        FileListCodec list = new FileListCodec(LIST_OPTIONS);
        items.forEach(item -> list.write(out, item));
        out.u8(0);
    }

    private void flush() {
        gateway.send(connectionId, out.takeFrame());
    }

    /** Answers the next request of the gateway: for a file, or to end a phase. */
    private void sendFile() throws RsyncIn.IncompleteInputException {
        int index = in.index();
        if (index == Rsync.PHASE_END) {
            if (phaseEnds == PHASES) {
                ended = true; // the goodbye
            } else {
                phaseEnds++;
                out.index(Rsync.PHASE_END);
                flush();
            }
            return;
        }
        int flags = in.u16();
        int blocks = in.i32();
        in.i32();
        int sumLength = in.i32();
        in.i32();
        in.take(blocks * (Integer.BYTES + sumLength));
        byte[] bytes = contents.get(items.get(index).name());
        out.index(index).u16(flags).i32(0).i32(0).i32(0).i32(0);
        for (int at = 0; at < bytes.length; at += LITERAL_LENGTH) {
            int length = Math.min(LITERAL_LENGTH, bytes.length - at);
            out.i32(length).bytes(bytes, at, length);
        }
        out.i32(0).bytes(Checksums.md5().digest(bytes));
        flush();
    }

    private void readListItem() throws RsyncIn.IncompleteInputException, ProtocolException {
        FileItem item = list.read(in);
        if (item != null) {
            items.add(item);
            return;
        }
        state = State.TRANSFER;
        items.sort(FileItem.ORDER);
        for (int index = 0; index < items.size(); index++) {
            if (items.get(index).isRegularFile()) {
                out.index(index)
                        .u16(Rsync.ITEM_TRANSFER | Rsync.ITEM_NEW)
                        .i32(0)
                        .i32(0)
                        .i32(0)
                        .i32(0);
            }
        }
        for (int phase = 0; phase < PHASES; phase++) {
            out.index(Rsync.PHASE_END);
        }
        flush();
    }

    private void receiveFile() throws RsyncIn.IncompleteInputException {
        int index = in.index();
        if (index == Rsync.PHASE_END) {
            phaseEnds++;
            if (phaseEnds == PHASES) {
                ended = true;
                out.index(Rsync.PHASE_END);
                flush();
            }
            return;
        }
        in.take(2 + 4 * Integer.BYTES); // flags and checksum header
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int length = in.i32(); length != 0; length = in.i32()) {
            bytes.writeBytes(in.take(length));
        }
        byte[] sum = in.take(CHECKSUM_LENGTH);
        if (Arrays.equals(sum, Checksums.md5().digest(bytes.toByteArray()))) {
            pulled.put(items.get(index).name(), bytes.toByteArray());
        }
    }
}
