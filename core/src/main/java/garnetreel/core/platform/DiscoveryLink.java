package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import garnetreel.codec.http.HttpWriter;
import garnetreel.codec.http.ResponseParser;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.link.ConnectionNumbers;
import garnetreel.policy.Scheduler.ListKind;
import garnetreel.policy.Scheduler.NodeNews;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The connection to discovery. The module says when to watch or to ask; this carries it out and keeps versions in step.
 * It begins a watch of its own accord only when the address of discovery changes in mid-watch.
 */
final class DiscoveryLink {
    /** The list, or one object of the watch; the platform's bodies have at most 64 KiB. */
    private static final int LINE_MOST = 64 << 10;
    /** The first answer is waited for so long, connecting included. */
    private static final long ANSWER_WAIT = 3_000_000;
    /** A watch says something every 2 s; one that says nothing for so long is taken for dead. */
    private static final long SILENCE = 5_000_000;
    private static final int OK = 200;

    /** A call that is out: a watch or one question. */
    private static final class Call {
        final long conn;
        final boolean watch;
        final ResponseParser parser = new ResponseParser(LINE_MOST);
        final ByteArrayOutputStream line = new ByteArrayOutputStream(64);
        boolean begun;
        long heardAt;

        Call(long conn, boolean watch, long now) {
            this.conn = conn;
            this.watch = watch;
            this.heardAt = now;
        }
    }

    private final ConnectionNumbers numbers;
    private final Consumer<NodeNews> news;
    private final ShelfLinks shelves;
    private String address;
    private long version;
    private boolean anyVersion;
    private boolean wanted;
    private Call watch;
    private Call question;
    private List<NetAction> actions = new ArrayList<>();
    private long now;

    DiscoveryLink(PlatformSettings settings, ConnectionNumbers numbers, ShelfLinks shelves, Consumer<NodeNews> news) {
        this.numbers = numbers;
        this.news = news;
        this.shelves = shelves;
        this.address = settings.discovery();
    }

    void at(long time, List<NetAction> to) {
        now = time;
        actions = to;
    }

    /** Begins with the list as it was last known; it may be old, so the first answer is asked for whole. */
    void remembered(ListUpdate known) {
        anyVersion = true;
        shelves.follow(known);
        news.accept(known.news(ListKind.REMEMBERED));
    }

    /** Subscribes to changes, or ends the subscription. */
    void watch(boolean on) {
        wanted = on;
        end(watch);
        watch = on ? call(true) : null;
    }

    /** Asks for the whole list once. */
    void fetch() {
        if (question == null) {
            question = call(false);
        }
    }

    /** Discovery is elsewhere from now on. */
    void redirect(String to) {
        if (to.equals(address)) {
            return;
        }
        actions.add(new NetAction.Note(Level.INFO, "discovery moves from " + address + " to " + to));
        address = to;
        if (wanted) {
            watch(true);
        }
    }

    private Call call(boolean watching) {
        Call call = new Call(numbers.next(), watching, now);
        actions.add(new NetAction.Connect(call.conn, address));
        return call;
    }

    boolean owns(long conn) {
        return watch != null && watch.conn == conn || question != null && question.conn == conn;
    }

    private Call call(long conn) {
        return watch != null && watch.conn == conn ? watch : question;
    }

    void connected(long conn) {
        String target = Headers.LIST + (!call(conn).watch ? "" : anyVersion ? "?watch=1" : "?watch=1&from=" + version);
        actions.add(new NetAction.Write(conn, HttpWriter.request("GET", target, Headers.HOST).body(new byte[0], false)));
    }

    void closed(long conn) {
        failed(call(conn), "its connection ended");
    }

    private void end(Call call) {
        if (call != null) {
            actions.add(new NetAction.Close(call.conn, true));
        }
    }

    private void failed(Call call, String why) {
        actions.add(new NetAction.Note(Level.INFO, "discovery: " + why));
        if (call == watch) {
            watch = null;
        } else {
            question = null;
        }
        news.accept(new NodeNews(ListKind.REFUSED, List.of()));
    }

    void received(long conn, ByteBuffer data) {
        Call call = call(conn);
        call.heardAt = now;
        try {
            HttpResponse answer = call.parser.next(data);
            if (call.parser.status() == OK && call.watch) {
                call.begun = true;
                lines(call, call.parser.part());
            } else if (answer != null) {
                answered(call, answer);
            }
        } catch (ProtocolException | JsonException e) {
            end(call);
            failed(call, e.getMessage());
        }
    }

    private void answered(Call call, HttpResponse answer) throws JsonException, ProtocolException {
        if (answer.status() == OK && call.watch) {
            lines(call, answer.body());
        } else if (answer.status() == OK) {
            take(Json.parse(answer.body(), 0, answer.body().length, "list"));
        }
        if (call.watch || answer.status() != OK) {
            end(call);
            failed(call, answer.status() == OK ? "the watch ended" : "answered " + answer.status());
        } else {
            question = null;
            end(call);
        }
    }

    private void lines(Call call, byte[] bytes) throws JsonException, ProtocolException {
        for (byte one : bytes) {
            if (one != '\n') {
                if (call.line.size() == LINE_MOST) {
                    throw new ProtocolException("a line of more than " + LINE_MOST + " bytes");
                }
                call.line.write(one);
            } else {
                byte[] line = call.line.toByteArray();
                call.line.reset();
                if (!new String(line, StandardCharsets.US_ASCII).isBlank()) {
                    take(Json.parse(line, 0, line.length, "watch"));
                }
            }
        }
    }

    /**
     * Takes a list or changes. An older version than the one held is not taken: it would call back shelves that are known
     * to be gone. The next call then asks for everything, and whatever that says holds, so a discovery that counts anew
     * is believed the second time.
     */
    private void take(Json json) throws JsonException, ProtocolException {
        ListUpdate update = ListUpdate.read(json);
        if (!anyVersion && update.version() < version) {
            anyVersion = true;
            throw new ProtocolException("version went back from " + version + " to " + update.version());
        }
        if (anyVersion && !update.whole()) {
            throw new ProtocolException("changes without a list");
        }
        anyVersion = false;
        version = update.version();
        shelves.follow(update);
        news.accept(update.news(update.whole() ? ListKind.ALL : ListKind.CHANGES));
    }

    long wakeAt() {
        return Math.min(dueAt(watch), dueAt(question));
    }

    private static long dueAt(Call call) {
        return call == null ? Long.MAX_VALUE : call.heardAt + (call.begun ? SILENCE : ANSWER_WAIT);
    }

    void expire() {
        for (Call call : new Call[] {watch, question}) {
            if (dueAt(call) <= now) {
                end(call);
                failed(call, "silent");
            }
        }
    }
}
