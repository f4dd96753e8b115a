package garnetreel.mapservice;

import com.fasterxml.jackson.databind.JsonNode;
import garnetreel.codec.map.MapMessage.Command;
import garnetreel.codec.map.MapMessage.Result;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.Step;
import garnetreel.map.ExtentMap;
import garnetreel.map.MapState;
import java.util.function.Consumer;

/** Executes operators' text commands to the map service; the answers are JSON. */
final class OperatorCommands {
    private static final int DEFAULT_HISTORY_ROWS = 50;

    /** Thrown for a malformed command or one that names something unknown; the message is sent to the operator. */
    private static final class InvalidCommandException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidCommandException(String message) {
            super(message);
        }
    }

    private final TurnContext turn;
    private final MapState state;
    private final TransactionLog log;
    private final MapClientConnections clients;
    private final NodeCommandClient nodes;
    private final RollbackDetector rollbacks;
    private final MigrationCoordinator migrations;
    private final AdoptionCoordinator adoption;

    OperatorCommands(
            TurnContext turn,
            MapState state,
            TransactionLog log,
            MapClientConnections clients,
            NodeCommandClient nodes,
            RollbackDetector rollbacks,
            MigrationCoordinator migrations,
            AdoptionCoordinator adoption) {
        this.turn = turn;
        this.state = state;
        this.log = log;
        this.clients = clients;
        this.nodes = nodes;
        this.rollbacks = rollbacks;
        this.migrations = migrations;
        this.adoption = adoption;
    }

    /** Executes a command; the answer is given exactly once, possibly in a later turn. */
    void execute(Command command, Consumer<Result> answer) {
        Invocation invocation = new Invocation(command, answer);
        try {
            invocation.run();
        } catch (InvalidCommandException e) {
            invocation.reject(e.getMessage());
        }
    }

    private final class Invocation {
        private final Command command;
        private final String[] tokens;
        private final Consumer<Result> answer;

        Invocation(Command command, Consumer<Result> answer) {
            this.command = command;
            this.tokens = command.text().trim().split("\\s+");
            this.answer = answer;
        }

        void run() throws InvalidCommandException {
            switch (tokens[0]) {
                case "status" -> accept(OperatorReports.status(state, clients, migrations, rollbacks.rolledBack()));
                case "show" -> accept(OperatorReports.extents(volume(1), tokens.length > 2 ? number(2) : 0));
                case "history" -> accept(
                        OperatorReports.history(state, tokens.length > 1 ? (int) number(1) : DEFAULT_HISTORY_ROWS));
                case "moves" -> accept(OperatorReports.migrations(state.migrations()));
                case "move" -> migrate();
                case "abort" -> abort();
                case "drain" -> drain(true);
                case "undrain" -> drain(false);
                case "sum" -> checksum(volume(1), number(2));
                case "adopt" -> adopt();
                case "new-epoch" -> newEpoch();
                default -> reject("unknown command " + tokens[0]);
            }
        }

        private long number(int index) throws InvalidCommandException {
            if (index >= tokens.length) {
                throw new InvalidCommandException(tokens[0] + " wants more words");
            }
            try {
                return Long.parseLong(tokens[index]);
            } catch (NumberFormatException e) {
                throw new InvalidCommandException("not understood: " + command.text());
            }
        }

        private ExtentMap volume(int index) throws InvalidCommandException {
            ExtentMap map = state.map(number(index));
            if (map == null) {
                throw new InvalidCommandException("there is no volume " + tokens[index]);
            }
            return map;
        }

        private void accept(JsonNode json) {
            answer.accept(new Result(true, json.toString()));
        }

        private void reject(String reason) {
            answer.accept(new Result(false, OperatorReports.message(reason).toString()));
        }

        private void migrate() throws InvalidCommandException {
            migrations.begin(number(1), number(2), (int) number(3), command.operator(), "asked for", migration -> {
                if (migration == null) {
                    reject("the move can't begin; the service's log says why");
                } else {
                    accept(OperatorReports.migration(migration));
                }
            });
        }

        private void abort() throws InvalidCommandException {
            if (migrations.abort(number(1), "asked for by " + command.operator())) {
                accept(OperatorReports.message("it will be given up"));
            } else {
                reject("there is no such move, or it has switched");
            }
        }

        private void drain(boolean on) throws InvalidCommandException {
            int shard = (int) number(1);
            String done = (on ? "draining shard " : "no longer draining shard ") + shard;
            log.submit(
                    () -> state.drain(shard, on, command.operator(), turn.now()),
                    t -> accept(OperatorReports.message(done)));
        }

        private void adopt() {
            boolean force = tokens.length > 1 && tokens[1].equals("force");
            adoption.begin(
                    command.operator(), force, (ok, findings) -> answer.accept(new Result(ok, findings.toString())));
        }

        private void newEpoch() {
            log.submit(
                    () -> state.newEpoch(command.operator(), turn.now(), "asked for"),
                    t -> accept(OperatorReports.message("epoch " + state.epoch())));
        }

        /**
         * Requests the checksum of an extent from the node that holds it, for comparison with data read through a
         * gateway.
         */
        private void checksum(ExtentMap map, long extent) throws InvalidCommandException {
            if (!map.contains(extent)) {
                throw new InvalidCommandException("there is no extent " + extent + " of volume " + map.volume());
            }
            NodeCommandClient.Node node = nodes.reachable(map.shard(extent));
            if (node == null) {
                reject("the node of shard " + map.shard(extent) + " can't be reached");
                return;
            }
            StepCommand sumCommand = new StepCommand(
                    Step.CHECKSUM,
                    map.volume(),
                    extent,
                    map.extentBytes(),
                    map.version(extent),
                    0,
                    NodeMessage.noData());
            nodes.send(node, sumCommand, report -> checksumReported(map, extent, report));
        }

        private void checksumReported(ExtentMap map, long extent, CommandReport report) {
            long version = map.version(extent);
            if (report == null || !report.ok() || report.data().remaining() < Integer.BYTES) {
                reject("shard " + map.shard(extent) + " gave no checksum of extent " + extent + " under version "
                        + version + (report == null ? ": no answer" : ": it is moving, or damaged there"));
            } else {
                int crc32c = report.data().duplicate().getInt();
                accept(OperatorReports.checksum(map, extent, version, crc32c));
            }
        }
    }
}
