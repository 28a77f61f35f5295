package org.eiderstair.core.quota;

import org.eiderstair.core.settings.Settings;

/** The maximum that a team may use of each resource; 0 means unlimited. */
record ResourceLimit(double cpus, double accelerators) {
  /** Allows for rounding errors in sums of fractional processors or accelerators. */
  private static final double TOLERANCE = 1e-6;

  /** Returns the configured limit of a team. */
  static ResourceLimit of(Settings.Team team) {
    return new ResourceLimit(team.maxCpus(), team.maxAccelerators());
  }

  /** Returns whether the given usage is within the limit. */
  boolean allows(double usedCpus, double usedAccelerators) {
    return isWithin(usedCpus, cpus) && isWithin(usedAccelerators, accelerators);
  }

  /**
   * Returns whether the used processors are within the limit minus the reserved processors. The
   * processors must be limited, see {@link #limitsCpus()}.
   */
  boolean allowsWithReserved(double usedCpus, double reservedCpus) {
    return usedCpus <= cpus - reservedCpus + TOLERANCE;
  }

  boolean limitsCpus() {
    return cpus > 0;
  }

  private static boolean isWithin(double used, double limit) {
    return limit <= 0 || used <= limit + TOLERANCE;
  }
}
