package garnetreel.cli.config;

/** The scanner of {@link StrictHclParser}: a position in a text, and the tokens that begin there. */
final class HclScanner {
    /** Includes characters of other notations, such as 0x1f, so that an error names the whole number. */
    private static final String NUMBER_CHARACTERS = "+-.0123456789eE_abcdfxABCDFX";

    private static final String PLAIN_DECIMAL = "-?(0|[1-9][0-9]*)(\\.[0-9]+)?";

    private final String text;
    private int position;
    private int line = 1;
    private int lineStart;

    HclScanner(String text) {
        this.text = text;
    }

    SourceLocation location() {
        return new SourceLocation(line, position - lineStart + 1);
    }

    HclSyntaxException error(String message) {
        return new HclSyntaxException(location(), message);
    }

    boolean atEnd() {
        return position >= text.length();
    }

    /** Whether this character is next. */
    boolean isNext(char expected) {
        return !atEnd() && text.charAt(position) == expected;
    }

    /** The next character; must not be called at the end. */
    char peek() {
        return text.charAt(position);
    }

    /** Skips one character. */
    void skip() {
        position++;
    }

    /** Skips this character if it is next, and returns whether it was. */
    boolean skipIf(char expected) {
        boolean next = isNext(expected);
        if (next) {
            skip();
        }
        return next;
    }

    /** Skips blanks and comments within a line. */
    void skipBlanks() throws HclSyntaxException {
        skipBlanks(false);
    }

    /** Skips blanks, comments and line ends. */
    void skipWhitespaceAndComments() throws HclSyntaxException {
        skipBlanks(true);
    }

    private void skipBlanks(boolean lines) throws HclSyntaxException {
        while (!atEnd()) {
            char next = peek();
            if (next == '\n') {
                if (!lines) {
                    return;
                }
                skip();
                line++;
                lineStart = position;
            } else if (next == ' ' || next == '\t' || next == '\r') {
                skip();
            } else if (next == '#' || text.startsWith("//", position)) {
                skipToEndOfLine();
            } else if (text.startsWith("/*", position)) {
                throw error("comments begin with # or //");
            } else {
                return;
            }
        }
    }

    private void skipToEndOfLine() {
        while (!atEnd() && peek() != '\n') {
            skip();
        }
    }

    String identifier() throws HclSyntaxException {
        int start = position;
        while (!atEnd() && isIdentifierPart(peek(), position > start)) {
            skip();
        }
        if (position == start || Character.isDigit(text.charAt(start))) {
            throw error("expected a name, found \"" + describe(start) + "\"");
        }
        return text.substring(start, position);
    }

    private static boolean isIdentifierPart(char c, boolean inside) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '-' && inside;
    }

    private String describe(int start) {
        if (start >= text.length()) {
            return "end of file";
        }
        return text.charAt(start) == '\n' ? "end of line" : String.valueOf(text.charAt(start));
    }

    Double number() throws HclSyntaxException {
        SourceLocation location = location();
        int start = position;
        while (!atEnd() && NUMBER_CHARACTERS.indexOf(peek()) >= 0) {
            skip();
        }
        String digits = text.substring(start, position);
        if (!digits.matches(PLAIN_DECIMAL)) {
            throw new HclSyntaxException(location, "\"" + digits + "\" is no plain decimal number");
        }
        return Double.valueOf(digits);
    }

    /** A quoted string; the opening quote is next. */
    String string() throws HclSyntaxException {
        SourceLocation start = location();
        StringBuilder value = new StringBuilder();
        skip();
        while (!atEnd() && peek() != '"') {
            char next = peek();
            skip();
            if (next == '\n') {
                throw new HclSyntaxException(start, "the string has no closing quote on its line");
            }
            if (next == '$' && isNext('{')) {
                throw new HclSyntaxException(start, "the string has a \"${\"; settings hold no expressions");
            }
            value.append(next == '\\' ? escaped(start) : next);
        }
        if (atEnd()) {
            throw new HclSyntaxException(start, "the string has no closing quote");
        }
        skip();
        return value.toString();
    }

    /** The character that an escape sequence stands for; its backslash has been read. */
    private char escaped(SourceLocation start) throws HclSyntaxException {
        char escape = atEnd() ? ' ' : peek();
        skip();
        return switch (escape) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case '"', '\\' -> escape;
            default -> throw new HclSyntaxException(start, "the string has the unknown escape \\" + escape);
        };
    }
}
