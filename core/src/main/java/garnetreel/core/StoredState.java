package garnetreel.core;

import garnetreel.core.io.NetAction;
import garnetreel.core.server.rsync.FileCatalogueStore.StoredCatalogue;

/**
 * What an earlier incarnation of a gateway stored.
 *
 * @param nodeList the last {@link NetAction.Persist} under
 *     {@link garnetreel.core.connection.NodeListClient#CACHE_NAME}; null for none
 * @param map the same under {@link garnetreel.core.connection.MapServiceClient#CACHE_NAME}
 * @param unflushedWrites the same under {@link garnetreel.core.request.RequestRegistry#UNFLUSHED_WRITES_NAME}
 * @param catalogue the file catalogue, from {@link NetAction.Append} and {@link NetAction.Snapshot}
 */
public record StoredState(byte[] nodeList, byte[] map, byte[] unflushedWrites, StoredCatalogue catalogue) {
    /** The state of a gateway that starts from nothing. */
    public static final StoredState NONE = new StoredState(null, null, null, StoredCatalogue.EMPTY);
}
