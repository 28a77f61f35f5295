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

/** Which package may use which: the table of docs/architecture.md, and no cycles. */
class PackageDependencyTest {
  private static final String ROOT = "org.eiderstair.";
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.eiderstair");

  /** Each package of the core with those that may use it. */
  private static final Map<String, String[]> USERS = users();

  private static Map<String, String[]> users() {
    Map<String, String[]> users = new LinkedHashMap<>();
    users.put("core.leadership", new String[] {"core", "core.workers", "core.capacity", "config"});
    users.put("core.jobs", new String[] {"core"});
    users.put(
        "core.quota",
        new String[] {"core", "core.jobs", "core.workers", "core.placement", "core.capacity"});
    users.put("core.workers", new String[] {"core", "core.placement", "core.capacity"});
    users.put("core.placement", new String[] {"core"});
    users.put("core.capacity", new String[] {"core", "core.placement"});
    users.put("core.provisioning", new String[] {"core.capacity"});
    users.put("core.membership", new String[] {"core", "core.workers", "core.capacity"});
    users.put("core.standby", new String[] {"core", "core.workers"});
    users.put(
        "core.state",
        new String[] {
          "core", "core.leadership", "core.jobs", "core.workers", "core.placement", "core.capacity"
        });
    users.put(
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
    users.put("protocol", new String[] {"http", "peer", "cli"});
    users.put("peer", new String[] {"http"});
    users.put("http", new String[] {"node"});
    users.put("node", new String[] {"cli"});
    return users;
  }

  @Example
  void eachPackageIsUsedOnlyByThoseThatMayUseIt() {
    LayeredArchitecture layers =
        layeredArchitecture().consideringOnlyDependenciesInAnyPackage("org.eiderstair..");
    layers = layers.layer("core").definedBy("org.eiderstair.core");
    layers = layers.layer("cli").definedBy(ROOT + "cli..");
    layers = layers.layer("config").definedBy(ROOT + "config..");
    layers = layers.layer("core.message").definedBy(ROOT + "core.message..");
    for (String name : USERS.keySet()) {
      layers = layers.layer(name).definedBy(ROOT + name + "..");
    }
    for (Map.Entry<String, String[]> entry : USERS.entrySet()) {
      layers = layers.whereLayer(entry.getKey()).mayOnlyBeAccessedByLayers(entry.getValue());
    }
    layers.check(CLASSES);
  }

  @Example
  void packagesHaveNoCycles() {
    slices().matching("org.eiderstair.(**)").should().beFreeOfCycles().check(CLASSES);
  }

  @Example
  void theCoreDoesNoInputOrOutputAndHasNoClockOrThread() {
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
  void whatTheCoreIsMadeOfDoesNotUseTheShellsRoundIt() {
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
  void theModelAndTheMessagesUseNoSubsystem() {
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
