package org.eiderstair.core.provisioning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The open releases of this term and of earlier ones, from the decision to the last trace. */
final class MachineReleases {
  /** The cloud accepts at most this many machines in one request. */
  private static final int MAX_MACHINES_PER_REQUEST = 100;

  private static final int MAX_CONCURRENT_REQUESTS = 2;
  private static final long RETRY_DELAY_MICROS = 1_500_000;

  private final ProvisioningTerm term;
  private final ProvisioningHost host;
  private final ProvisioningRecords records;
  private final long tombstoneMicros;
  private final Consumer<String> onTerminated;
  private final Runnable onProgress;
  private final Map<String, MachineRelease> open = new LinkedHashMap<>();
  private final Map<String, MachineRelease> byMachine = new HashMap<>();

  /** Decided while a record was being written; they go together into the next. */
  private final Set<String> undecided = new LinkedHashSet<>();

  private boolean writing;
  private int concurrentRequests;

  /**
   * @param tombstoneMicros how long a release is kept after its machines are terminated
   * @param onTerminated is given each machine whose deletion the cloud confirms
   * @param onProgress runs when a release may have left the work of earlier terms finished
   */
  MachineReleases(
      ProvisioningTerm term,
      ProvisioningRecords records,
      long tombstoneMicros,
      Consumer<String> onTerminated,
      Runnable onProgress) {
    this.term = term;
    this.host = term.host();
    this.records = records;
    this.tombstoneMicros = tombstoneMicros;
    this.onTerminated = onTerminated;
    this.onProgress = onProgress;
  }

  int openCount() {
    return open.size();
  }

  /** Whether the machines of every release of an earlier term are terminated. */
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
      // All of it was cancelled, and its leader ended before it could remove the record.
      records.remove(release);
    } else {
      add(release);
    }
  }

  private void add(MachineRelease release) {
    open.put(release.name(), release);
    release.machines().forEach(machine -> byMachine.put(machine, release));
  }

  /** Whether a machine is being released, or is about to be: nothing may be placed on it. */
  boolean isReleasing(String machine) {
    return byMachine.containsKey(machine) || undecided.contains(machine);
  }

  /** Releases the machine; the cloud is asked once the record that names it is durable. */
  void decide(String machine) {
    if (!isReleasing(machine)) {
      undecided.add(machine);
    }
  }

  /**
   * Keeps a machine after all, if no request that could delete it may be on its way. It may be used
   * again once {@link ProvisioningHost#releaseCancelled} is called for it.
   *
   * @return whether the release could be cancelled
   */
  boolean cancel(String machine) {
    if (undecided.remove(machine)) {
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
   * Writes down what was decided. One record is written at a time, unless a request to the cloud
   * could be filled: under load the machines of many decisions then share a record.
   */
  void writeDecided() {
    if (writing && undecided.size() < MAX_MACHINES_PER_REQUEST) {
      return;
    }
    while (!undecided.isEmpty()) {
      List<String> machines = undecided.stream().limit(MAX_MACHINES_PER_REQUEST).toList();
      undecided.removeAll(machines);
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
      transition(release, MachineRelease.State.DURABLE, "durable");
    }
  }

  /** Asks the cloud for each release that is due, and settles those that have left no trace. */
  void advance() {
    List<MachineRelease> settled = new ArrayList<>();
    for (MachineRelease release : open.values()) {
      if (release.isDue(term.nowMicros())
          && concurrentRequests < MAX_CONCURRENT_REQUESTS
          && host.mayCallCloud()) {
        request(release);
      } else if (release.isTombstoneOver(term.nowMicros(), tombstoneMicros)
          && release.machines().stream().noneMatch(host::isRegistered)) {
        settled.add(release);
      }
    }
    for (MachineRelease release : settled) {
      transition(release, MachineRelease.State.SETTLED, "neither listed nor registered any more");
    }
  }

  private void request(MachineRelease release) {
    boolean first = release.beginRequest();
    transition(release, MachineRelease.State.REQUESTED, "requesting");
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
      release.terminatedAt(term.nowMicros());
      transition(release, MachineRelease.State.TERMINATED, "confirmed");
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
