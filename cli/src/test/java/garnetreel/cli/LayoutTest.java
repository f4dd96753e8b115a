package garnetreel.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Dependencies between modules and packages: each module may use only the modules listed for it. */
class LayoutTest {
    private static final Map<String, List<String>> ALLOWED_DEPENDENCIES = Map.ofEntries(
            Map.entry("policy", List.of()),
            Map.entry("settings", List.of("policy")),
            Map.entry("codec", List.of()),
            Map.entry("store", List.of()),
            Map.entry("map", List.of("codec")),
            Map.entry("files", List.of()),
            Map.entry("core", List.of("policy", "settings", "codec", "map", "files")),
            Map.entry("mapservice", List.of("policy", "codec", "map", "core")),
            Map.entry("net", List.of("core", "store")),
            Map.entry("testbed", List.of("policy", "codec", "map", "core", "mapservice")),
            Map.entry("emulator", List.of("core", "testbed")),
            Map.entry(
                    "cli",
                    List.of(
                            "policy",
                            "settings",
                            "codec",
                            "map",
                            "files",
                            "mapservice",
                            "core",
                            "store",
                            "net",
                            "testbed",
                            "emulator")));

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("garnetreel");

    @Test
    void modulesUseOnlyAllowedModules() {
        ALLOWED_DEPENDENCIES.forEach(
                (module, allowed) -> ALLOWED_DEPENDENCIES.keySet().forEach(other -> {
                    if (!other.equals(module) && !allowed.contains(other)) {
                        noClasses()
                                .that()
                                .resideInAPackage("garnetreel." + module + "..")
                                .should()
                                .dependOnClassesThat()
                                .resideInAPackage("garnetreel." + other + "..")
                                .allowEmptyShould(true)
                                .check(classes);
                    }
                }));
    }

    /** The deployed jar contains no test bed and no emulator, so code in service must not depend on them. */
    @Test
    void serviceDoesNotDependOnTestBed() {
        noClasses()
                .that()
                .resideInAPackage("garnetreel.cli..")
                .and()
                .resideOutsideOfPackage("garnetreel.cli.testing..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("garnetreel.testbed..", "garnetreel.emulator..", "garnetreel.cli.testing..")
                .check(classes);
    }

    @Test
    void deterministicModulesUseNoClockThreadOrIo() {
        for (String module : List.of("policy", "settings", "codec", "map", "files", "core", "mapservice", "emulator")) {
            noClasses()
                    .that()
                    .resideInAPackage("garnetreel." + module + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.net..",
                            "java.nio.channels..",
                            "java.nio.file..",
                            "java.util.concurrent..",
                            "java.time..",
                            "org.xnio..",
                            "org.slf4j..")
                    .check(classes);
            noClasses()
                    .that()
                    .resideInAPackage("garnetreel." + module + "..")
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .check(classes);
            noClasses()
                    .that()
                    .resideInAPackage("garnetreel." + module + "..")
                    .should()
                    .dependOnClassesThat()
                    .belongToAnyOf(Thread.class, java.util.Random.class)
                    .check(classes);
        }
    }

    /**
     * Each package of the command line, including the top one, is a slice of its own; {@code cli.testing} and the
     * packages below it, which depend on the test bed, are one slice.
     */
    @Test
    void packagesOfTheCommandLineAreFreeOfCycles() {
        SliceAssignment packages = new SliceAssignment() {
            @Override
            public SliceIdentifier getIdentifierOf(JavaClass type) {
                String name = type.getPackageName();
                if (!(name + ".").startsWith("garnetreel.cli.")) {
                    return SliceIdentifier.ignore();
                }
                boolean testing = (name + ".").startsWith("garnetreel.cli.testing.");
                return SliceIdentifier.of(testing ? "garnetreel.cli.testing" : name);
            }

            @Override
            public String getDescription() {
                return "packages of the command line";
            }
        };
        SlicesRuleDefinition.slices()
                .assignedFrom(packages)
                .should()
                .beFreeOfCycles()
                .check(classes);
    }
}
