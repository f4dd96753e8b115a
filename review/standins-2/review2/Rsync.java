package review2;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.MultiplexedFrames;
import garnetreel.codec.rsync.RsyncIn;
import garnetreel.codec.rsync.RsyncOut;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An rsync client of protocol 30, daemon mode: one push or pull a connection, with -ltpr and whole files. */
public final class Rsync implements AutoCloseable {
    /** A local file. */
    public record File(String name, int permissions, long modified, byte[] contents) {}

    /** What a pull brought: contents by name; those whose checksum is wrong are left out, as a client does. */
    public record Pulled(Map<String, byte[]> files, boolean whole) {}

    private static final FileListCodec.Options LIST = new FileListCodec.Options(true, false, false, false);
    private static final int PHASE_END = -1;

    private interface Parser<T> {
        T parse() throws RsyncIn.IncompleteInputException, ProtocolException;
    }

    private final Record record;
    private final String name;
    private final Socket socket = new Socket();
    private final RsyncIn in = new RsyncIn();
    private final RsyncOut out = new RsyncOut();
    private final MultiplexedFrames frames = new MultiplexedFrames();
    private boolean multiplexed;
    private boolean errors;

    private Rsync(Record record, String name, int port, String arguments, String module) throws Exception {
        this.record = record;
        this.name = name;
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(90_000);
        line();
        text("@RSYNCD: 30.0\n" + module + "\n");
        String reply = line();
        if (!reply.equals("@RSYNCD: OK")) {
            throw new IOException(reply);
        }
        text(arguments);
        read(in::varint);
        read(in::i32);
        multiplexed = true;
        byte[] rest = in.take(in.size());
        received(rest, rest.length);
        if (arguments.contains("--sender")) {
            out.i32(0); // no filter rules; a push without --delete sends none
        }
        flush();
    }

    private void text(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String line() throws Exception {
        String line;
        while ((line = in.until('\n', 2000)) == null) {
            fill();
        }
        return line;
    }

    private void fill() throws IOException, ProtocolException {
        byte[] buffer = new byte[1 << 16];
        int count = socket.getInputStream().read(buffer);
        if (count < 0) {
            throw new EOFException("the server ended the connection");
        }
        received(buffer, count);
    }

    private void received(byte[] bytes, int count) throws ProtocolException {
        ByteBuffer data = ByteBuffer.wrap(Arrays.copyOf(bytes, count));
        if (!multiplexed) {
            in.add(data);
            return;
        }
        frames.add(data, in, (kind, body) -> {
            if (kind == garnetreel.codec.rsync.Rsync.ERROR
                    || kind == garnetreel.codec.rsync.Rsync.ERROR_XFER
                    || kind == garnetreel.codec.rsync.Rsync.IO_ERROR) {
                errors = true;
                record.line("%s: told \"%s\"", name, new String(body, StandardCharsets.ISO_8859_1).strip());
            }
        });
    }

    private <T> T read(Parser<T> parser) throws IOException, ProtocolException {
        while (true) {
            in.mark();
            try {
                return parser.parse();
            } catch (RsyncIn.IncompleteInputException e) {
                in.reset();
                fill();
            }
        }
    }

    private void flush() throws IOException {
        ByteBuffer frame = out.takeFrame();
        if (frame != null) {
            socket.getOutputStream().write(frame.array(), 0, frame.limit());
        }
    }

    /** Pushes files into a module; true if the server said at the end that all is stored. */
    public static boolean push(Record record, String name, int port, String module, List<File> files) {
        try (Rsync client = new Rsync(
                record, name, port, "--server\0-ltprWe.iLsfxCIvu\0.\0" + module + "/\0\0", module)) {
            client.push(files);
            record.line("%s: push of %s ended %s", name, names(files), client.errors ? "with errors" : "as stored");
            return !client.errors;
        } catch (Exception e) {
            record.line("%s: push of %s broke off, %s", name, names(files), e);
            return false;
        }
    }

    private static String names(List<File> files) {
        return files.size() > 3
                ? files.size() + " files"
                : String.join(", ", files.stream().map(f -> f.name() + " " + Case.start(f.contents())).toList());
    }

    private void push(List<File> files) throws IOException, ProtocolException {
        Map<String, byte[]> contents = new LinkedHashMap<>();
        List<FileItem> items = new ArrayList<>();
        items.add(new FileItem(".", garnetreel.codec.rsync.Rsync.DIRECTORY | 0755, 0, 1, "", null));
        for (File file : files) {
            contents.put(file.name(), file.contents());
            items.add(new FileItem(
                    file.name(),
                    garnetreel.codec.rsync.Rsync.REGULAR | file.permissions(),
                    file.contents().length,
                    file.modified(),
                    "",
                    null));
        }
        items.sort(FileItem.ORDER);
        FileListCodec list = new FileListCodec(LIST);
        for (FileItem item : items) {
            list.write(out, item);
            if (out.size() > 1 << 16) {
                flush();
            }
        }
        out.u8(0);
        flush();
        int phases = 0;
        while (true) {
            int index = read(in::index);
            if (index == PHASE_END) {
                if (phases == 3) {
                    return;
                }
                out.index(PHASE_END);
                flush();
                phases++;
                continue;
            }
            int flags = read(in::u16);
            for (int i = 0; i < 4; i++) {
                read(in::i32);
            }
            byte[] bytes = contents.get(items.get(index).name());
            out.index(index).u16(flags).i32(0).i32(0).i32(0).i32(0);
            for (int at = 0; at < bytes.length; ) {
                int length = Math.min(32 << 10, bytes.length - at);
                out.i32(length).bytes(bytes, at, length);
                at += length;
                flush();
            }
            out.i32(0).bytes(Checksums.md5().digest(bytes));
            flush();
        }
    }

    /** Pulls a path of a module. */
    public static Pulled pull(Record record, String name, int port, String module, String path) {
        try (Rsync client = new Rsync(
                record, name, port, "--server\0--sender\0-ltpre.iLsfxCIvu\0.\0" + module + "/" + path + "\0\0", module)) {
            Map<String, byte[]> files = client.pull();
            files.forEach((file, bytes) -> record.line("%s: pulled %s, %s", name, file, Case.start(bytes)));
            return new Pulled(files, !client.errors);
        } catch (Exception e) {
            record.line("%s: pull of %s broke off, %s", name, path, e);
            return new Pulled(Map.of(), false);
        }
    }

    private Map<String, byte[]> pull() throws IOException, ProtocolException {
        FileListCodec list = new FileListCodec(LIST);
        List<FileItem> items = new ArrayList<>();
        while (true) {
            FileItem item = read(() -> list.read(in));
            if (item == null) {
                break;
            }
            items.add(item);
        }
        items.sort(FileItem.ORDER);
        for (int i = 0; i < items.size(); i++) {
            if (items.get(i).isRegularFile()) {
                out.index(i)
                        .u16(garnetreel.codec.rsync.Rsync.ITEM_TRANSFER | garnetreel.codec.rsync.Rsync.ITEM_NEW)
                        .i32(0).i32(0).i32(0).i32(0);
            }
        }
        out.index(PHASE_END).index(PHASE_END).index(PHASE_END);
        flush();
        Map<String, byte[]> files = new LinkedHashMap<>();
        for (int phases = 0; phases < 3; ) {
            int index = read(in::index);
            if (index == PHASE_END) {
                phases++;
                continue;
            }
            read(in::u16);
            for (int i = 0; i < 4; i++) {
                read(in::i32);
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int token;
            while ((token = read(in::i32)) != 0) {
                int length = token;
                bytes.writeBytes(read(() -> in.take(length)));
            }
            byte[] sum = read(() -> in.take(16));
            if (Arrays.equals(sum, Checksums.md5().digest(bytes.toByteArray()))) {
                files.put(items.get(index).name(), bytes.toByteArray());
            } else {
                errors = true;
                record.line("%s: %s came with another checksum, left out", name, items.get(index).name());
            }
        }
        out.index(PHASE_END);
        flush();
        return files;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
