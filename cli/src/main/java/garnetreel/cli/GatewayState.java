package garnetreel.cli;

import garnetreel.core.StoredState;
import garnetreel.core.connection.MapServiceClient;
import garnetreel.core.connection.NodeListClient;
import garnetreel.core.request.RequestRegistry;
import garnetreel.core.server.rsync.FileCatalogueStore.StoredCatalogue;
import garnetreel.net.BackgroundStoreWriter;
import garnetreel.store.Journal;
import garnetreel.store.StateDirectory;
import java.io.IOException;
import java.nio.file.Path;

/**
 * The stored state that a gateway instance starts from, read from its state directory.
 *
 * @param stored the state
 * @param writer stores later states in the directory; null for an instance without one
 */
record GatewayState(StoredState stored, BackgroundStoreWriter writer) {
    /** File name of the file catalogue's journal. */
    static final String FILES_JOURNAL = "files.journal";

    /** The state of an instance without a state directory. */
    static final GatewayState NONE = new GatewayState(StoredState.NONE, null);

    /**
     * Reads a state directory and starts its writer.
     *
     * @param servesFiles whether the instance has a file catalogue too
     */
    static GatewayState open(Path path, boolean servesFiles) throws IOException {
        StateDirectory directory = new StateDirectory(path);
        byte[] nodeList = directory.read(NodeListClient.CACHE_NAME).orElse(null);
        byte[] maps = directory.read(MapServiceClient.CACHE_NAME).orElse(null);
        byte[] unflushedWrites =
                directory.read(RequestRegistry.UNFLUSHED_WRITES_NAME).orElse(null);
        StoredCatalogue files = StoredCatalogue.EMPTY;
        Journal journal = null;
        if (servesFiles) {
            journal = new Journal(path.resolve(FILES_JOURNAL));
            Journal.Contents contents = journal.contents();
            files = new StoredCatalogue(contents.snapshot(), contents.records());
        }
        return new GatewayState(
                new StoredState(nodeList, maps, unflushedWrites, files), new BackgroundStoreWriter(directory, journal));
    }
}
