package garnetreel.core.server;

import garnetreel.codec.nbd.HandshakeParser.Option;
import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdWriter;
import garnetreel.core.Volume;
import garnetreel.core.ending.ConnectionEnding;
import java.util.ArrayList;
import java.util.List;

/** Handles the options of a connection's handshake and holds the negotiated settings. */
final class OptionHandler {
    /** Id of the metadata context base:allocation in block status replies. */
    static final int ALLOCATION_ID = 1;
    /** A recommendation to clients; requests of any alignment are served. */
    private static final int PREFERRED_BLOCK_BYTES = 4096;

    private static final int MIN_BLOCK_BYTES = 1;
    /** Maximum number of queries in an option; there is one context only, so clients send few. */
    private static final int MAX_QUERIES = 64;

    private final NbdServer server;
    private final NbdSession session;
    private boolean structuredReplies;
    /** The export whose allocation context was set; entering transmission with another export voids it. */
    private String contextExport;

    private boolean allocationContext;

    OptionHandler(NbdServer server, NbdSession session) {
        this.server = server;
        this.session = session;
    }

    /** Whether structured replies were negotiated. */
    boolean structuredReplies() {
        return structuredReplies;
    }

    /** Whether the metadata context base:allocation was negotiated for the export in use. */
    boolean allocationContext() {
        return allocationContext;
    }

    void handle(Option option) {
        int code = option.code();
        if (option.data() == null) {
            error(code, Nbd.REP_ERR_TOO_BIG, "option of more than the bytes that are kept");
        } else if (code == Nbd.OPT_ABORT) {
            acknowledge(code);
            session.end(ConnectionEnding.COMPLETED);
        } else if (session.rejected || server.shuttingDown()) {
            reject(code);
        } else {
            try {
                negotiate(code, new OptionReader(option.data()));
            } catch (InvalidOptionException e) {
                error(code, Nbd.REP_ERR_INVALID, e.getMessage());
            }
        }
    }

    private void reject(int code) {
        if (code == Nbd.OPT_EXPORT_NAME) {
            session.end(ConnectionEnding.COMPLETED);
        } else if (session.rejected) {
            error(
                    code,
                    Nbd.REP_ERR_POLICY,
                    "this head serves " + server.settings().bounds().connections()
                            + " connections, its most; try again later or another head");
        } else {
            error(code, Nbd.REP_ERR_SHUTDOWN, "this head is shutting down");
        }
    }

    private void negotiate(int code, OptionReader data) throws InvalidOptionException {
        switch (code) {
            case Nbd.OPT_EXPORT_NAME -> exportName(data);
            case Nbd.OPT_LIST -> list(code, data);
            case Nbd.OPT_STARTTLS -> {
                data.end();
                error(code, Nbd.REP_ERR_UNSUP, "TLS is not offered");
            }
            case Nbd.OPT_INFO, Nbd.OPT_GO -> info(code, data);
            case Nbd.OPT_STRUCTURED_REPLY -> {
                data.end();
                structuredReplies = true;
                acknowledge(code);
            }
            case Nbd.OPT_LIST_META_CONTEXT -> listMetaContexts(code, data);
            case Nbd.OPT_SET_META_CONTEXT -> setMetaContext(code, data);
            default -> error(code, Nbd.REP_ERR_UNSUP, "option " + code + " is not known");
        }
    }

    private void exportName(OptionReader data) throws InvalidOptionException {
        String name = data.remainingText();
        finishContextNegotiation(name);
        session.exportName(server.export(name));
    }

    private void list(int code, OptionReader data) throws InvalidOptionException {
        data.end();
        server.exports.keySet().forEach(name -> session.write(NbdWriter.optionServer(code, name)));
        acknowledge(code);
    }

    private void info(int code, OptionReader data) throws InvalidOptionException {
        String name = data.text();
        int count = data.unsignedShort();
        List<Integer> requested = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requested.add(data.unsignedShort());
        }
        data.end();
        Volume volume = server.export(name);
        if (volume == null) {
            unknownExport(code);
            return;
        }
        writeInfos(code, volume, requested);
        acknowledge(code);
        if (code == Nbd.OPT_GO) {
            finishContextNegotiation(name);
            session.beginTransmission(volume);
        }
    }

    private void writeInfos(int code, Volume volume, List<Integer> requested) {
        session.write(NbdWriter.infoExport(code, volume.size(), session.transmissionFlags(volume)));
        if (requested.contains(Nbd.INFO_NAME)) {
            session.write(NbdWriter.infoText(code, Nbd.INFO_NAME, volume.name()));
        }
        if (requested.contains(Nbd.INFO_DESCRIPTION) && !volume.description().isEmpty()) {
            session.write(NbdWriter.infoText(code, Nbd.INFO_DESCRIPTION, volume.description()));
        }
        if (requested.contains(Nbd.INFO_BLOCK_SIZE)) {
            int maxPayload = server.settings().bounds().maxPayload();
            session.write(NbdWriter.infoBlockSize(code, MIN_BLOCK_BYTES, PREFERRED_BLOCK_BYTES, maxPayload));
        }
    }

    /** The export and queries of a metadata context option. */
    private record ContextQueries(String export, int count, boolean base, boolean allocation) {
        static ContextQueries read(OptionReader data) throws InvalidOptionException {
            String export = data.text();
            int count = data.integer();
            if (count < 0 || count > MAX_QUERIES) {
                throw new InvalidOptionException(
                        Integer.toUnsignedString(count) + " queries, " + MAX_QUERIES + " at most");
            }
            boolean base = false;
            boolean allocation = false;
            for (int i = 0; i < count; i++) {
                String query = data.text();
                base |= query.equals("base:");
                allocation |= query.equals(Nbd.BASE_ALLOCATION);
            }
            data.end();
            return new ContextQueries(export, count, base, allocation);
        }
    }

    private void listMetaContexts(int code, OptionReader data) throws InvalidOptionException {
        ContextQueries queries = ContextQueries.read(data);
        if (server.export(queries.export()) == null) {
            unknownExport(code);
            return;
        }
        if (queries.allocation() || queries.base() || queries.count() == 0) {
            session.write(NbdWriter.metaContext(code, 0, Nbd.BASE_ALLOCATION));
        }
        acknowledge(code);
    }

    private void setMetaContext(int code, OptionReader data) throws InvalidOptionException {
        ContextQueries queries = ContextQueries.read(data);
        contextExport = null; // a new SET replaces the previous one, even if it fails
        if (!structuredReplies) {
            throw new InvalidOptionException("metadata contexts need structured replies first");
        }
        if (server.export(queries.export()) == null) {
            unknownExport(code);
            return;
        }
        if (queries.allocation()) {
            session.write(NbdWriter.metaContext(code, ALLOCATION_ID, Nbd.BASE_ALLOCATION));
            contextExport = queries.export();
        }
        acknowledge(code);
    }

    private void finishContextNegotiation(String export) {
        allocationContext = export.equals(contextExport);
    }

    private void unknownExport(int code) {
        error(code, Nbd.REP_ERR_UNKNOWN, "there is no export of that name");
    }

    private void acknowledge(int code) {
        session.write(NbdWriter.optionAck(code));
    }

    private void error(int code, int type, String message) {
        session.write(NbdWriter.optionError(code, type, message));
    }
}
