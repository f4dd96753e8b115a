package garnetreel.cli.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.ServiceProcess;
import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.codec.nodelist.NodeListMessage;
import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.FileItem;
import garnetreel.codec.rsync.FileListCodec;
import garnetreel.codec.rsync.Rsync;
import garnetreel.codec.rsync.RsyncOut;
import garnetreel.core.Gateway;
import garnetreel.emulator.Simulation;
import garnetreel.net.Addresses;
import garnetreel.testbed.client.RsyncLoadGenerator;
import garnetreel.testbed.list.FakeNodeList;
import garnetreel.testbed.node.FakeNode;
import garnetreel.testbed.node.MemoryDisk;
import garnetreel.testbed.node.NodeSettings;
import garnetreel.testbed.rules.Verdict;
import garnetreel.testbed.scenario.ScenarioRunner;
import garnetreel.testbed.trace.Trace;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Base64;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The rsync server: a scenario with faults in the emulator, and sessions with a gateway over sockets. */
@Timeout(120)
class RsyncTest {
    @TempDir
    Path temp;

    private final ServiceProcess process = new ServiceProcess();

    @AfterEach
    void stop() {
        process.close();
    }

    @Test
    void pulledFilesEqualPushedFilesDespiteFaults() throws Exception {
        for (long seed = 2; seed <= 3; seed++) {
            ScenarioRunner.Result result = new ScenarioRunner(
                            ScenarioFile.read(Path.of("../days/files.hcl")).scenario(seed, 10_000),
                            new Simulation(1_000_000_000_000L, seed, new Simulation.Delays(50, 200)),
                            Trace.NONE,
                            UnaryOperator.identity())
                    .run();
            for (Verdict verdict : result.verdicts()) {
                assertTrue(verdict.isKept(), "seed " + seed + ": " + verdict);
            }
            for (Map.Entry<String, RsyncLoadGenerator.Tally> folder :
                    result.rsyncTallies().entrySet()) {
                RsyncLoadGenerator.Tally tally = folder.getValue();
                assertEquals(0, tally.mismatches, folder.getKey());
                assertTrue(tally.completed > 5 && tally.failed > 0, "the case did not occur: " + folder.getKey());
                assertTrue(
                        tally.literalBytes < tally.bytes / 2,
                        "delta transfer matched too little; literal bytes: " + tally.literalBytes + " of "
                                + tally.bytes);
            }
        }
    }

    private String start(String module) throws Exception {
        String text =
                """
                service {
                  heads = 1
                }
                class "read" {
                  aim = "2s"
                  deadline = "4s"
                  effect = "repeatable"
                }
                class "write" {
                  aim = "2s"
                  deadline = "4s"
                  effect = "once"
                  writes = true
                }
                plan "open" {
                  rate = 100000
                  weight = 1
                }
                volume "files" {
                  id = 1
                  size = "1MiB"
                  plan = "open"
                  read_class = "read"
                  write_class = "write"
                  flush_class = "read"
                  shards = [0]
                }
                module_of_files "pages" {
                  volume = "files"
                  comment = "scans"
                %s}
                """
                        .formatted(module);
        Settings settings = Settings.of(HclFile.parse("rsync.hcl", text));
        var node = process.run(
                "n0",
                new FakeNode(
                        NodeSettings.instantaneous("n0", "127.0.0.1:0", "", 0), new MemoryDisk(), Trace.NONE, 1, 1));
        var list = process.run(
                "list",
                new FakeNodeList(
                        "list",
                        "127.0.0.1:0",
                        java.util.List.of(new NodeListMessage.Entry(
                                ServiceProcess.bound(node, "node"), "zone-a", 0, NodeListMessage.State.UP, 1, 0)),
                        0,
                        Trace.NONE));
        return ServiceProcess.bound(
                process.startGateway(
                        settings.gateway(0, 1, "127.0.0.1:0", ServiceProcess.bound(list, "list"), ""),
                        temp.resolve("state")),
                Gateway.RSYNC);
    }

    /** Sends bytes and reads to the end of the connection; returns one character per received byte. */
    private static String exchange(String address, byte[]... messages) throws IOException {
        InetSocketAddress at = Addresses.parse(address);
        try (Socket socket = new Socket()) {
            socket.connect(at);
            socket.setSoTimeout(8_000); // the test fails if the gateway stops sending
            for (byte[] bytes : messages) {
                socket.getOutputStream().write(bytes);
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] push(String name) {
        RsyncOut out = new RsyncOut();
        FileListCodec list = new FileListCodec(new FileListCodec.Options(true, false, false, false));
        list.write(out, new FileItem(name, Rsync.REGULAR | 0644, 5, 1, "", null));
        out.u8(0);
        return out.takeFrame().array();
    }

    @Test
    void invalidHandshakesAreAnsweredWithAnErrorMessage() throws Exception {
        String address = start("");
        assertEquals(
                "@RSYNCD: 30.0\npages          \tscans\n@RSYNCD: EXIT\n",
                exchange(address, latin1("@RSYNCD: 31.0\n#list\n")));
        assertTrue(exchange(address, latin1("GET / HTTP/1.0\n")).endsWith("@ERROR: protocol startup error\n"));
        assertTrue(exchange(address, latin1("@RSYNCD: 29.0\n"))
                .contains("@ERROR: protocol version 29 is not offered; 30 is"));
        assertTrue(exchange(address, latin1("@RSYNCD: 31.0\nnone\n")).contains("@ERROR: Unknown module 'none'"));
        assertTrue(exchange(address, latin1("x".repeat(5000))).contains("@ERROR: a line of more than"));
        String compressed =
                exchange(address, latin1("@RSYNCD: 31.0\npages\n--server\0-vlogDtprze.iLsfxC\0.\0pages/\0\0"));
        assertTrue(compressed.contains("compression (-z) is not offered here"), compressed);
        String parent = exchange(
                address,
                latin1("@RSYNCD: 31.0\npages\n--server\0--sender\0-ltpre.i\0.\0pages/../../etc\0\0"),
                new RsyncOut().i32(0).takeFrame().array());
        assertTrue(parent.contains("leaves its module"), parent);
    }

    @Test
    void namesOutsideTheModuleEndThePush() throws Exception {
        String address = start("");
        for (String name : new String[] {"../up", "/etc/passwd", "a/../../b", "a//b", "./x", "a/./b"}) {
            String received = exchange(
                    address, latin1("@RSYNCD: 31.0\npages\n--server\0-ltpre.iLsfxC\0.\0pages/\0\0"), push(name));
            assertTrue(received.contains("unsafe pathname"), name + ": " + received);
        }
        String longName = exchange(
                address,
                latin1("@RSYNCD: 31.0\npages\n--server\0-ltpre.iLsfxC\0.\0pages/\0\0"),
                push("n".repeat(4097)));
        assertTrue(longName.contains("a name of 0 and 4097 bytes"), longName);
    }

    @Test
    void readOnlyModulesRejectPushes() throws Exception {
        String address = start("  read_only = true\n");
        assertTrue(exchange(address, latin1("@RSYNCD: 31.0\npages\n--server\0-ltpre.i\0.\0pages/\0\0"))
                .contains("module pages is read only"));
    }

    @Test
    void secretsFileMustBePrivateAndPasswordsCorrect() throws Exception {
        Path secrets = Files.writeString(temp.resolve("secrets"), "# who may\nregistrar:pass word\n");
        String setting = "  secrets = \"" + secrets + "\"\n";
        Files.setPosixFilePermissions(secrets, PosixFilePermissions.fromString("rw-r--r--"));
        assertTrue(assertThrows(SettingsException.class, () -> start(setting))
                .problems()
                .get(0)
                .contains("chmod 600"));
        Files.setPosixFilePermissions(secrets, PosixFilePermissions.fromString("rw-------"));
        String address = start(setting);
        assertTrue(login(address, "registrar", "pass word").contains("@RSYNCD: OK"));
        assertTrue(login(address, "registrar", "password").contains("@ERROR: auth failed on module pages"));
        assertTrue(login(address, "nobody", "").contains("@ERROR: auth failed on module pages"));
    }

    private static String login(String address, String user, String password) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(Addresses.parse(address));
            socket.setSoTimeout(8_000);
            socket.getOutputStream().write(latin1("@RSYNCD: 31.0\npages\n"));
            String greeting = line(socket);
            String challenge = line(socket).substring("@RSYNCD: AUTHREQD ".length());
            byte[] answer = Checksums.md5().digest(latin1(password + challenge));
            socket.getOutputStream()
                    .write(latin1(
                            user + " " + Base64.getEncoder().withoutPadding().encodeToString(answer) + "\n"));
            return greeting + line(socket);
        }
    }

    /** Pushes one file without delta transfer, and waits for the end of the session. */
    private static void pushFile(String address, String name, byte[] contents, boolean delete) throws Exception {
        RsyncOut out = new RsyncOut();
        if (delete) {
            out.i32(0);
        }
        FileListCodec list = new FileListCodec(new FileListCodec.Options(true, false, false, false));
        list.write(out, new FileItem(".", Rsync.DIRECTORY | 0755, 0, 1, "", null));
        list.write(out, new FileItem(name, Rsync.REGULAR | 0644, contents.length, contents[0], "", null));
        out.u8(0)
                .index(1)
                .u16(Rsync.ITEM_TRANSFER)
                .i32(0)
                .i32(0)
                .i32(0)
                .i32(0)
                .i32(contents.length)
                .bytes(contents)
                .i32(0)
                .bytes(Checksums.md5().digest(contents))
                .index(Rsync.PHASE_END)
                .index(Rsync.PHASE_END)
                .index(Rsync.PHASE_END);
        byte[] frame = out.takeFrame().array();
        try (Socket socket = new Socket()) {
            socket.connect(Addresses.parse(address));
            socket.setSoTimeout(8_000);
            socket.getOutputStream()
                    .write(latin1("@RSYNCD: 31.0\npages\n--server\0-ltpWre.i\0" + (delete ? "--delete\0" : "")
                            + ".\0pages/\0\0"));
            // The contents must not be sent before they are requested, so the list is sent first.
            int listLength = frame.length - (4 * 5 + contents.length + 4 + 16 + 3 + 2 + 1);
            socket.getOutputStream().write(frame, 0, listLength);
            socket.getOutputStream().flush();
            for (int zeroBytes = 0; zeroBytes < 16; ) { // the request ends with a checksum header of 16 zero bytes
                zeroBytes = socket.getInputStream().read() == 0 ? zeroBytes + 1 : 0;
            }
            socket.getOutputStream().write(frame, listLength, frame.length - listLength);
            socket.getInputStream().readAllBytes();
        }
    }

    /** After a pull has received its file list, pushes replace one of its files and delete another. */
    @Test
    void pullGetsTheCurrentContentsOfFilesThatChangedAfterTheList() throws Exception {
        String address = start("");
        byte[] oldContents = "old contents".getBytes(StandardCharsets.US_ASCII);
        byte[] newContents = "NEW CONTENTS, LONGER".getBytes(StandardCharsets.US_ASCII);
        pushFile(address, "changed", oldContents, false);
        pushFile(address, "gone", oldContents, false);
        try (Socket socket = new Socket()) {
            socket.connect(Addresses.parse(address));
            socket.setSoTimeout(8_000);
            socket.getOutputStream().write(latin1("@RSYNCD: 31.0\npages\n--server\0--sender\0-ltpre.i\0.\0pages/\0\0"));
            socket.getOutputStream().write(new RsyncOut().i32(0).takeFrame().array());
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            while (!received.toString(StandardCharsets.ISO_8859_1).contains("gone")) {
                received.write(socket.getInputStream().read());
            }
            pushFile(address, "changed", newContents, true); // deletes "gone"
            pushFile(address, "another", oldContents, false); // which may reuse the space that "changed" had
            RsyncOut requests = new RsyncOut();
            for (int index = 1; index <= 2; index++) {
                requests.index(index)
                        .u16(Rsync.ITEM_TRANSFER)
                        .i32(0)
                        .i32(0)
                        .i32(0)
                        .i32(0);
            }
            requests.index(Rsync.PHASE_END)
                    .index(Rsync.PHASE_END)
                    .index(Rsync.PHASE_END)
                    .index(Rsync.PHASE_END);
            socket.getOutputStream().write(requests.takeFrame().array());
            received.writeBytes(socket.getInputStream().readAllBytes());
            String text = received.toString(StandardCharsets.ISO_8859_1);
            assertTrue(text.contains("NEW CONTENTS, LONGER"), text);
            assertTrue(!text.contains("old contents"), text);
            assertTrue(
                    text.contains(new String(Checksums.md5().digest(newContents), StandardCharsets.ISO_8859_1)),
                    "the checksum of the new contents is missing");
            assertTrue(text.contains("file has vanished: \"/gone\""), text);
        }
    }

    private static String line(Socket socket) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = socket.getInputStream().read()) > 0 && b != '\n') {
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
