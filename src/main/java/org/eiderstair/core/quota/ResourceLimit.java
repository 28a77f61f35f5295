package org.eiderstair.core.quota;

import org.eiderstair.core.settings.Settings;

/** The most that a team may use of each resource; 0 means unlimited. */
record ResourceLimit(double cpus, double accelerators) {
  /** Tolerates the rounding errors of sums. */
  private static final double TOLERANCE = 1e-6;

  static ResourceLimit of(Settings.Team team) {
    return new ResourceLimit(team.maxCpus(), team.maxAccelerators());
  }

  boolean allows(double usedCpus, double usedAccelerators) {
    return isWithin(usedCpus, cpus) && isWithin(usedAccelerators, accelerators);
  }

  /** Whether so many processors stay within the limit less what is reserved. */
  boolean allowsBesideReserved(double usedCpus, double reservedCpus) {
    return usedCpus <= cpus - reservedCpus + TOLERANCE;
  }

  boolean limitsCpus() {
    return cpus > 0;
  }

  private static boolean isWithin(double used, double limit) {
    return limit <= 0 || used <= limit + TOLERANCE;
  }
}
