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
 * Reconciles the machines known here with the cloud's list: finds machines that nothing here
 * explains, failed ones, and registered ones that the cloud no longer has.
 */
final class CloudMachineReconciler {
  private static final long INTERVAL_MICROS = 5_000_000;

  /**
   * The interval while machines of earlier terms are unconfirmed. One that no longer exists holds
   * back the work of earlier terms until that is known.
   */
  private static final long UNCONFIRMED_INTERVAL_MICROS = 1_500_000;

  /** An unconfirmed machine has this time to report before a list without it counts. */
  private static final long UNLISTED_PATIENCE_MICROS = 2_000_000;

  /** The state of a machine that the cloud could not start or has lost. */
  private static final String FAILED = "failed";

  private final EffectSink sink;
  private final WorkerManager workers;
  private final ProvisioningController provisioning;
  private final ScaleIn scaleIn;
  private final CloudCalls cloud;
  private final CapacityClock clock;
  private final long term;
  private final Set<String> listed = new HashSet<>();
  private boolean listing;
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

  /** Asks for the cloud's list when that is due. */
  void tick() {
    if (listing || clock.nowMicros() < nextListMicros || !cloud.isWithinRate()) {
      return;
    }
    listing = true;
    boolean allConfirmed = workers.unconfirmed().isEmpty();
    nextListMicros =
        clock.nowMicros() + (allConfirmed ? INTERVAL_MICROS : UNCONFIRMED_INTERVAL_MICROS);
    listed.clear();
    requestPage(null);
  }

  /**
   * @param after the last machine of the page before; null for the first page
   */
  private void requestPage(String after) {
    cloud.query(
        new Request.CloudList(after),
        reply -> {
          if (reply instanceof Reply.CloudMachines page) {
            pageReceived(page);
          } else {
            listing = false;
          }
        });
  }

  private void pageReceived(Reply.CloudMachines page) {
    String last = null;
    for (Reply.CloudMachine machine : page.machines()) {
      last = machine.id();
      listed.add(last);
      reconcile(machine);
    }
    if (page.more() && last != null) {
      requestPage(last);
    } else {
      listing = false;
      releaseUnlisted();
    }
  }

  /**
   * A registered machine that neither reports nor is listed most likely no longer exists; its
   * deletion costs nothing and proves it.
   */
  private void releaseUnlisted() {
    for (Machine machine : workers.machines().values()) {
      if (machine.phase() == Machine.Phase.UNCONFIRMED
          && machine.plan() != Machine.Plan.TERMINATE
          && !listed.contains(machine.id())
          && clock.nowMicros() > machine.createdMicros() + UNLISTED_PATIENCE_MICROS) {
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
      failed(entry, known);
    } else if (known == null) {
      sink.info("machine=" + entry.id() + " found in the cloud's list, term=" + term);
      Machine found = expect(entry);
      found.setCreatedMicros(clock.nowMicros() - entry.ageMicros());
    }
  }

  /** The cloud's lists are old: they may show machines that this leader or the last has deleted. */
  private boolean isDeleted(Reply.CloudMachine entry, Machine known) {
    return workers.isTerminated(entry.id())
        || (known == null && provisioning.isReleasing(entry.id()));
  }

  private void failed(Reply.CloudMachine entry, Machine known) {
    if (known == null || known.plan() != Machine.Plan.TERMINATE) {
      sink.info("machine=" + entry.id() + " failed in the cloud, term=" + term);
    }
    scaleIn.releaseFailed(known == null ? expect(entry) : known);
  }

  private Machine expect(Reply.CloudMachine entry) {
    return workers.expect(entry.id(), entry.address(), entry.type(), entry.zone(), entry.spot());
  }
}
