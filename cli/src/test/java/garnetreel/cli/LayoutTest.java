package garnetreel.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The direction of dependencies: what each module may know is listed, and nothing else. */
class LayoutTest {
    private static final Map<String, List<String>> MAY_USE = Map.of(
            "policy", List.of(),
            "codec", List.of(),
            "store", List.of(),
            "core", List.of("policy", "codec"),
            "net", List.of("core", "store"),
            "standin", List.of("policy", "codec", "core"),
            "emulator", List.of("core", "standin"),
            "cli", List.of("policy", "codec", "core", "store", "net", "standin", "emulator"));

    private final JavaClasses classes = new ClassFileImporter().withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("garnetreel");

    @Test
    void modulesUseOnlyWhatIsListed() {
        MAY_USE.forEach((module, uses) -> MAY_USE.keySet().forEach(other -> {
            if (!other.equals(module) && !uses.contains(other)) {
                noClasses().that().resideInAPackage("garnetreel." + module + "..").should().dependOnClassesThat()
                        .resideInAPackage("garnetreel." + other + "..").allowEmptyShould(true).check(classes);
            }
        }));
    }

    @Test
    void whatDecidesHasNoClockThreadOrInputOutput() {
        for (String module : List.of("policy", "codec", "core", "emulator")) {
            noClasses().that().resideInAPackage("garnetreel." + module + "..").should().dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..",
                            "java.time..", "org.xnio..", "org.slf4j..").check(classes);
            noClasses().that().resideInAPackage("garnetreel." + module + "..").should().callMethod(System.class,
                    "nanoTime").orShould().callMethod(System.class, "currentTimeMillis").check(classes);
            noClasses().that().resideInAPackage("garnetreel." + module + "..").should().dependOnClassesThat()
                    .belongToAnyOf(Thread.class, java.util.Random.class).check(classes);
        }
    }
}
