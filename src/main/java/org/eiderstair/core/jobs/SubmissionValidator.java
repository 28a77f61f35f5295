package org.eiderstair.core.jobs;

import java.util.Optional;
import org.eiderstair.core.message.Submission;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/** Checks whether a submission is well-formed and its job could ever run in this deployment. */
final class SubmissionValidator {
  private final Settings settings;
  private final Replica replica;
  private final TeamQuotas quotas;

  SubmissionValidator(Settings settings, Replica replica) {
    this.settings = settings;
    this.replica = replica;
    this.quotas = new TeamQuotas(settings);
  }

  /** Returns the reason why a new job is not accepted; empty if it may be accepted. */
  Optional<Refusal> refusal(Submission submission) {
    if (submission instanceof Submission.Malformed malformed) {
      return Optional.of(Refusal.malformed(malformed.fault()));
    }
    return invalidReason(((Submission.Parsed) submission).spec()).map(Refusal::invalid);
  }

  /**
   * Returns the reason why a job can never run; empty if there is none. Machine types are not
   * checked while the catalog is empty.
   */
  private Optional<String> invalidReason(JobSpec spec) {
    if (!settings.teams().containsKey(spec.team())) {
      return Optional.of("unknown team " + spec.team());
    }
    if (!quotas.limitAllowsAtAll(spec)) {
      return Optional.of("more than the team's limit");
    }
    if (spec.zone() != null && !settings.zones().contains(spec.zone())) {
      return Optional.of("unknown zone " + spec.zone());
    }
    boolean catalogKnown = !replica.catalog().isEmpty();
    if (catalogKnown && replica.catalog().stream().noneMatch(type -> canHold(type, spec))) {
      return Optional.of("no allowed machine type can hold a task");
    }
    return Optional.empty();
  }

  /** Returns whether an otherwise empty machine of this type may run one task of the job. */
  private static boolean canHold(MachineType type, JobSpec spec) {
    boolean allowed = spec.machineTypes() == null || spec.machineTypes().contains(type.name());
    boolean inZone = spec.zone() == null || type.zones().contains(spec.zone());
    return allowed && inZone && type.fits(spec);
  }
}
