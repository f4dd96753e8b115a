package garnetreel.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between the packages of the policy module, as given by the imports of its main sources. */
class PackageLayoutTest {
    private static final Path SOURCES = Path.of("src/main/java/garnetreel/policy");
    private static final Pattern IMPORT = Pattern.compile("^import (garnetreel\\.policy(?:\\.[a-z]+)*)\\.[A-Z]");
    private static final int MIN_PACKAGES = 14;

    private final Map<String, Set<String>> dependencies = dependencies();

    private static Map<String, Set<String>> dependencies() {
        Map<String, Set<String>> dependencies = new TreeMap<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            files.filter(file -> file.toString().endsWith(".java")).forEach(file -> {
                String packageName = "garnetreel.policy"
                        + SOURCES.relativize(file.getParent())
                                .toString()
                                .replaceAll("^(?=.)", ".")
                                .replace('/', '.');
                dependencies
                        .computeIfAbsent(packageName, absent -> new TreeSet<>())
                        .addAll(imports(file));
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return dependencies;
    }

    private static List<String> imports(Path file) {
        List<String> imports = new ArrayList<>();
        try {
            for (String line : Files.readAllLines(file)) {
                Matcher matcher = IMPORT.matcher(line);
                if (matcher.find()) {
                    imports.add(matcher.group(1));
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return imports;
    }

    @Test
    void packageDependenciesHaveNoCycle() {
        assertTrue(dependencies.size() >= MIN_PACKAGES, "too few packages found: " + dependencies.keySet());
        Set<String> remaining = new TreeSet<>(dependencies.keySet());
        boolean changed = true;
        while (changed) {
            // A package whose dependencies have all been removed is not part of a cycle.
            changed = remaining.removeIf(name -> dependencies.get(name).stream().noneMatch(remaining::contains));
        }
        assertEquals(Set.of(), remaining, "packages in a cycle, or dependent on one: " + dependencies);
    }

    @Test
    void apiPackagesDependOnNoOtherPackage() {
        for (String name : List.of("garnetreel.policy.event", "garnetreel.policy.action", "garnetreel.policy.config")) {
            assertEquals(Set.of(), dependencies.get(name), name);
        }
    }

    @Test
    void subpackagesDoNotDependOnRootPackage() {
        dependencies.forEach((name, imported) -> assertTrue(
                name.equals("garnetreel.policy") || !imported.contains("garnetreel.policy"),
                name + " depends on " + imported));
    }
}
