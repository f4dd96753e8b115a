package garnetreel.benchadapter;

import com.fasterxml.jackson.core.JsonGenerator;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.policy.Scheduler;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import garnetreel.settings.SettingsReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs many independent scheduler instances on one stream of JSON messages, one a line. The messages between
 * {@code turn} and {@code your-turn} form a batch, which gets one reply.
 */
final class InstanceHost {
    private final Map<Integer, Scheduler> instances = new TreeMap<>();
    private final Map<Integer, List<SchedulerEvent>> pending = new LinkedHashMap<>();
    private final InputStream in;
    private final OutputStream out;
    /** Input; the bytes from {@code start} to {@code end} are not handled yet. */
    private byte[] buffer = new byte[1 << 16];

    private int start;
    private int end;
    private long lineNumber;
    private long now;
    private boolean inBatch;

    InstanceHost(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    /**
     * Serves batches until the input ends.
     *
     * @throws JsonException if a message is invalid or the input ends inside a batch
     */
    void run() throws IOException, JsonException {
        int length;
        while ((length = nextLine()) >= 0) {
            int from = start;
            start = Math.min(end, start + length + 1);
            if (!isBlank(from, length)) {
                handleMessage(Json.parse(buffer, from, length, lineNumber));
            }
        }
        if (inBatch) {
            throw new JsonException("line " + lineNumber + ": input ended inside a batch");
        }
    }

    private boolean isBlank(int from, int length) {
        for (int i = from; i < from + length; i++) {
            if (buffer[i] > ' ' || buffer[i] < 0) {
                return false;
            }
        }
        return true;
    }

    /** Reads until the line that begins at {@code start} is complete. Returns its length, or -1 at the end of input. */
    private int nextLine() throws IOException {
        int scan = start;
        while (true) {
            for (; scan < end; scan++) {
                if (buffer[scan] == '\n') {
                    lineNumber++;
                    return scan - start;
                }
            }
            if (start > 0) {
                System.arraycopy(buffer, start, buffer, 0, end - start);
                scan -= start;
                end -= start;
                start = 0;
            }
            if (end == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int count = in.read(buffer, end, buffer.length - end);
            if (count < 0) {
                if (end == start) {
                    return -1;
                }
                lineNumber++;
                return end - start;
            }
            end += count;
        }
    }

    private void handleMessage(Json json) throws IOException, JsonException {
        String message = json.require("msg").text("msg", "");
        if (message.equals("turn")) {
            if (inBatch) {
                throw new JsonException("line " + lineNumber + ": \"turn\" inside a batch");
            }
            now = json.require("t").micros("t", 0);
            inBatch = true;
            return;
        }
        if (!inBatch) {
            throw new JsonException("line " + lineNumber + ": \"" + message + "\" outside a batch");
        }
        if (message.equals("your-turn")) {
            sendReply();
            return;
        }
        SchedulerEvent event = BenchMessageCodec.readEvent(message, json);
        boolean isStart = message.equals("born");
        if (event == null && !isStart && !message.equals("kill")) {
            throw new JsonException("line " + lineNumber + ": unknown event \"" + message + "\"");
        }
        int instance = (int) json.require("head-id").integer("head-id", 0);
        if (isStart) {
            pending.remove(instance);
            instances.put(
                    instance,
                    new FairQueueScheduler(
                            SettingsReader.read(json.require("settings").child("settings")),
                            json.integer("entropy", 0)));
        } else if (event == null) {
            pending.remove(instance);
            instances.remove(instance);
        } else if (instances.containsKey(instance)) {
            pending.computeIfAbsent(instance, any -> new ArrayList<>()).add(event);
        } else {
            throw new JsonException("line " + lineNumber + ": field \"head-id\" names no running instance");
        }
    }

    private void sendReply() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        JsonGenerator reply = BenchMessageCodec.openReply(bytes);
        for (Map.Entry<Integer, List<SchedulerEvent>> entry : pending.entrySet()) {
            int instance = entry.getKey();
            try {
                for (SchedulerAction action : instances.get(instance).decide(now, entry.getValue())) {
                    BenchMessageCodec.writeAction(reply, instance, action);
                }
            } catch (RuntimeException e) {
                BenchMessageCodec.writeFailure(reply, instance, e);
            }
        }
        pending.clear();
        inBatch = false;
        BenchMessageCodec.endReply(reply);
        bytes.writeTo(out);
        out.flush();
    }
}
