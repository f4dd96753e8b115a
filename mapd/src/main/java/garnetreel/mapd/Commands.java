package garnetreel.mapd;

import garnetreel.codec.map.MapMessage.Command;
import garnetreel.codec.map.MapMessage.Result;
import garnetreel.map.ExtentMap;
import garnetreel.map.Move;
import garnetreel.map.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** What operators ask of the map service, in words; the answers are JSON. */
final class Commands {
    private static final int ROWS = 1_000;

    private Commands() { }

    static void run(MapService service, Command command, Consumer<Result> answer) {
        String[] words = command.text().trim().split("\\s+");
        try {
            switch (words[0]) {
                case "status" -> answer.accept(new Result(true, status(service)));
                case "show" -> answer.accept(new Result(true, show(service, Long.parseLong(words[1]),
                        words.length > 2 ? Long.parseLong(words[2]) : 0)));
                case "history" -> answer.accept(new Result(true, history(service, words.length > 1
                        ? Integer.parseInt(words[1]) : 50)));
                case "moves" -> answer.accept(new Result(true, moves(service)));
                case "move" -> service.begin(Long.parseLong(words[1]), Long.parseLong(words[2]),
                        Integer.parseInt(words[3]), command.who(), "asked for", move -> answer.accept(move == null
                        ? new Result(false, text("the move can't begin; the service's log says why"))
                        : new Result(true, json(move))));
                case "abort" -> answer.accept(service.abort(Long.parseLong(words[1]), "asked for by "
                        + command.who()) ? new Result(true, text("it will be given up"))
                        : new Result(false, text("there is no such move, or it has switched")));
                case "drain" -> drain(service, command.who(), Integer.parseInt(words[1]), true, answer);
                case "undrain" -> drain(service, command.who(), Integer.parseInt(words[1]), false, answer);
                case "new-epoch" -> service.commit(() -> service.state().newEpoch(command.who(), service.now(),
                        "asked for"), t -> answer.accept(new Result(t != null, text("epoch "
                        + service.state().epoch()))));
                default -> answer.accept(new Result(false, text("unknown command " + words[0])));
            }
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            answer.accept(new Result(false, text("not understood: " + command.text())));
        }
    }

    private static void drain(MapService service, String who, int shard, boolean on, Consumer<Result> answer) {
        service.commit(() -> service.state().note(who, service.now(), (on ? "drain shard " : "undrain shard ")
                + shard), t -> {
                    if (on) {
                        service.draining().add(shard);
                    } else {
                        service.draining().remove(shard);
                    }
                    answer.accept(new Result(true, text((on ? "draining shard " : "no longer draining shard ")
                            + shard)));
                });
    }

    private static String status(MapService service) {
        StringBuilder left = new StringBuilder();
        for (int shard : service.draining()) {
            long held = 0;
            for (var volume : service.state().whole().volumes()) {
                ExtentMap map = service.state().map(volume.volume());
                for (long extent = 0; extent < map.extents(); extent++) {
                    held += map.shard(extent) == shard ? 1 : 0;
                }
            }
            left.append(left.isEmpty() ? "" : ",").append("{\"shard\":").append(shard).append(",\"extents\":")
                    .append(held).append('}');
        }
        return "{\"epoch\":" + service.state().epoch() + ",\"version\":" + service.state().version()
                + ",\"transactions\":" + service.state().seq() + ",\"heads\":" + service.heads() + ",\"moves\":"
                + service.movesUnderWay() + ",\"draining\":[" + left + "]}";
    }

    private static String show(MapService service, long volume, long from) {
        ExtentMap map = service.state().map(volume);
        if (map == null) {
            throw new IllegalArgumentException("no volume");
        }
        List<String> rows = new ArrayList<>();
        for (long extent = from; extent < map.extents() && rows.size() < ROWS; extent++) {
            rows.add("{\"extent\":" + extent + ",\"shard\":" + map.shard(extent) + ",\"version\":"
                    + map.version(extent) + "}");
        }
        return "{\"volume\":" + volume + ",\"extents\":" + map.extents() + ",\"extent_bytes\":" + map.extentBytes()
                + ",\"rows\":[" + String.join(",", rows) + "]}";
    }

    private static String history(MapService service, int rows) {
        List<String> all = new ArrayList<>();
        for (Transaction t : service.state().history()) {
            all.add("{\"seq\":" + t.seq() + ",\"epoch\":" + t.epoch() + ",\"version\":" + t.version() + ",\"who\":"
                    + text(t.who()) + ",\"when\":" + t.when() + ",\"why\":" + text(t.why())
                    + (t.move() == null ? "" : ",\"move\":" + json(t.move())) + "}");
        }
        return "[" + String.join(",", all.subList(Math.max(0, all.size() - Math.max(0, rows)), all.size())) + "]";
    }

    private static String moves(MapService service) {
        return "[" + String.join(",", service.state().moves().stream().map(Commands::json).toList()) + "]";
    }

    private static String json(Move m) {
        return "{\"id\":" + m.id() + ",\"volume\":" + m.volume() + ",\"extent\":" + m.extent() + ",\"from\":" + m.from()
                + ",\"to\":" + m.to() + ",\"state\":" + text(m.state().name().toLowerCase(java.util.Locale.ROOT)) + "}";
    }

    private static String text(String value) {
        StringBuilder json = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                json.append('\\').append(c);
            } else if (c < ' ') {
                json.append(String.format("\\u%04x", (int) c));
            } else {
                json.append(c);
            }
        }
        return json.append('"').toString();
    }
}
