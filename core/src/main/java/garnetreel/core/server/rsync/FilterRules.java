package garnetreel.core.server.rsync;

import garnetreel.codec.ProtocolException;
import java.util.ArrayList;
import java.util.List;

/**
 * The filter rules of a client; the first rule that matches a name decides. Patterns follow rsync's manual: a leading
 * slash anchors a pattern at the root of the transfer, a trailing one restricts it to directories, {@code *} does not
 * match a slash, {@code **} does, and a pattern without a slash and {@code **} is matched against the last path
 * component.
 */
final class FilterRules {
    /** Maximum number of rules that a client may send. */
    private static final int MAX_RULES = 10_000;
    /** Maximum length of all patterns of a client, in characters. */
    private static final int MAX_PATTERN_LENGTH = 1 << 20;

    private record Rule(
            boolean include,
            boolean sender,
            boolean receiver,
            boolean directoryOnly,
            boolean fullPath,
            FilePattern pattern) {}

    private final List<Rule> rules = new ArrayList<>();
    private int patternLength;

    /** Parses and adds a rule in its wire form. */
    void add(String text) throws ProtocolException {
        if (rules.size() >= MAX_RULES) {
            throw new ProtocolException("more than " + MAX_RULES + " filter rules");
        }
        if (text.equals("!")) {
            rules.clear();
            patternLength = 0;
            return;
        }
        int space = text.indexOf(' ');
        if (space < 1 || space == text.length() - 1) {
            throw new ProtocolException("the filter rule \"" + text + "\" is not understood");
        }
        char type = text.charAt(0);
        boolean sender = type == '-' || type == '+' || type == 'H' || type == 'S';
        boolean receiver = type == '-' || type == '+' || type == 'P' || type == 'R';
        if (!sender && !receiver) {
            throw new ProtocolException("filter rules of the kind \"" + type + "\" are not offered here");
        }
        for (char modifier : text.substring(1, space).toCharArray()) {
            switch (modifier) {
                case '/', ',', '_' -> {}
                case 's' -> receiver = false;
                case 'r' -> sender = false;
                case 'p' -> receiver = false; // perishable: does not protect a name from deletion
                default -> throw new ProtocolException(
                        "the filter rule \"" + text + "\" has a modifier that is not " + "offered here");
            }
        }
        String pattern = text.substring(space + 1);
        boolean directoryOnly = pattern.endsWith("/") && pattern.length() > 1;
        pattern = directoryOnly ? pattern.substring(0, pattern.length() - 1) : pattern;
        boolean anchored = pattern.startsWith("/");
        pattern = anchored ? pattern.substring(1) : pattern;
        boolean fullPath = anchored || pattern.contains("/") || pattern.contains("**");
        FilePattern filePattern = new FilePattern(pattern, anchored);
        patternLength += filePattern.length();
        if (patternLength > MAX_PATTERN_LENGTH) {
            throw new ProtocolException("filter rules of more than " + MAX_PATTERN_LENGTH + " characters");
        }
        rules.add(new Rule(
                type == '+' || type == 'S' || type == 'R', sender, receiver, directoryOnly, fullPath, filePattern));
    }

    /** Whether the sender omits a name from the file list. */
    boolean hides(String name, boolean directory) {
        return excluded(name, directory, true);
    }

    /** Whether the receiver must not delete a name. */
    boolean protects(String name, boolean directory) {
        return excluded(name, directory, false);
    }

    private boolean excluded(String name, boolean directory, boolean sender) {
        for (Rule rule : rules) {
            if ((sender ? rule.sender() : rule.receiver())
                    && (!rule.directoryOnly() || directory)
                    && matches(rule, name)) {
                return !rule.include();
            }
        }
        return false;
    }

    private static boolean matches(Rule rule, String name) {
        return rule.pattern().matches(rule.fullPath() ? name : name.substring(name.lastIndexOf('/') + 1));
    }
}
