package garnetreel.core.platform;

import garnetreel.settings.Json;
import garnetreel.settings.JsonException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parses the load report of an endpoint. A malformed report is ignored, because the response that carries it is still
 * valid.
 */
final class LoadReport {
    /** Name of the document, which the JSON parser requires for its error messages; they are discarded here. */
    private static final String DOCUMENT_NAME = "load";
    /** A report with more fields counts as malformed, which limits the memory that one response can occupy. */
    private static final int MAX_FIELDS = 32;

    private LoadReport() {}

    /** @param text the report; null if there is none */
    static Map<String, Double> read(String text) {
        return text == null ? Map.of() : read(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the report's finite, non-negative numbers in their original order; empty if the report is empty or
     * malformed.
     */
    static Map<String, Double> read(byte[] text) {
        if (text.length == 0) {
            return Map.of();
        }
        try {
            Map<String, Double> numbers =
                    Json.parse(text, 0, text.length, DOCUMENT_NAME).numbers();
            if (numbers.size() > MAX_FIELDS) {
                return Map.of();
            }
            Map<String, Double> report = new LinkedHashMap<>();
            numbers.forEach((name, value) -> {
                if (Double.isFinite(value) && value >= 0) {
                    report.put(name, value);
                }
            });
            return report;
        } catch (JsonException e) {
            return Map.of();
        }
    }
}
