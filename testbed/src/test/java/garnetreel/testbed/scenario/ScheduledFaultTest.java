package garnetreel.testbed.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The fault labels of scenario files must not change when constants are renamed. */
class ScheduledFaultTest {
    @Test
    void faultKindLabels() {
        assertEquals(
                List.of(
                        "node-crash",
                        "node-vanish",
                        "node-slow",
                        "node-errors",
                        "node-lost-answers",
                        "node-cut",
                        "node-half-open",
                        "node-refuse",
                        "node-corrupt",
                        "node-drain",
                        "node-cut-off",
                        "list-lag",
                        "list-fail",
                        "list-silent",
                        "list-crash",
                        "map-crash",
                        "map-stall",
                        "map-restore",
                        "head-crash",
                        "head-stall",
                        "surge"),
                Stream.of(ScheduledFault.Kind.values())
                        .map(ScheduledFault.Kind::label)
                        .toList());
        for (ScheduledFault.Kind kind : ScheduledFault.Kind.values()) {
            assertEquals(kind, ScheduledFault.Kind.ofLabel(kind.label()));
            assertEquals(
                    kind,
                    ScheduledFault.Kind.ofLabel(
                            kind.label().toUpperCase(Locale.ROOT).replace('-', '_')));
        }
        assertThrows(IllegalArgumentException.class, () -> ScheduledFault.Kind.ofLabel("node-melt"));
    }
}
