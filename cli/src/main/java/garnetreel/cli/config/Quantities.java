package garnetreel.cli.config;

import java.util.Locale;

/** Parses durations and sizes with units; the schema has checked their syntax. */
public final class Quantities {
    private Quantities() {}

    /** Microseconds of "250ms", "2.5s", "10m", "1h" or "90us". */
    public static long micros(String text) {
        int unitStart = 0;
        while (unitStart < text.length()
                && (Character.isDigit(text.charAt(unitStart)) || text.charAt(unitStart) == '.')) {
            unitStart++;
        }
        double factor =
                switch (text.substring(unitStart)) {
                    case "us" -> 1;
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    case "m" -> 60e6;
                    default -> 3600e6;
                };
        return Math.round(Double.parseDouble(text.substring(0, unitStart)) * factor);
    }

    /** Bytes of "512B", "4KiB", "64MiB", "2GiB" or "1TiB". */
    public static long bytes(String text) {
        int unitStart = 0;
        while (unitStart < text.length() && Character.isDigit(text.charAt(unitStart))) {
            unitStart++;
        }
        int shift =
                switch (text.substring(unitStart).toUpperCase(Locale.ROOT)) {
                    case "B" -> 0;
                    case "KIB" -> 10;
                    case "MIB" -> 20;
                    case "GIB" -> 30;
                    default -> 40;
                };
        return Math.multiplyExact(Long.parseLong(text.substring(0, unitStart)), 1L << shift);
    }
}
