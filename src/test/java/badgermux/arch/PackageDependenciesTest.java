package badgermux.arch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Checks which packages may depend on which. */
@AnalyzeClasses(packages = "badgermux", importOptions = ImportOption.DoNotIncludeTests.class)
class PackageDependenciesTest {
    private static final String[] PURE_PACKAGES = {"badgermux.decide..", "badgermux.contract..", "badgermux.zone..",
        "badgermux.cordon.."};

    /** Decisions and contract validation depend only on what the caller passes in: bytes, events, times and random numbers. */
    @ArchTest static final ArchRule PURE_PACKAGES_DO_NO_IO = noClasses().that().resideInAnyPackage(PURE_PACKAGES)
        .should().dependOnClassesThat().resideInAnyPackage("io.netty..", "java.nio.file..", "java.nio.channels..",
            "java.net.http..", "java.util.concurrent..", "org.tinylog..", "badgermux.core..", "badgermux.front..",
            "badgermux.backend..", "badgermux.discovery..", "badgermux.config..", "badgermux.http..",
            "badgermux.admin..", "badgermux.gate..")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("java.io.File")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("java.lang.Thread")
        .allowEmptyShould(true);

    @ArchTest static final ArchRule PURE_PACKAGES_USE_NO_CLOCK_OR_RANDOMNESS = noClasses()
        .that().resideInAnyPackage(PURE_PACKAGES)
        .should().callMethod(System.class, "currentTimeMillis").orShould().callMethod(System.class, "nanoTime")
        .orShould().callMethod(Math.class, "random").orShould().dependOnClassesThat().resideInAnyPackage("java.time..")
        .allowEmptyShould(true);

    /** Components get their settings from the classes that create them. */
    @ArchTest static final ArchRule ONLY_TOP_LEVEL_CODE_READS_THE_CONFIGURATION = classes()
        .that().resideInAPackage("badgermux.config..")
        .should().onlyBeAccessed().byAnyPackage("badgermux", "badgermux.config..", "badgermux.sim..");

    @ArchTest static final ArchRule ENGINE_IS_INDEPENDENT_OF_PROTOCOLS = noClasses().that().resideInAPackage("badgermux.core..")
        .should().dependOnClassesThat().resideInAnyPackage("badgermux.http..", "badgermux.front..", "badgermux.backend..",
            "badgermux.discovery..", "io.netty..");

    @ArchTest static final ArchRule NO_PACKAGE_CYCLES = slices().matching("badgermux.(*)..").should().beFreeOfCycles();

    @Test void rulesCoverTheProductionClasses() {
        JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("badgermux");
        org.junit.jupiter.api.Assertions.assertTrue(classes.size() > 80);
    }
}
