package garnetreel.cli.map;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints results of the map service in readable form: rows as a table, fields as lines. */
final class ResultPrinter {
    private final PrintWriter out;

    ResultPrinter(PrintWriter out) {
        this.out = out;
    }

    void print(JsonNode result) {
        if (result.isArray()) {
            printTable(result);
        } else {
            result.fields().forEachRemaining(field -> printField(field.getKey(), field.getValue()));
        }
    }

    private void printField(String name, JsonNode value) {
        if (value.isArray()) {
            out.println(name + (value.isEmpty() ? ": none" : ":"));
            printTable(value);
        } else {
            out.println(name + ": " + value.asText());
        }
    }

    /** Prints one column per field that occurs in any row, in the order of first occurrence. */
    private void printTable(JsonNode rows) {
        List<String> names = new ArrayList<>();
        for (JsonNode row : rows) {
            row.fieldNames().forEachRemaining(name -> {
                if (!names.contains(name)) {
                    names.add(name);
                }
            });
        }
        List<List<String>> lines = new ArrayList<>();
        lines.add(names);
        rows.forEach(row ->
                lines.add(names.stream().map(name -> cell(row.path(name))).toList()));
        lines.forEach(line -> printLine(line, lines));
    }

    private void printLine(List<String> line, List<List<String>> lines) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < line.size(); i++) {
            int column = i;
            int width = lines.stream()
                    .mapToInt(each -> each.get(column).length())
                    .max()
                    .orElse(1);
            text.append(String.format(Locale.ROOT, "%-" + Math.max(1, width) + "s  ", line.get(column)));
        }
        out.println(text.toString().stripTrailing());
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode()) {
            return "";
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
