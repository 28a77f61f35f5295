package org.eiderstair.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.JobSpec;

/**
 * Looks for jobs that wait beside room or that nobody tells of once all faults are over, and for
 * large ones that do not begin at all.
 */
final class WaitingJobsCheck {
  private static final long SECOND = 1_000_000;
  private static final long LONGEST = 90 * SECOND;
  private static final long MAX_SILENCE = 75 * SECOND;
  private static final long LARGE_BEGIN = 240 * SECOND;

  private final SimulatedCluster day;

  /** Since when a job has waited while something of its size would have found room. */
  private final Map<String, Long> since = new HashMap<>();

  private final Set<String> begun = new HashSet<>();

  /** When a question about a job was last answered. */
  private final Map<String, Long> answered = new HashMap<>();

  private long calmSinceMicros;

  WaitingJobsCheck(SimulatedCluster day) {
    this.day = day;
  }

  /** A user was told where the job stands. */
  void answered(String job) {
    answered.put(job, day.clock.now());
  }

  void started(String job) {
    since.remove(job);
    begun.add(job);
  }

  /** The largest jobs have to begin within four minutes, also while troubles last. */
  void watchLargest() {
    day.clock.after(SECOND, this::watchLargest);
    for (String id : day.accepted()) {
      if (day.spec(id).tasks() > day.size.tasks() * 3 / 4
          && !day.cancelAsked(id)
          && day.clock.now() > day.submittedAt(id) + LARGE_BEGIN
          && begun.add(id)) {
        day.breaks("largest: " + id + " does not begin");
      }
    }
  }

  /** From now on nothing fails. */
  void calm() {
    calmSinceMicros = day.clock.now();
    watch();
  }

  private void watch() {
    day.clock.after(SECOND, this::watch);
    for (String id : day.accepted()) {
      long askedInVainSince = Math.max(calmSinceMicros, answered.getOrDefault(id, 0L));
      if (day.clock.now() > askedInVainSince + MAX_SILENCE) {
        day.breaks("unanswered: " + id);
        answered(id);
      }
      JobSpec spec = day.spec(id);
      boolean waits =
          !day.over(id)
              && !day.completed(id)
              && !day.cancelAsked(id)
              && !day.mistaken(id)
              && day.machinesOf(id).isEmpty()
              && hasFreeResources(spec)
              && day.teamUse(spec.team()) + spec.cpus() <= day.size.limit() + 1e-6;
      if (!waits) {
        since.remove(id);
      } else if (day.clock.now() > since.computeIfAbsent(id, i -> day.clock.now()) + LONGEST) {
        day.breaks("waits: " + id + " beside room");
        since.remove(id);
      }
    }
  }

  private boolean hasFreeResources(JobSpec spec) {
    return day.workers().stream()
        .anyMatch(w -> spec.allows(w.type, w.zone, w.spot) && w.hasFreeResources(spec.cpus()));
  }
}
