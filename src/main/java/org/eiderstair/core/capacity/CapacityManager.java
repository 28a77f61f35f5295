package org.eiderstair.core.capacity;

import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Scales the number of machines to the demand and releases machines that can no longer be used. One
 * instance serves one leader term.
 *
 * <p>{@link CapacityPlanner} compares demand and machines, and {@link RentalOptionSelector} chooses
 * the machines to rent. {@link IdleMachinePolicy} and {@link MachineRetirement} choose the machines
 * to release. {@link CloudMachineReconciler} compares the known machines with the cloud's list.
 * {@link ProvisioningController} executes rentals and releases.
 */
public final class CapacityManager {
  private static final int MAX_PENDING_RENTALS = 4;

  /**
   * Delay from a rental to the next capacity decision. One request may not cover the demand, and
   * the next request may choose another zone.
   */
  private static final long NEXT_RENTAL_DELAY_MICROS = 100_000;

  /**
   * Time for which a release record is kept after its machines are terminated. The cloud's lists
   * are stale by up to twice the configured time. A new leader knows only from these records which
   * machines an earlier leader deleted.
   */
  private static final long TOMBSTONE_RETENTION_MICROS = 30_000_000;

  private final Settings settings;
  private final Replica replica;
  private final WorkerManager workers;
  private final Leadership leadership;
  private final Membership membership;
  private final CapacityClock clock = new CapacityClock();
  private final CloudCalls cloud;
  private final CatalogRefresh catalog;
  private final PendingMachines pendingMachines;
  private final CapacityPlanner planner;
  private final ProvisioningController provisioning;
  private final ScaleIn scaleIn;
  private final MachineRetirement retirement;
  private final IdleMachinePolicy idleMachines;
  private final CloudMachineReconciler reconciler;

  /**
   * @param demand estimates how many tasks should run concurrently
   * @param term the leader term that this instance serves
   */
  public CapacityManager(
      Settings settings,
      EffectSink sink,
      Replica replica,
      WorkerManager workers,
      Leadership leadership,
      StateWriter stateWriter,
      Demand demand,
      Membership membership,
      long term) {
    this.settings = settings;
    this.replica = replica;
    this.workers = workers;
    this.leadership = leadership;
    this.membership = membership;
    cloud = new CloudCalls(sink, leadership, clock, settings.cloudRequestsPerSecond());
    catalog = new CatalogRefresh(sink, replica, workers, cloud, clock, term);
    pendingMachines = new PendingMachines(replica, clock, term);
    RentalOptionSelector selector = new RentalOptionSelector(replica, membership, clock);
    planner = new CapacityPlanner(workers, demand, pendingMachines, selector, clock);
    provisioning =
        new ProvisioningController(
            new LeaderProvisioningHost(
                sink, replica, workers, stateWriter, cloud, pendingMachines, selector, clock),
            term,
            TOMBSTONE_RETENTION_MICROS,
            replica.wallClockMicros(0));
    scaleIn = new ScaleIn(sink, workers, provisioning, term);
    retirement =
        new MachineRetirement(settings, sink, replica, workers, membership, scaleIn, clock, term);
    idleMachines = new IdleMachinePolicy(settings, workers, scaleIn, clock);
    reconciler =
        new CloudMachineReconciler(sink, workers, provisioning, scaleIn, cloud, clock, term);
  }

  /** Ends the term: no further decisions are made, and late replies from the cloud are dropped. */
  public void close() {
    provisioning.close();
    cloud.close();
  }

  /**
   * Takes over the open rentals and releases of earlier terms. Their rentals count as pending, and
   * no task is placed on a machine that they release.
   */
  public void takeOver(long nowMicros) {
    clock.advanceTo(nowMicros);
    workers.setReleasingPredicate(provisioning::isReleasing);
    provisioning.resume(replica.coordinationRecords(), nowMicros);
    for (Machine machine : workers.machines().values()) {
      if (provisioning.isReleasing(machine.id())) {
        scaleIn.stopUsing(machine);
      }
    }
  }

  /**
   * Records that the machine's registration is durable. A later leader then finds the machine
   * without its rental record.
   */
  public void machineRegistered(String machine) {
    provisioning.machineRegistered(machine);
  }

  /** Returns whether peers should be asked about a machine whose heartbeats are missing. */
  public boolean hasMissingMachines() {
    return retirement.hasMissingMachines();
  }

  /** Returns the number of open rentals and releases, for the log. */
  public String summary() {
    return provisioning.summary();
  }

  /** Returns the number of rentals that are represented by placeholder machines. */
  int pendingRentalCount() {
    return pendingMachines.rentalCount();
  }

  /** Performs the actions that are due. Does nothing while this leader may not launch tasks. */
  public void tick(long nowMicros) {
    clock.advanceTo(nowMicros);
    if (!leadership.mayLaunch(nowMicros)) {
      return;
    }
    catalog.tick();
    if (clock.isDecisionDue()) {
      clock.decisionTaken();
      retirement.retire();
      if (!replica.catalog().isEmpty() && membership.hasConsultedPeers(nowMicros)) {
        applyPlan();
      }
    }
    provisioning.tick(nowMicros);
    reconciler.tick();
  }

  private void applyPlan() {
    CapacityPlan plan = planner.plan(provisioning.pendingRentals());
    plan.machinesToRent().forEach(this::scaleOut);
    idleMachines.apply(plan);
  }

  private void scaleOut(RentalOption option, int missing) {
    int count = Math.min(settings.tuning().rentBatch(), missing);
    if (count >= 1
        && provisioning.pendingRentals().size() < MAX_PENDING_RENTALS
        && cloud.isWithinRate()) {
      provisioning.scaleOut(option, count);
      clock.decideWithin(NEXT_RENTAL_DELAY_MICROS);
    }
  }
}
