package org.tarragonring;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

class ArchitectureTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.tarragonring");

    @Test
    void packagesAreFreeOfCycles() {
        slices().matching("org.tarragonring.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void decisionPackagesDoNotDependOnNetworkLibraries() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "..placement..",
                        "..home..",
                        "..admission..",
                        "..dispatch..",
                        "..membership..",
                        "..claim..",
                        "..lease..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.vertx..", "org.apache.thrift..")
                .check(CLASSES);
    }

    @Test
    void onlyPeerPackageDependsOnWireFormat() {
        noClasses()
                .that()
                .resideOutsideOfPackage("..peer..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.tarragonring.peer.wire..")
                .check(CLASSES);
    }

    @Test
    void onlyEntryPackageDependsOnCallerPackage() {
        noClasses()
                .that()
                .resideOutsideOfPackages("..caller..", "..entry..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.tarragonring.caller..")
                .check(CLASSES);
    }

    @Test
    void onlyTimeAndEntryPackagesReadTheSystemClock() {
        noClasses()
                .that()
                .resideOutsideOfPackages("org.tarragonring.time..", "org.tarragonring.entry..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }
}
