package org.eiderstair.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the kinds and ids of keys, and that keys are those stored since version 0.1.0. */
class StateKeysTest {
  private static void assertKey(StateKeys.Kind kind, String id, String key) {
    assertEquals(kind, StateKeys.kindOf(key));
    assertEquals(id, kind.idOf(key));
    assertTrue(key.startsWith(StateKeys.ROOT), "the watch does not cover key " + key);
  }

  @Property(tries = 300, seed = "17")
  void aKeyHasTheKindAndIdItWasBuiltFrom(@ForAll String id) {
    assertKey(StateKeys.Kind.JOB, id, StateKeys.job(id));
    assertKey(StateKeys.Kind.PROGRESS, id, StateKeys.progress(id));
    assertKey(StateKeys.Kind.WORKER, id, StateKeys.worker(id));
    assertKey(StateKeys.Kind.RENTAL, id, StateKeys.rental(id));
    assertKey(StateKeys.Kind.RELEASE, id, StateKeys.release(id));
  }

  @Example
  void keysWithoutAnIdHaveTheirKind() {
    assertEquals(StateKeys.Kind.LEADER, StateKeys.kindOf(StateKeys.LEADER));
    assertEquals(StateKeys.Kind.CATALOG, StateKeys.kindOf(StateKeys.CATALOG));
    assertEquals(StateKeys.Kind.BARRIER, StateKeys.kindOf(StateKeys.BARRIER));
    assertEquals(StateKeys.Kind.STANDBY, StateKeys.kindOf(StateKeys.STANDBY));
    assertEquals(StateKeys.Kind.OTHER_COORDINATION, StateKeys.kindOf("e/duty/later"));
    assertEquals(StateKeys.Kind.UNKNOWN, StateKeys.kindOf("e/leader/2"));
  }

  @Example
  void keysMatchThoseStoredByEarlierVersions() {
    assertEquals(
        List.of(
            "e/leader",
            "e/catalog",
            "e/job/j",
            "e/prog/j",
            "e/roster/m",
            "e/duty/barrier",
            "e/duty/standby",
            "e/duty/rent/r",
            "e/duty/leave/n"),
        List.of(
            StateKeys.LEADER,
            StateKeys.CATALOG,
            StateKeys.job("j"),
            StateKeys.progress("j"),
            StateKeys.worker("m"),
            StateKeys.BARRIER,
            StateKeys.STANDBY,
            StateKeys.rental("r"),
            StateKeys.release("n")));
  }
}
