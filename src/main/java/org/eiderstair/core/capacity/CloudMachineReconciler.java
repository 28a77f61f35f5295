package org.eiderstair.core.capacity;

import java.util.HashSet;
import java.util.Set;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Reconciles the machines known to this leader with the cloud's list. Adds machines that this
 * leader does not know, and releases failed machines and registered machines that the cloud no
 * longer lists.
 */
final class CloudMachineReconciler {
  private static final long INTERVAL_MICROS = 5_000_000;

  /**
   * List interval while machines of earlier terms are unconfirmed. An unconfirmed machine that no
   * longer exists blocks the tasks of earlier terms until its absence is known.
   */
  private static final long UNCONFIRMED_INTERVAL_MICROS = 1_500_000;

  /** Time for an unconfirmed machine to report before it is released as missing from the list. */
  private static final long UNLISTED_GRACE_MICROS = 2_000_000;

  /** The state that the cloud reports for a machine that it could not start or has lost. */
  private static final String FAILED = "failed";

  private final EffectSink sink;
  private final WorkerManager workers;
  private final ProvisioningController provisioning;
  private final ScaleIn scaleIn;
  private final CloudCalls cloud;
  private final CapacityClock clock;
  private final long term;
  private final Set<String> listedMachines = new HashSet<>();
  private boolean listInProgress;
  private long nextListMicros;

  CloudMachineReconciler(
      EffectSink sink,
      WorkerManager workers,
      ProvisioningController provisioning,
      ScaleIn scaleIn,
      CloudCalls cloud,
      CapacityClock clock,
      long term) {
    this.sink = sink;
    this.workers = workers;
    this.provisioning = provisioning;
    this.scaleIn = scaleIn;
    this.cloud = cloud;
    this.clock = clock;
    this.term = term;
  }

  /** Requests the cloud's list of machines when a list is due and the rate limit allows it. */
  void tick() {
    if (listInProgress || clock.nowMicros() < nextListMicros || !cloud.isWithinRate()) {
      return;
    }
    listInProgress = true;
    boolean allConfirmed = workers.unconfirmed().isEmpty();
    nextListMicros =
        clock.nowMicros() + (allConfirmed ? INTERVAL_MICROS : UNCONFIRMED_INTERVAL_MICROS);
    listedMachines.clear();
    requestPage(null);
  }

  /**
   * Requests one page of the cloud's list.
   *
   * @param after the id of the last machine on the previous page; null for the first page
   */
  private void requestPage(String after) {
    cloud.query(
        new Request.CloudList(after),
        reply -> {
          if (reply instanceof Reply.CloudMachines page) {
            pageReceived(page);
          } else {
            listInProgress = false;
          }
        });
  }

  private void pageReceived(Reply.CloudMachines page) {
    String last = null;
    for (Reply.CloudMachine machine : page.machines()) {
      last = machine.id();
      listedMachines.add(last);
      reconcile(machine);
    }
    if (page.more() && last != null) {
      requestPage(last);
    } else {
      listInProgress = false;
      releaseUnlisted();
    }
  }

  /**
   * Releases unconfirmed machines that are missing from the cloud's list. Such a machine most
   * likely no longer exists. Its deletion costs nothing and proves its absence.
   */
  private void releaseUnlisted() {
    for (Machine machine : workers.machines().values()) {
      if (machine.phase() == Machine.Phase.UNCONFIRMED
          && machine.plan() != Machine.Plan.TERMINATE
          && !listedMachines.contains(machine.id())
          && clock.nowMicros() > machine.createdMicros() + UNLISTED_GRACE_MICROS) {
        scaleIn.release(machine, "no heartbeat and not in the cloud's list");
      }
    }
  }

  private void reconcile(Reply.CloudMachine entry) {
    Machine known = workers.machines().get(entry.id());
    if (isDeleted(entry, known)) {
      return;
    }
    if (entry.state().equals(FAILED)) {
      releaseFailed(entry, known);
    } else if (known == null) {
      sink.info("machine=" + entry.id() + " found in the cloud's list, term=" + term);
      Machine found = expect(entry);
      found.setCreatedMicros(clock.nowMicros() - entry.ageMicros());
    }
  }

  /**
   * Returns whether the machine was deleted, or is unknown and being released. The cloud's list is
   * stale and may contain machines that this or an earlier leader deleted.
   */
  private boolean isDeleted(Reply.CloudMachine entry, Machine known) {
    return workers.isTerminated(entry.id())
        || (known == null && provisioning.isReleasing(entry.id()));
  }

  private void releaseFailed(Reply.CloudMachine entry, Machine known) {
    if (known == null || known.plan() != Machine.Plan.TERMINATE) {
      sink.info("machine=" + entry.id() + " failed in the cloud, term=" + term);
    }
    scaleIn.releaseFailed(known == null ? expect(entry) : known);
  }

  private Machine expect(Reply.CloudMachine entry) {
    return workers.addBooting(
        entry.id(), entry.address(), entry.type(), entry.zone(), entry.spot());
  }
}
