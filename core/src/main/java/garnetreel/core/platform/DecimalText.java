package garnetreel.core.platform;

/** Parses and formats numbers as used by the platform: decimal digits without sign or exponent. */
final class DecimalText {
    private static final int RADIX = 10;
    private static final int MICROS_PER_MILLI = 1_000;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int MICROS_PER_SECOND = 1_000_000;
    /**
     * Number of decimals of a time in seconds that are read; further ones are truncated, and a number with more than
     * {@link #MAX_LONG_DIGITS} decimals is malformed.
     */
    private static final int MICRO_DIGITS = 6;
    /** Nine digits of seconds are about 31 years, whose microseconds fit into a long. */
    private static final int MAX_SECONDS_DIGITS = 9;
    /** Every number of up to 18 digits fits into a long. */
    private static final int MAX_LONG_DIGITS = 18;

    private DecimalText() {}

    /** Parses a whole number; -1 if the text is not one or has more than {@code maxDigits} digits. */
    static long parseWhole(String text, int maxDigits) {
        if (text.isEmpty() || text.length() > maxDigits) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit >= RADIX) {
                return -1;
            }
            number = RADIX * number + digit;
        }
        return number;
    }

    /** Parses a time in seconds, with or without decimals, into microseconds; -1 if the text is malformed. */
    static long parseSecondsAsMicros(String text) {
        int point = text.indexOf('.');
        long seconds = parseWhole(point < 0 ? text : text.substring(0, point), MAX_SECONDS_DIGITS);
        if (seconds < 0) {
            return -1;
        }
        if (point < 0) {
            return seconds * MICROS_PER_SECOND;
        }
        if (parseWhole(text.substring(point + 1), MAX_LONG_DIGITS) < 0) {
            return -1;
        }
        long fraction = 0;
        for (int i = 1; i <= MICRO_DIGITS; i++) {
            int digit = point + i < text.length() ? text.charAt(point + i) - '0' : 0;
            fraction = RADIX * fraction + digit;
        }
        return seconds * MICROS_PER_SECOND + fraction;
    }

    /** Formats a time, given in microseconds, in seconds with three decimals. */
    static String formatSeconds(long micros) {
        long millis = micros / MICROS_PER_MILLI;
        long fraction = millis % MILLIS_PER_SECOND;
        String padding = fraction < 10 ? "00" : fraction < 100 ? "0" : "";
        return millis / MILLIS_PER_SECOND + "." + padding + fraction;
    }
}
