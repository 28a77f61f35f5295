package org.eiderstair.architecture;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.LinkedHashMap;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Checks that dependencies between packages follow the table in docs/architecture.md and have no
 * cycles.
 */
class PackageDependencyTest {
  private static final String ROOT = "org.eiderstair.";
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.eiderstair");

  /** The packages that may depend on each package, by its name without {@link #ROOT}. */
  private static final Map<String, String[]> ALLOWED_DEPENDENTS = allowedDependents();

  private static Map<String, String[]> allowedDependents() {
    Map<String, String[]> dependents = new LinkedHashMap<>();
    dependents.put(
        "core.leadership", new String[] {"core", "core.workers", "core.capacity", "config"});
    dependents.put("core.jobs", new String[] {"core"});
    dependents.put(
        "core.quota",
        new String[] {"core", "core.jobs", "core.workers", "core.placement", "core.capacity"});
    dependents.put("core.workers", new String[] {"core", "core.placement", "core.capacity"});
    dependents.put("core.placement", new String[] {"core"});
    dependents.put("core.capacity", new String[] {"core", "core.placement"});
    dependents.put("core.provisioning", new String[] {"core.capacity"});
    dependents.put("core.membership", new String[] {"core", "core.workers", "core.capacity"});
    dependents.put("core.standby", new String[] {"core", "core.workers"});
    dependents.put(
        "core.state",
        new String[] {
          "core", "core.leadership", "core.jobs", "core.workers", "core.placement", "core.capacity"
        });
    dependents.put(
        "core.record",
        new String[] {
          "core",
          "core.message",
          "core.state",
          "core.leadership",
          "core.jobs",
          "core.capacity",
          "core.provisioning",
          "core.standby",
          "protocol"
        });
    dependents.put("protocol", new String[] {"http", "peer", "cli"});
    dependents.put("peer", new String[] {"http"});
    dependents.put("http", new String[] {"node"});
    dependents.put("node", new String[] {"cli"});
    return dependents;
  }

  @Example
  void onlyAllowedPackagesDependOnEachPackage() {
    LayeredArchitecture layers =
        layeredArchitecture().consideringOnlyDependenciesInAnyPackage("org.eiderstair..");
    layers = layers.layer("core").definedBy("org.eiderstair.core");
    layers = layers.layer("cli").definedBy(ROOT + "cli..");
    layers = layers.layer("config").definedBy(ROOT + "config..");
    layers = layers.layer("core.message").definedBy(ROOT + "core.message..");
    for (String name : ALLOWED_DEPENDENTS.keySet()) {
      layers = layers.layer(name).definedBy(ROOT + name + "..");
    }
    for (Map.Entry<String, String[]> entry : ALLOWED_DEPENDENTS.entrySet()) {
      layers = layers.whereLayer(entry.getKey()).mayOnlyBeAccessedByLayers(entry.getValue());
    }
    layers.check(CLASSES);
  }

  @Example
  void packageDependenciesHaveNoCycles() {
    slices().matching("org.eiderstair.(**)").should().beFreeOfCycles().check(CLASSES);
  }

  @Example
  void coreUsesNoInputOutputClockOrThreads() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage(ROOT + "core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio..",
            "java.util.concurrent..",
            "java.time..",
            "org.eclipse..",
            "org.slf4j..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(CLASSES);
  }

  @Example
  void coreDoesNotDependOnOuterPackages() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage(ROOT + "core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            ROOT + "protocol..",
            ROOT + "http..",
            ROOT + "peer..",
            ROOT + "node..",
            ROOT + "config..",
            ROOT + "cli..")
        .check(CLASSES);
  }

  @Example
  void modelMessagesAndRecordsDependOnNoSubsystem() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAnyPackage(ROOT + "core.model", ROOT + "core.settings")
        .should()
        .dependOnClassesThat()
        .resideOutsideOfPackages("java..", ROOT + "core.model", ROOT + "core.settings")
        .check(CLASSES);
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage(ROOT + "core.message")
        .should()
        .dependOnClassesThat()
        .resideOutsideOfPackages(
            "java..", ROOT + "core.model", ROOT + "core.record", ROOT + "core.message")
        .check(CLASSES);
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage(ROOT + "core.record")
        .should()
        .dependOnClassesThat()
        .resideOutsideOfPackages("java..", ROOT + "core.model", ROOT + "core.record")
        .check(CLASSES);
  }
}
