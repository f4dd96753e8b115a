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

    private record Rule(
            boolean include,
            boolean sender,
            boolean receiver,
            boolean directoryOnly,
            boolean anchored,
            boolean fullPath,
            String pattern) {}

    private final List<Rule> rules = new ArrayList<>();

    /** Parses and adds a rule in its wire form. */
    void add(String text) throws ProtocolException {
        if (rules.size() >= MAX_RULES) {
            throw new ProtocolException("more than " + MAX_RULES + " filter rules");
        }
        if (text.equals("!")) {
            rules.clear();
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
        rules.add(new Rule(
                type == '+' || type == 'S' || type == 'R',
                sender,
                receiver,
                directoryOnly,
                anchored,
                fullPath,
                pattern));
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
        if (!rule.fullPath()) {
            return match(rule.pattern(), 0, name.substring(name.lastIndexOf('/') + 1), 0);
        }
        if (rule.anchored()) {
            return match(rule.pattern(), 0, name, 0);
        }
        for (int start = 0; start >= 0 && start <= name.length(); ) {
            if (match(rule.pattern(), 0, name, start)) {
                return true;
            }
            int slash = name.indexOf('/', start);
            start = slash < 0 ? -1 : slash + 1;
        }
        return false;
    }

    /** Whether the rest of a pattern matches the whole rest of a name. */
    private static boolean match(String pattern, int patternIndex, String name, int nameIndex) {
        while (patternIndex < pattern.length()) {
            char c = pattern.charAt(patternIndex);
            if (c == '*') {
                boolean crossesSlashes = patternIndex + 1 < pattern.length() && pattern.charAt(patternIndex + 1) == '*';
                int nextPatternIndex = crossesSlashes ? patternIndex + 2 : patternIndex + 1;
                for (int end = nameIndex; end <= name.length(); end++) {
                    if (match(pattern, nextPatternIndex, name, end)) {
                        return true;
                    }
                    if (end < name.length() && name.charAt(end) == '/' && !crossesSlashes) {
                        return false;
                    }
                }
                return false;
            }
            if (nameIndex >= name.length()) {
                return false;
            }
            if (c == '[') {
                int closing = pattern.indexOf(']', patternIndex + 2);
                if (closing < 0
                        || name.charAt(nameIndex) == '/'
                        || !matchesClass(pattern.substring(patternIndex + 1, closing), name.charAt(nameIndex))) {
                    return false;
                }
                patternIndex = closing + 1;
                nameIndex++;
                continue;
            }
            if (c == '\\' && patternIndex + 1 < pattern.length()) {
                c = pattern.charAt(++patternIndex);
            } else if (c == '?') {
                c = name.charAt(nameIndex) == '/' ? 0 : name.charAt(nameIndex);
            }
            if (c != name.charAt(nameIndex)) {
                return false;
            }
            patternIndex++;
            nameIndex++;
        }
        return nameIndex == name.length();
    }

    private static boolean matchesClass(String charClass, char c) {
        boolean negated = charClass.startsWith("!") || charClass.startsWith("^");
        boolean member = false;
        for (int i = negated ? 1 : 0; i < charClass.length(); i++) {
            if (i + 2 < charClass.length() && charClass.charAt(i + 1) == '-') {
                member |= c >= charClass.charAt(i) && c <= charClass.charAt(i + 2);
                i += 2;
            } else {
                member |= c == charClass.charAt(i);
            }
        }
        return member != negated;
    }
}
