package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.rsync.Checksums;
import garnetreel.codec.rsync.Rsync;
import garnetreel.core.GatewaySettings;
import garnetreel.core.io.NetAction;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** The negotiation of one connection: greeting, module, authentication if the module has users, arguments. */
final class RsyncHandshake {
    private static final int MAX_LINE_LENGTH = 1024;
    private static final int MAX_ARGUMENT_LENGTH = 8 << 10;
    private static final int MAX_ARGUMENTS = 1_000;

    private enum State {
        GREETING,
        MODULE,
        AUTHENTICATION,
        ARGUMENTS,
        COMPLETE
    }

    private final RsyncSession session;
    private final List<String> arguments = new ArrayList<>();
    private State state = State.GREETING;
    private GatewaySettings.Module module;
    private String challenge = "";

    RsyncHandshake(RsyncSession session) {
        this.session = session;
    }

    /** Whether the module is accepted and the client's arguments are awaited: it expects no line in reply any more. */
    boolean readsArguments() {
        return state == State.ARGUMENTS;
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** The module that the client has chosen; null before. */
    GatewaySettings.Module module() {
        return module;
    }

    /** The client's arguments, once the handshake is complete. */
    List<String> arguments() {
        return arguments;
    }

    /** Handles the next line or argument; false until it has been received completely, or if the session has ended. */
    boolean step() throws ProtocolException {
        if (state == State.ARGUMENTS) {
            String argument = session.in.until('\0', MAX_ARGUMENT_LENGTH);
            return argument != null && addArgument(argument);
        }
        String line = session.in.until('\n', MAX_LINE_LENGTH);
        if (line == null) {
            return false;
        }
        return switch (state) {
            case GREETING -> acceptGreeting(line);
            case MODULE -> selectModule(line.strip());
            case AUTHENTICATION -> authenticate(line);
            case ARGUMENTS, COMPLETE -> false;
        };
    }

    private boolean acceptGreeting(String line) throws ProtocolException {
        if (!line.matches("@RSYNCD: [0-9]{1,4}(\\.[0-9]{1,4})?( .*)?")) {
            throw new ProtocolException("protocol startup error");
        }
        int version = Integer.parseInt(line.substring(9).split("[. ]")[0]);
        if (version < Rsync.MIN_VERSION) {
            throw new ProtocolException(
                    "protocol version " + version + " is not offered; " + Rsync.MIN_VERSION + " is the oldest");
        }
        state = State.MODULE;
        return true;
    }

    private boolean selectModule(String name) throws ProtocolException {
        if (name.isEmpty() || name.equals("#list")) {
            session.server
                    .settings()
                    .files()
                    .modules()
                    .forEach(m -> session.sendText(String.format("%-15s\t%s\n", m.name(), m.comment())));
            session.sendText("@RSYNCD: EXIT\n");
            session.finish();
            return false;
        }
        if (name.startsWith("#")) {
            throw new ProtocolException("Unknown command '" + name + "'");
        }
        module = session.server.module(name);
        if (module == null) {
            throw new ProtocolException("Unknown module '" + name + "'");
        }
        if (module.users().isEmpty()) {
            acceptModule();
        } else {
            challenge = base64(session.server.nonce());
            session.sendText("@RSYNCD: AUTHREQD " + challenge + "\n");
            state = State.AUTHENTICATION;
        }
        return true;
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().withoutPadding().encodeToString(bytes);
    }

    private boolean authenticate(String line) throws ProtocolException {
        int space = line.indexOf(' ');
        String user = space < 0 ? line : line.substring(0, space);
        // Unknown users are compared as well, so that the time taken does not reveal which users exist.
        String password = module.users().getOrDefault(user, "");
        MessageDigest md5 = Checksums.md5();
        md5.update(password.getBytes(StandardCharsets.UTF_8));
        md5.update(challenge.getBytes(StandardCharsets.US_ASCII));
        byte[] expected = base64(md5.digest()).getBytes(StandardCharsets.US_ASCII);
        byte[] response = line.substring(space + 1).getBytes(StandardCharsets.ISO_8859_1);
        if (!MessageDigest.isEqual(expected, response) || !module.users().containsKey(user)) {
            session.server.emit(
                    new NetAction.Log(NetAction.Level.WARN, "rsync: auth failed on module " + module.name()));
            throw new ProtocolException("auth failed on module " + module.name());
        }
        acceptModule();
        return true;
    }

    private void acceptModule() {
        session.sendText("@RSYNCD: OK\n");
        state = State.ARGUMENTS;
    }

    private boolean addArgument(String argument) throws ProtocolException {
        if (argument.isEmpty()) {
            state = State.COMPLETE;
            return true;
        }
        if (arguments.size() >= MAX_ARGUMENTS) {
            throw new ProtocolException("more than " + MAX_ARGUMENTS + " arguments");
        }
        arguments.add(argument);
        return true;
    }
}
