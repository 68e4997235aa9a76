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

/** Which way packages may lean, kept by the build. */
@AnalyzeClasses(packages = "badgermux", importOptions = ImportOption.DoNotIncludeTests.class)
class PackagesTest {
    private static final String[] PURE = {"badgermux.decide..", "badgermux.contract..", "badgermux.zone..", "badgermux.cordon.."};

    /** Decisions and judgements: bytes, events, times and random numbers come in, and nothing else. */
    @ArchTest static final ArchRule PURE_PACKAGES_DO_NO_IO = noClasses().that().resideInAnyPackage(PURE)
        .should().dependOnClassesThat().resideInAnyPackage("io.netty..", "java.nio.file..", "java.nio.channels..", "java.net.http..",
            "java.util.concurrent..", "org.tinylog..", "badgermux.core..", "badgermux.front..", "badgermux.backend..",
            "badgermux.discovery..", "badgermux.config..", "badgermux.http..", "badgermux.admin..", "badgermux.gate..")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("java.io.File")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("java.lang.Thread")
        .allowEmptyShould(true);

    @ArchTest static final ArchRule PURE_PACKAGES_HAVE_NO_CLOCK_AND_NO_DICE = noClasses().that().resideInAnyPackage(PURE)
        .should().callMethod(System.class, "currentTimeMillis").orShould().callMethod(System.class, "nanoTime")
        .orShould().callMethod(Math.class, "random").orShould().dependOnClassesThat().resideInAnyPackage("java.time..")
        .allowEmptyShould(true);

    /** Only what joins the parts reads settings. */
    @ArchTest static final ArchRule ONLY_JOINING_CODE_KNOWS_THE_CONFIGURATION = classes().that().resideInAPackage("badgermux.config..")
        .should().onlyBeAccessed().byAnyPackage("badgermux", "badgermux.config..", "badgermux.sim..");

    @ArchTest static final ArchRule THE_ENGINE_KNOWS_NO_PROTOCOL = noClasses().that().resideInAPackage("badgermux.core..")
        .should().dependOnClassesThat().resideInAnyPackage("badgermux.http..", "badgermux.front..", "badgermux.backend..",
            "badgermux.discovery..", "io.netty..");

    @ArchTest static final ArchRule NO_CIRCLES = slices().matching("badgermux.(*)..").should().beFreeOfCycles();

    @Test void theRulesSeeThePrograms() {
        JavaClasses all = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("badgermux");
        org.junit.jupiter.api.Assertions.assertTrue(all.size() > 80);
    }
}
