package org.eiderstair.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpec.Priority;
import org.eiderstair.core.model.JobSpecBuilder;
import org.eiderstair.core.settings.SettingsBuilder;

/**
 * Tests limits, guarantees and reservations of teams. Team red has a guarantee of 4 processors and
 * a limit of 8; team blue has no limit.
 */
class TeamQuotasTest {
  private final TeamQuotas quotas =
      new TeamQuotas(SettingsBuilder.settings().team("red", 4, 8).team("blue", 4, 0).build());

  private static JobSpec spec(String team, Priority priority, double cpus) {
    return JobSpecBuilder.job("job-1").team(team).priority(priority).cpus(cpus).build();
  }

  @Example
  void limitCountsUsedAndUnconfirmedProcessors() {
    JobSpec task = spec("red", Priority.NORMAL, 2);
    quotas.acquire(task);
    quotas.acquire(task);
    quotas.addUnconfirmed(task, 10);
    assertFalse(quotas.limitAllowsOneMore(task));
    quotas.capUnconfirmed(2, 0);
    assertTrue(quotas.limitAllowsOneMore(task), "4 in use, 2 unconfirmed, 2 more");
    quotas.acquire(task);
    assertFalse(quotas.limitAllowsOneMore(task));
    quotas.clearUnconfirmed();
    assertTrue(quotas.limitAllowsOneMore(task));
    quotas.acquire(task);
    assertFalse(quotas.limitAllowsOneMore(task));
    quotas.release(task);
    assertTrue(quotas.limitAllowsOneMore(task));
    assertEquals(6, quotas.cpusInUse("red"));
  }

  @Example
  void teamWithoutLimitIsUnrestrictedAndUnknownTeamMayUseNothing() {
    assertTrue(quotas.limitAllowsOneMore(spec("blue", Priority.LOW, 1000)));
    assertFalse(quotas.limitAllowsOneMore(spec("green", Priority.HIGH, 1)));
    assertFalse(quotas.limitAllowsAtAll(spec("green", Priority.HIGH, 1)));
  }

  @Example
  void limitMustHoldAllTasksOfAServiceButOnlyOneOfAnArray() {
    JobSpecBuilder job = JobSpecBuilder.job("job-1").team("red").tasks(9);
    assertTrue(quotas.limitAllowsAtAll(job.build()));
    assertFalse(quotas.limitAllowsAtAll(job.shape(JobSpec.Shape.SERVICE).build()));
    assertTrue(quotas.limitAllowsAtAll(job.tasks(8).build()));
  }

  @Example
  void cpusAboveGuaranteeAreNegativeBelowTheGuarantee() {
    assertEquals(-4, quotas.cpusAboveGuarantee("red"));
    quotas.acquire(spec("red", Priority.NORMAL, 6));
    assertEquals(2, quotas.cpusAboveGuarantee("red"));
  }

  @Example
  void unusedReservationsOfMoreUrgentPrioritiesAreKept() {
    JobSpec normal = spec("red", Priority.NORMAL, 6);
    quotas.addReservation("red", Priority.HIGH, 3);
    assertFalse(quotas.reservationsAllowOneMore(normal), "3 of 8 are reserved");
    assertTrue(quotas.reservationsAllowOneMore(spec("red", Priority.NORMAL, 5)));
    assertTrue(quotas.reservationsAllowOneMore(spec("red", Priority.HIGH, 6)));
    quotas.acquire(spec("red", Priority.HIGH, 1));
    assertFalse(quotas.reservationsAllowOneMore(normal), "1 in use, 2 still reserved");
    quotas.clearReservations();
    assertTrue(quotas.reservationsAllowOneMore(normal));
  }

  @Example
  void atMostHalfOfTheLimitIsReserved() {
    quotas.addReservation("red", Priority.PRODUCTION, 100);
    assertTrue(quotas.reservationsAllowOneMore(spec("red", Priority.LOW, 4)));
    assertFalse(quotas.reservationsAllowOneMore(spec("red", Priority.LOW, 4.1)));
  }
}
