package garnetreel.mapservice;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import garnetreel.map.Adoption;
import garnetreel.map.ExtentMap;
import garnetreel.map.MapState;
import garnetreel.map.Migration;
import garnetreel.map.Transaction;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the JSON answers to operators. Operators' scripts read the fields, so their names and order must not change.
 */
final class OperatorReports {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    /** Maximum number of extents in one answer; further ones are requested with a higher start. */
    private static final int MAX_ROWS = 1_000;

    private OperatorReports() {}

    static ObjectNode message(String text) {
        return JSON.objectNode().put("message", text);
    }

    static ObjectNode migration(Migration migration) {
        return JSON.objectNode()
                .put("id", migration.id())
                .put("volume", migration.volume())
                .put("extent", migration.extent())
                .put("from", migration.from())
                .put("to", migration.to())
                .put("state", migration.state().label());
    }

    static ArrayNode migrations(List<Migration> migrations) {
        ArrayNode json = JSON.arrayNode();
        migrations.forEach(m -> json.add(migration(m)));
        return json;
    }

    static ObjectNode status(
            MapState state, MapClientConnections clients, MigrationCoordinator migrations, boolean rolledBack) {
        ObjectNode json = JSON.objectNode()
                .put("epoch", state.epoch())
                .put("version", state.version())
                .put("horizon", state.horizon())
                .put("transactions", state.seq())
                .put("heads", clients.subscriberCount())
                .put("moves", migrations.inProgress())
                .put("copied_bytes", migrations.copiedBytes())
                .put("went_back", rolledBack);
        ArrayNode draining = json.putArray("draining");
        for (int shard : state.draining()) {
            draining.addObject().put("shard", shard).put("extents", extentsHeldBy(state, shard));
        }
        return json;
    }

    private static long extentsHeldBy(MapState state, int shard) {
        long count = 0;
        for (ExtentMap map : state.maps()) {
            for (long extent = 0; extent < map.extents(); extent++) {
                count += map.shard(extent) == shard ? 1 : 0;
            }
        }
        return count;
    }

    /** Extents of a volume, starting at the given one. */
    static ObjectNode extents(ExtentMap map, long from) {
        ObjectNode json = JSON.objectNode()
                .put("volume", map.volume())
                .put("extents", map.extents())
                .put("extent_bytes", map.extentBytes());
        ArrayNode rows = json.putArray("rows");
        for (long extent = Math.max(0, from); extent < map.extents() && rows.size() < MAX_ROWS; extent++) {
            rows.addObject()
                    .put("extent", extent)
                    .put("shard", map.shard(extent))
                    .put("version", map.version(extent));
        }
        return json;
    }

    /** The latest transactions, oldest first. */
    static ArrayNode history(MapState state, int maxRows) {
        List<Transaction> all = new ArrayList<>();
        state.history().forEach(all::add);
        ArrayNode json = JSON.arrayNode();
        for (Transaction t : all.subList(Math.max(0, all.size() - Math.max(0, maxRows)), all.size())) {
            ObjectNode row = json.addObject()
                    .put("seq", t.seq())
                    .put("epoch", t.epoch())
                    .put("version", t.version())
                    .put("who", t.who())
                    .put("when", t.when())
                    .put("why", t.why());
            if (t.migration() != null) {
                row.set("move", migration(t.migration()));
            }
        }
        return json;
    }

    static ObjectNode checksum(ExtentMap map, long extent, long version, int crc32c) {
        return JSON.objectNode()
                .put("volume", map.volume())
                .put("extent", extent)
                .put("shard", map.shard(extent))
                .put("version", version)
                .put("crc32c", Integer.toUnsignedLong(crc32c));
    }

    static ObjectNode adopted(MapState state, Adoption.Reconciliation found) {
        ObjectNode json = JSON.objectNode()
                .put("epoch", state.epoch())
                .put("version", state.version())
                .put("changes", found.changes().size())
                .put("put_back", found.lostMigrations().size());
        found.missing().forEach(held -> json.withArray("missing")
                .addObject()
                .put("volume", held.volume())
                .put("extent", held.extent())
                .put("known_version", held.version()));
        found.conflicts().forEach(held -> json.withArray("conflicts")
                .addObject()
                .put("volume", held.volume())
                .put("extent", held.extent())
                .put("shard", held.shard()));
        return json;
    }
}
