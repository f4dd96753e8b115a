package garnetreel.cli;

import garnetreel.core.connection.MapServiceClient;
import garnetreel.core.connection.NodeListClient;
import garnetreel.core.server.rsync.FileCatalogueStore.StoredCatalogue;
import garnetreel.net.BackgroundStoreWriter;
import garnetreel.store.Journal;
import garnetreel.store.StateDirectory;
import java.io.IOException;
import java.nio.file.Path;

/**
 * The stored state that a gateway instance starts from, read from its state directory.
 *
 * @param nodeList the cached node list; null for none
 * @param maps the cached extent maps; null for none
 * @param files its file catalogue
 * @param writer stores later states in the directory; null for an instance without one
 */
record GatewayState(byte[] nodeList, byte[] maps, StoredCatalogue files, BackgroundStoreWriter writer) {
    /** File name of the file catalogue's journal. */
    static final String FILES_JOURNAL = "files.journal";

    /** The state of an instance without a state directory. */
    static final GatewayState NONE = new GatewayState(null, null, StoredCatalogue.EMPTY, null);

    /**
     * Reads a state directory and starts its writer.
     *
     * @param servesFiles whether the instance has a file catalogue too
     */
    static GatewayState open(Path path, boolean servesFiles) throws IOException {
        StateDirectory directory = new StateDirectory(path);
        byte[] nodeList = directory.read(NodeListClient.CACHE_NAME).orElse(null);
        byte[] maps = directory.read(MapServiceClient.CACHE_NAME).orElse(null);
        StoredCatalogue files = StoredCatalogue.EMPTY;
        Journal journal = null;
        if (servesFiles) {
            journal = new Journal(path.resolve(FILES_JOURNAL));
            Journal.Contents contents = journal.contents();
            files = new StoredCatalogue(contents.snapshot(), contents.records());
        }
        return new GatewayState(nodeList, maps, files, new BackgroundStoreWriter(directory, journal));
    }
}
