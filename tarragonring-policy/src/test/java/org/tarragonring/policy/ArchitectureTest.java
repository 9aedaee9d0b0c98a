package org.tarragonring.policy;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class ArchitectureTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.tarragonring.policy");

    @Test
    void policyDoesNotDependOnNetworkClasses() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.vertx..", "io.netty..", "org.apache.thrift..", "java.net..")
                .check(CLASSES);
    }

    @Test
    void policyDoesNotReadSystemClocks() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }
}
