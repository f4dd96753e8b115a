package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.codec.map.MapMessage.Command;
import garnetreel.codec.map.MapMessage.Result;
import garnetreel.codec.node.NodeMessage;
import garnetreel.mapservice.ServiceFixture.Sent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The texts and fields here are read by operators and their scripts, so they must not change. */
class OperatorCommandsTest {
    private final ServiceFixture fixture = new ServiceFixture();
    private final List<Result> answers = new ArrayList<>();
    private final TransactionLog log =
            new TransactionLog(fixture.turn, fixture.state, 1_000, (transaction, epochBefore) -> {});
    private final MapClientConnections clients =
            new MapClientConnections(fixture.turn, fixture.state, fixture.rollbacks, 2, (command, answer) -> {});
    private final MigrationCoordinator migrations = new MigrationCoordinator(
            fixture.turn, fixture.state, fixture.nodes, log, fixture.rollbacks, 1_000, migration -> {});
    private final AdoptionCoordinator adoption =
            new AdoptionCoordinator(fixture.turn, fixture.state, fixture.nodes, log, fixture.rollbacks, migrations);
    private final OperatorCommands commands = new OperatorCommands(
            fixture.turn, fixture.state, log, clients, fixture.nodes, fixture.rollbacks, migrations, adoption);

    /** Executes a command, makes its transactions durable and returns its answer. */
    private Result execute(String text) {
        answers.clear();
        commands.execute(new Command("somebody", text), answers::add);
        fixture.commitAll(log);
        assertEquals(1, answers.size(), text);
        return answers.get(0);
    }

    private static Result accepted(String json) {
        return new Result(true, json);
    }

    private static Result rejected(String message) {
        return new Result(false, "{\"message\":\"" + message + "\"}");
    }

    @Test
    void invalidCommandsAreRejectedWithTheReason() {
        assertEquals(rejected("unknown command fly"), execute("fly"));
        assertEquals(rejected("move wants more words"), execute("move 7 4"));
        assertEquals(rejected("not understood: move 7 x 1"), execute("move 7 x 1"));
        assertEquals(rejected("there is no volume 8"), execute("show 8"));
        assertEquals(rejected("there is no extent 20 of volume 7"), execute("sum 7 20"));
        assertEquals(rejected("there is no such move, or it has switched"), execute("abort 1"));
        assertEquals(rejected("the move can't begin; the service's log says why"), execute("move 7 4 0"));
        assertEquals(rejected("the node of shard 0 can't be reached"), execute("sum 7 4"));
        assertEquals(
                rejected("the nodes of shards [0, 1] do not answer; bring them back, or adopt force"),
                execute("adopt"));
    }

    @Test
    void statusExtentsAndHistoryAreReported() {
        assertEquals(accepted("{\"message\":\"draining shard 1\"}"), execute("drain 1"));
        assertEquals(
                accepted("{\"epoch\":1,\"version\":1,\"horizon\":1,\"transactions\":1,\"heads\":0,\"moves\":0,"
                        + "\"copied_bytes\":0,\"went_back\":false,\"draining\":[{\"shard\":1,\"extents\":10}]}"),
                execute("status"));
        assertEquals(accepted("{\"message\":\"no longer draining shard 1\"}"), execute("undrain 1"));
        assertEquals(
                accepted("{\"volume\":7,\"extents\":20,\"extent_bytes\":4096,\"rows\":["
                        + "{\"extent\":18,\"shard\":0,\"version\":1},{\"extent\":19,\"shard\":1,\"version\":1}]}"),
                execute("show 7 18"));
        assertEquals(accepted("{\"message\":\"epoch 2\"}"), execute("new-epoch"));
        assertEquals(
                accepted(
                        "[{\"seq\":3,\"epoch\":2,\"version\":1,\"who\":\"somebody\",\"when\":0,\"why\":\"asked for\"}]"),
                execute("history 1"));
    }

    @Test
    void migrationIsStartedListedAndAborted() {
        String migration = "{\"id\":1,\"volume\":7,\"extent\":4,\"from\":0,\"to\":1,\"state\":\"copying\"}";
        assertEquals(accepted(migration), execute("move 7 4 1"));
        assertEquals(accepted("[" + migration + "]"), execute("moves"));
        assertEquals(
                accepted(
                        "[{\"seq\":1,\"epoch\":1,\"version\":1,\"who\":\"somebody\",\"when\":0,\"why\":\"asked for\",\"move\":"
                                + migration + "}]"),
                execute("history"));
        assertEquals(accepted("{\"message\":\"it will be given up\"}"), execute("abort 1"));
    }

    @Test
    void checksumComesFromTheNode() {
        fixture.connectNodes();
        commands.execute(new Command("somebody", "sum 7 4"), answers::add);
        Sent<NodeMessage> command = ServiceFixture.toNodes(fixture.actions()).get(0);
        fixture.report(command, true, false, 0, ByteBuffer.allocate(4).putInt(0, -1));
        assertEquals(
                List.of(accepted("{\"volume\":7,\"extent\":4,\"shard\":0,\"version\":1,\"crc32c\":4294967295}")),
                answers);
        answers.clear();
        commands.execute(new Command("somebody", "sum 7 4"), answers::add);
        command = ServiceFixture.toNodes(fixture.actions()).get(0);
        fixture.report(command, false, false, 0, NodeMessage.noData());
        assertEquals(
                List.of(rejected(
                        "shard 0 gave no checksum of extent 4 under version 1: it is moving, or damaged there")),
                answers);
    }

    @Test
    void mapsAreAdoptedFromTheReportsOfNodes() {
        fixture.connectNodes();
        commands.execute(new Command("somebody", "adopt"), answers::add);
        List<Sent<NodeMessage>> polls = ServiceFixture.toNodes(fixture.actions());
        assertEquals(2, polls.size());
        commands.execute(new Command("somebody", "adopt"), answers::add);
        assertEquals(List.of(rejected("it is under way already")), answers);
        answers.clear();
        fixture.report(polls.get(0), true, true, 0, extentEntry(4, 1, 6));
        Sent<NodeMessage> followUpPoll =
                ServiceFixture.toNodes(fixture.actions()).get(0);
        fixture.report(followUpPoll, true, false, 0, extentEntry(6, 3, 9));
        fixture.report(polls.get(1), true, false, 0, NodeMessage.noData());
        fixture.commitAll(log);
        assertEquals(
                List.of(accepted("{\"epoch\":2,\"version\":10,\"changes\":1,\"put_back\":1,"
                        + "\"missing\":[{\"volume\":7,\"extent\":6,\"known_version\":9}]}")),
                answers);
        assertEquals(6, fixture.state.map(ServiceFixture.VOLUME).version(4));
    }

    private static ByteBuffer extentEntry(long extent, int state, long version) {
        return ByteBuffer.allocate(29)
                .putLong(ServiceFixture.VOLUME)
                .putLong(extent)
                .putInt(ServiceFixture.EXTENT_BYTES)
                .put((byte) state)
                .putLong(version)
                .flip();
    }
}
