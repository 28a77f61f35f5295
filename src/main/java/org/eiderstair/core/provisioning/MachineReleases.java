package org.eiderstair.core.provisioning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The open releases of this term and earlier terms. A release is open from its decision until its
 * record is no longer needed.
 */
final class MachineReleases {
  /** The cloud accepts at most this many machines in one request. */
  private static final int MAX_MACHINES_PER_REQUEST = 100;

  private static final int MAX_CONCURRENT_REQUESTS = 2;
  private static final long RETRY_DELAY_MICROS = 1_500_000;

  private final ProvisioningTerm term;
  private final ProvisioningHost host;
  private final ProvisioningRecords records;
  private final long tombstoneRetentionMicros;
  private final Consumer<String> onTerminated;
  private final Runnable onProgress;
  private final Map<String, MachineRelease> open = new LinkedHashMap<>();
  private final Map<String, MachineRelease> byMachine = new HashMap<>();

  /** Machines to release that no record names yet. They are written together in the next record. */
  private final Set<String> unrecorded = new LinkedHashSet<>();

  private boolean writing;
  private int concurrentRequests;

  /**
   * @param tombstoneRetentionMicros how long a release is kept after its machines are terminated
   * @param onTerminated receives each machine whose deletion the cloud confirms
   * @param onProgress runs after each state change, which may complete the recovery of earlier
   *     terms
   */
  MachineReleases(
      ProvisioningTerm term,
      ProvisioningRecords records,
      long tombstoneRetentionMicros,
      Consumer<String> onTerminated,
      Runnable onProgress) {
    this.term = term;
    this.host = term.host();
    this.records = records;
    this.tombstoneRetentionMicros = tombstoneRetentionMicros;
    this.onTerminated = onTerminated;
    this.onProgress = onProgress;
  }

  int openCount() {
    return open.size();
  }

  /** Returns whether the machines of every release of an earlier term are terminated. */
  boolean earlierTermsRecovered() {
    for (MachineRelease release : open.values()) {
      if (release.term() != term.number() && release.state() != MachineRelease.State.TERMINATED) {
        return false;
      }
    }
    return true;
  }

  /** Takes over a release of an earlier term. */
  void resume(MachineRelease release) {
    if (release.machines().isEmpty()) {
      // Every machine was kept, and the earlier leader stopped before it removed the record.
      records.remove(release);
    } else {
      add(release);
    }
  }

  private void add(MachineRelease release) {
    open.put(release.name(), release);
    release.machines().forEach(machine -> byMachine.put(machine, release));
  }

  /**
   * Returns whether the release of a machine is decided or in progress. No task may be placed on
   * such a machine.
   */
  boolean isReleasing(String machine) {
    return byMachine.containsKey(machine) || unrecorded.contains(machine);
  }

  /** Starts a release; the deletion is requested once the record that names it is durable. */
  void decide(String machine) {
    if (!isReleasing(machine)) {
      unrecorded.add(machine);
    }
  }

  /**
   * Cancels the release of a machine if no deletion request for it can be in flight. The machine
   * may be used again after {@link ProvisioningHost#releaseCancelled} is called.
   *
   * @return whether the release could be cancelled
   */
  boolean cancel(String machine) {
    if (unrecorded.remove(machine)) {
      host.releaseCancelled(machine);
      return true;
    }
    MachineRelease release = byMachine.get(machine);
    if (release == null || !release.mayCancel() || release.term() != term.number()) {
      return false;
    }
    release.beginCancel(machine);
    records.write(release, () -> cancelled(release, machine));
    return true;
  }

  private void cancelled(MachineRelease release, String machine) {
    release.endCancel();
    if (term.isClosed()) {
      return;
    }
    byMachine.remove(machine, release);
    host.info("release cancelled machine=" + machine + ", term=" + term.number());
    host.releaseCancelled(machine);
    if (release.machines().isEmpty() && open.containsKey(release.name())) {
      transition(release, MachineRelease.State.SETTLED, "all machines kept");
    }
  }

  /**
   * Writes records for the decided releases. While a record is being written, no other is started
   * unless it fills a deletion request. Under load, many decisions therefore share one record.
   */
  void writeDecided() {
    if (writing && unrecorded.size() < MAX_MACHINES_PER_REQUEST) {
      return;
    }
    while (!unrecorded.isEmpty()) {
      List<String> machines = unrecorded.stream().limit(MAX_MACHINES_PER_REQUEST).toList();
      unrecorded.removeAll(machines);
      MachineRelease release =
          new MachineRelease(
              term.nextName(), term.number(), machines, MachineRelease.State.DECIDED);
      add(release);
      writing = true;
      records.write(release, () -> written(release));
    }
  }

  private void written(MachineRelease release) {
    writing = false;
    if (release.state() == MachineRelease.State.DECIDED) {
      transition(release, MachineRelease.State.DURABLE, "record durable");
    }
  }

  /** Requests the deletions that are due, and settles releases whose records are obsolete. */
  void advance() {
    List<MachineRelease> settled = new ArrayList<>();
    for (MachineRelease release : open.values()) {
      if (release.isDue(term.nowMicros())
          && concurrentRequests < MAX_CONCURRENT_REQUESTS
          && host.mayCallCloud()) {
        request(release);
      } else if (release.isTombstoneExpired(term.nowMicros(), tombstoneRetentionMicros)
          && release.machines().stream().noneMatch(host::isRegistered)) {
        settled.add(release);
      }
    }
    for (MachineRelease release : settled) {
      transition(
          release, MachineRelease.State.SETTLED, "tombstone expired and no machine registered");
    }
  }

  private void request(MachineRelease release) {
    boolean first = release.beginRequest();
    transition(release, MachineRelease.State.REQUESTED, "sending deletion request");
    concurrentRequests++;
    host.deleteMachines(
        List.copyOf(release.machines()),
        result -> {
          concurrentRequests--;
          if (!term.isClosed()) {
            answered(release, first, result);
          }
        });
  }

  private void answered(MachineRelease release, boolean first, DeletionResult result) {
    if (result == DeletionResult.CONFIRMED) {
      release.recordTermination(term.nowMicros());
      transition(release, MachineRelease.State.TERMINATED, "deletion confirmed");
      List.copyOf(release.machines()).forEach(onTerminated);
      return;
    }
    release.retryAt(term.nowMicros() + RETRY_DELAY_MICROS);
    if (first && result == DeletionResult.REFUSED) {
      release.undoFirstRequest();
    }
    transition(release, MachineRelease.State.DURABLE, result.toString());
  }

  private void transition(MachineRelease release, MachineRelease.State next, String reason) {
    if (term.isClosed()) {
      return;
    }
    host.info(
        "release request="
            + release.name()
            + " "
            + release.state()
            + " -> "
            + next
            + ", machines="
            + release.machines().size()
            + " term="
            + term.number()
            + ": "
            + reason);
    release.transition(next);
    if (next == MachineRelease.State.SETTLED) {
      open.remove(release.name());
      release.machines().forEach(machine -> byMachine.remove(machine, release));
      records.remove(release);
    }
    onProgress.run();
  }
}
