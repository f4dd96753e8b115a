package garnetreel.cli.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A strict parser of the subset of HCL that settings use: attributes, blocks with labels, strings, numbers, booleans, lists and
 * objects. It provides two things that hcl4j does not: the location of each key, and the certainty that no text is skipped
 * (hcl4j 0.9.4 accepts {@code listen = \n foo { a = [1,} without an error, and reads 1e3 as a string). Values come from hcl4j;
 * {@link HclFile} rejects a file that the two parsers read differently.
 */
final class StrictHclParser {
    private static final int MAX_DEPTH = 16;

    private final HclScanner scanner;
    private final Map<String, SourceLocation> locations = new LinkedHashMap<>();

    StrictHclParser(String text) {
        scanner = new HclScanner(text);
    }

    /** Locations of keys, by path ({@code /block/label/key}). */
    Map<String, SourceLocation> locations() {
        return locations;
    }

    /** Parses the whole text. */
    Map<String, Object> parse() throws HclSyntaxException {
        Map<String, Object> body = body("", 0);
        if (!scanner.atEnd()) {
            throw scanner.error("a \"}\" without a matching \"{\"");
        }
        return body;
    }

    private Map<String, Object> body(String path, int depth) throws HclSyntaxException {
        if (depth > MAX_DEPTH) {
            throw scanner.error("blocks nested deeper than " + MAX_DEPTH);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        while (true) {
            scanner.skipWhitespaceAndComments();
            if (scanner.atEnd() || scanner.isNext('}')) {
                return body;
            }
            SourceLocation location = scanner.location();
            String name = scanner.identifier();
            scanner.skipBlanks();
            if (scanner.skipIf('=')) {
                attribute(body, path, name, location, depth);
                endOfAttribute();
            } else {
                block(body, path, name, location, depth);
            }
        }
    }

    /** Parses the value after the equals sign of an attribute or of an object's key. */
    private void attribute(Map<String, Object> body, String path, String name, SourceLocation location, int depth)
            throws HclSyntaxException {
        scanner.skipBlanks();
        if (body.containsKey(name)) {
            throw new HclSyntaxException(location, "\"" + name + "\" is given twice");
        }
        locations.put(path + "/" + name, location);
        body.put(name, value(path + "/" + name, depth + 1));
    }

    private void endOfAttribute() throws HclSyntaxException {
        scanner.skipBlanks();
        if (!scanner.atEnd() && !scanner.isNext('\n') && !scanner.isNext('}')) {
            throw scanner.error("after a value the end of the line is expected");
        }
    }

    /** Parses the labels of a block and its body; each label is a level of the result. */
    private void block(Map<String, Object> body, String path, String name, SourceLocation location, int depth)
            throws HclSyntaxException {
        List<String> names = new ArrayList<>(List.of(name));
        while (scanner.isNext('"')) {
            names.add(scanner.string());
            scanner.skipBlanks();
        }
        if (!scanner.skipIf('{')) {
            throw scanner.error(
                    "after \"" + name + "\" a \"=\", a label in quotes or a \"{\" on the same line is expected");
        }
        Map<String, Object> parent = body;
        String blockPath = path;
        for (String level : names.subList(0, names.size() - 1)) {
            blockPath += "/" + level;
            locations.putIfAbsent(blockPath, location);
            parent = level(parent, level, location);
        }
        String last = names.get(names.size() - 1);
        blockPath += "/" + last;
        String title = String.join(" ", names);
        if (parent.containsKey(last)) {
            throw new HclSyntaxException(location, "the block " + title + " is given twice");
        }
        locations.put(blockPath, location);
        parent.put(last, body(blockPath, depth + 1));
        if (scanner.atEnd()) {
            throw scanner.error("the file ends inside the block " + title + ", which began at " + location);
        }
        scanner.skip();
    }

    private static Map<String, Object> level(Map<String, Object> parent, String name, SourceLocation location)
            throws HclSyntaxException {
        Object level = parent.computeIfAbsent(name, any -> new LinkedHashMap<String, Object>());
        if (!(level instanceof Map<?, ?>)) {
            throw new HclSyntaxException(location, "\"" + name + "\" is both a value and a block");
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) level;
        return map;
    }

    private Object value(String path, int depth) throws HclSyntaxException {
        if (depth > MAX_DEPTH) {
            throw scanner.error("values nested deeper than " + MAX_DEPTH);
        }
        if (scanner.atEnd() || scanner.isNext('\n')) {
            throw scanner.error("a value is missing");
        }
        char first = scanner.peek();
        return switch (first) {
            case '"' -> scanner.string();
            case '[' -> list(path, depth);
            case '{' -> object(path, depth);
            case '-', '0', '1', '2', '3', '4', '5', '6', '7', '8', '9' -> scanner.number();
            default -> bool(first);
        };
    }

    private Boolean bool(char first) throws HclSyntaxException {
        SourceLocation location = scanner.location();
        String word = Character.isLetter(first) ? scanner.identifier() : String.valueOf(first);
        if (word.equals("true") || word.equals("false")) {
            return word.equals("true");
        }
        throw new HclSyntaxException(
                location,
                "\"" + word + "\" is not a value: a string in quotes, a number, true, false,"
                        + " a list or an object is expected");
    }

    private List<Object> list(String path, int depth) throws HclSyntaxException {
        SourceLocation start = scanner.location();
        scanner.skip();
        List<Object> list = new ArrayList<>();
        while (true) {
            scanner.skipWhitespaceAndComments();
            if (scanner.atEnd()) {
                throw scanner.error("the file ends inside the list that began at " + start);
            }
            if (scanner.skipIf(']')) {
                return list;
            }
            String element = path + "/" + list.size();
            locations.put(element, scanner.location());
            list.add(value(element, depth + 1));
            scanner.skipWhitespaceAndComments();
            if (!scanner.skipIf(',') && !scanner.isNext(']')) {
                throw scanner.error("in a list a \",\" or the closing \"]\" is expected");
            }
        }
    }

    private Map<String, Object> object(String path, int depth) throws HclSyntaxException {
        scanner.skip();
        Map<String, Object> object = new LinkedHashMap<>();
        while (true) {
            scanner.skipWhitespaceAndComments();
            if (scanner.atEnd()) {
                throw scanner.error("the file ends inside an object");
            }
            if (scanner.skipIf('}')) {
                return object;
            }
            SourceLocation location = scanner.location();
            String name = scanner.isNext('"') ? scanner.string() : scanner.identifier();
            scanner.skipBlanks();
            if (!scanner.skipIf('=')) {
                throw scanner.error("after the key \"" + name + "\" a \"=\" is expected");
            }
            attribute(object, path, name, location, depth);
            scanner.skipWhitespaceAndComments();
            scanner.skipIf(',');
        }
    }
}
