package garnetreel.testbed.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.nodelist.NodeListMessage;
import garnetreel.testbed.node.NodeFault;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The labels of the trace format must not change when constants are renamed. */
class TraceLabelsTest {
    @Test
    void eventKindLabels() {
        assertEquals(
                List.of(
                        "ask", "reply", "give_up", "leave", "misread", "arrive", "run", "repeat", "answer", "start",
                        "fell", "step", "fault", "told"),
                Stream.of(TraceEvent.Kind.values()).map(TraceEvent.Kind::label).toList());
        for (TraceEvent.Kind kind : TraceEvent.Kind.values()) {
            assertEquals(kind, TraceEvent.Kind.ofLabel(kind.label()));
        }
        assertThrows(IllegalArgumentException.class, () -> TraceEvent.Kind.ofLabel("asked"));
    }

    @Test
    void nodeFaultLabels() {
        assertEquals(
                List.of(
                        "silence",
                        "slow",
                        "errors",
                        "lose_answers",
                        "cut_after",
                        "half_open",
                        "refuse",
                        "corrupt",
                        "cut_off",
                        "drain"),
                Stream.of(NodeFault.Kind.values()).map(NodeFault.Kind::label).toList());
    }

    @Test
    void protocolLabels() {
        assertEquals(
                List.of("read", "write", "zero", "trim", "flush", "cache", "status"),
                Stream.of(NodeMessage.Op.values()).map(TraceLabels::of).toList());
        assertEquals(
                List.of("ok", "error", "full", "moot", "stale"),
                Stream.of(NodeMessage.Result.values()).map(TraceLabels::of).toList());
        assertEquals(
                List.of(
                        "track", "take", "receive", "put", "fence", "serve", "release", "unfence", "forget", "load",
                        "sum", "holds"),
                Stream.of(NodeMessage.Step.values()).map(TraceLabels::of).toList());
        assertEquals(
                List.of("up", "draining", "gone"),
                Stream.of(NodeListMessage.State.values()).map(TraceLabels::of).toList());
    }

    @Test
    void fileLineAndHashedTextFormat(@TempDir Path directory) throws Exception {
        TraceEvent event = new TraceEvent(
                1, "c", "2", TraceEvent.Kind.GIVE_UP, 3, 4, 5, 6, "read", 7, 8, 9, 10, 11, 12, 13, "served");
        assertEquals(
                "TraceEvent[time=1, who=c, peer=2, kind=GIVE_UP, tag=3, request=4, attempt=5, life=6, op=read, volume=7,"
                        + " shard=8, units=9, version=10, key=11, offset=12, length=13, outcome=served]",
                TraceHash.text(event));
        Path file = directory.resolve("trace.jsonl");
        try (TraceFile trace = new TraceFile(file)) {
            trace.add(event);
        }
        assertEquals(
                "{\"time\":1,\"who\":\"c\",\"peer\":\"2\",\"kind\":\"give_up\",\"tag\":3,\"request\":4,\"attempt\":5,"
                        + "\"life\":6,\"op\":\"read\",\"volume\":7,\"shard\":8,\"units\":9,\"version\":10,\"key\":11,"
                        + "\"offset\":12,\"length\":13,\"outcome\":\"served\"}\n",
                Files.readString(file));
        assertEquals(List.of(event), TraceFile.read(file));
    }
}
