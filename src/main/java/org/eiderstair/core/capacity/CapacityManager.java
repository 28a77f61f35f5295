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
 * Keeps as many machines as the demand asks for: scales out and in, and releases machines that can
 * no longer be used. One instance serves one term of the leader.
 *
 * <p>{@link CapacityPlanner} compares demand and machines, {@link RentalOptionSelector} chooses
 * what to rent, {@link IdleMachinePolicy} and {@link MachineRetirement} choose what to release,
 * {@link CloudMachineReconciler} watches the cloud's list, and {@link ProvisioningController}
 * carries rentals and releases out.
 */
public final class CapacityManager {
  private static final int MAX_PENDING_RENTALS = 4;

  /**
   * The delay from one rental to the next decision: more may be missing than one request brings,
   * and the next may go to another zone.
   */
  private static final long NEXT_RENTAL_DELAY_MICROS = 100_000;

  /**
   * How long release records outlive their machines. The cloud's lists lag by up to twice what the
   * settings say, and what an earlier leader deleted is known only by these records.
   */
  private static final long TOMBSTONE_MICROS = 30_000_000;

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
   * @param demand how many tasks should run at once
   * @param term the leader's term
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
            TOMBSTONE_MICROS,
            replica.dayMicros(0));
    scaleIn = new ScaleIn(sink, workers, provisioning, term);
    retirement =
        new MachineRetirement(settings, sink, replica, workers, membership, scaleIn, clock, term);
    idleMachines = new IdleMachinePolicy(settings, workers, scaleIn, clock);
    reconciler =
        new CloudMachineReconciler(sink, workers, provisioning, scaleIn, cloud, clock, term);
  }

  /** The term is over: nothing more is decided, and late answers of the cloud are dropped. */
  public void close() {
    provisioning.close();
    cloud.close();
  }

  /**
   * Takes over what earlier terms left open: their rentals are on their way, and nothing is placed
   * on a machine that they release.
   */
  public void takeOver(long nowMicros) {
    clock.advanceTo(nowMicros);
    workers.setReleasingPredicate(provisioning::isReleasing);
    provisioning.resume(replica.dutyRecords(), nowMicros);
    for (Machine machine : workers.machines().values()) {
      if (provisioning.isReleasing(machine.id())) {
        scaleIn.stopUsing(machine);
      }
    }
  }

  /** The machine is durably registered, so a successor knows of it without its rental. */
  public void machineRegistered(String machine) {
    provisioning.machineRegistered(machine);
  }

  /** Whether some machine has been silent for so long that peers are to be asked about it. */
  public boolean hasMissingMachines() {
    return retirement.hasMissingMachines();
  }

  /** How many rentals and releases are open, for the log. */
  public String summary() {
    return provisioning.summary();
  }

  /** How many rentals have stand-ins for machines whose names are not known yet. */
  int pendingRentalCount() {
    return pendingMachines.rentalCount();
  }

  /** Does what is due; nothing while this leader may not launch. */
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
