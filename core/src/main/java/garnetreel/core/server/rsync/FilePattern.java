package garnetreel.core.server.rsync;

import java.util.ArrayList;
import java.util.List;

/**
 * A pattern of a filter rule. Matching follows all ways through the pattern at once, one character of the name after
 * the other, so its time grows with the product of both lengths at most, whatever pattern a client sends.
 */
final class FilePattern {
    /** What one position of a pattern accepts. */
    private sealed interface Token permits Literal, AnyCharacter, CharacterClass, Nothing, Wildcard {
        boolean accepts(char c);
    }

    private record Literal(char character) implements Token {
        @Override
        public boolean accepts(char c) {
            return c == character;
        }
    }

    /** {@code ?}. */
    private record AnyCharacter() implements Token {
        @Override
        public boolean accepts(char c) {
            return c != '/';
        }
    }

    /** {@code [...]}: characters and ranges; a leading {@code !} or {@code ^} negates them. */
    private record CharacterClass(String members) implements Token {
        @Override
        public boolean accepts(char c) {
            if (c == '/') {
                return false;
            }
            boolean negated = members.startsWith("!") || members.startsWith("^");
            boolean member = false;
            for (int i = negated ? 1 : 0; i < members.length(); i++) {
                if (i + 2 < members.length() && members.charAt(i + 1) == '-') {
                    member |= c >= members.charAt(i) && c <= members.charAt(i + 2);
                    i += 2;
                } else {
                    member |= c == members.charAt(i);
                }
            }
            return member != negated;
        }
    }

    /** A class without its closing bracket, which matches no name. */
    private record Nothing() implements Token {
        @Override
        public boolean accepts(char c) {
            return false;
        }
    }

    /** {@code *} and {@code **}: any number of characters, also none. */
    private record Wildcard(boolean crossesSlashes) implements Token {
        @Override
        public boolean accepts(char c) {
            return crossesSlashes || c != '/';
        }
    }

    private final List<Token> tokens;
    private final boolean anchored;

    /** @param anchored whether a match begins at the start of a name only, and not at each path component */
    FilePattern(String pattern, boolean anchored) {
        this.tokens = parse(pattern);
        this.anchored = anchored;
    }

    private static List<Token> parse(String pattern) {
        List<Token> tokens = new ArrayList<>();
        for (int i = 0; i < pattern.length(); i++) {
            char c = pattern.charAt(i);
            boolean last = i + 1 == pattern.length();
            if (c == '*') {
                boolean crossesSlashes = !last && pattern.charAt(i + 1) == '*';
                tokens.add(new Wildcard(crossesSlashes));
                i += crossesSlashes ? 1 : 0;
            } else if (c == '?') {
                tokens.add(new AnyCharacter());
            } else if (c == '[') {
                int closing = pattern.indexOf(']', i + 2);
                if (closing < 0) {
                    tokens.add(new Nothing());
                    return tokens;
                }
                tokens.add(new CharacterClass(pattern.substring(i + 1, closing)));
                i = closing;
            } else if (c == '\\' && !last) {
                i++;
                tokens.add(new Literal(pattern.charAt(i)));
            } else {
                tokens.add(new Literal(c));
            }
        }
        return tokens;
    }

    /** Number of positions, which is what a pattern costs in memory. */
    int length() {
        return tokens.size();
    }

    /** Whether the pattern matches a name up to its end. */
    boolean matches(String name) {
        // The positions of the pattern up to which it matches what is read of the name.
        PositionSet reached = new PositionSet(tokens.size() + 1);
        PositionSet reachedNext = new PositionSet(tokens.size() + 1);
        reach(0, reached);
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            for (int k = 0; k < reached.size(); k++) {
                advance(reached.get(k), c, reachedNext);
            }
            if (!anchored && c == '/') {
                reach(0, reachedNext);
            } else if (reachedNext.size() == 0 && (anchored || name.indexOf('/', i) < 0)) {
                return false;
            }
            PositionSet previous = reached;
            reached = reachedNext;
            reachedNext = previous;
            reachedNext.clear();
        }
        return reached.contains(tokens.size());
    }

    private void advance(int position, char c, PositionSet reachedNext) {
        if (position < tokens.size() && tokens.get(position).accepts(c)) {
            reach(isWildcard(position) ? position : position + 1, reachedNext);
        }
    }

    /** Adds a position, and those behind its wildcards, which may match nothing. */
    private void reach(int position, PositionSet reached) {
        int last = position;
        reached.add(last);
        while (isWildcard(last)) {
            last++;
            reached.add(last);
        }
    }

    private boolean isWildcard(int position) {
        return position < tokens.size() && tokens.get(position) instanceof Wildcard;
    }

    /** A set of positions that is walked in the order of insertion and cleared at the cost of what it holds. */
    private static final class PositionSet {
        private final int[] positions;
        private final boolean[] contained;
        private int size;

        PositionSet(int capacity) {
            positions = new int[capacity];
            contained = new boolean[capacity];
        }

        int size() {
            return size;
        }

        int get(int index) {
            return positions[index];
        }

        boolean contains(int position) {
            return contained[position];
        }

        void add(int position) {
            if (!contained[position]) {
                contained[position] = true;
                positions[size++] = position;
            }
        }

        void clear() {
            while (size > 0) {
                contained[positions[--size]] = false;
            }
        }
    }
}
