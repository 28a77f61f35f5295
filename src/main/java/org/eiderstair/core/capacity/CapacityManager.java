package org.eiderstair.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.provisioning.DeletionResult;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.provisioning.ProvisioningHost;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.provisioning.RentalRequest;
import org.eiderstair.core.provisioning.RentalResponseHandler;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.RateBudget;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Decides which machines to rent and to return, and watches the cloud's list for what went wrong
 * there.
 */
public final class CapacityManager {
  private static final long DECIDE_EVERY_MICROS = 1_000_000;
  private static final long LIST_EVERY_MICROS = 5_000_000;
  private static final long LIST_UNHEARD_MICROS = 1_500_000;
  private static final long REFUSED_PAUSE_MICROS = 15_000_000;
  private static final long CHEAPEST_LIFE_MICROS = 60_000_000;
  private static final int MAX_RENTALS = 4;

  /** Above every price. */
  private static final double UNSEEN_PRICE = 1e9;

  private static final long RENT_GAP_MICROS = 100_000;

  /**
   * Lists lag by up to twice what the settings say, and a replaced leader's deletions are known by
   * the marks alone.
   */
  private static final long TOMBSTONE_MICROS = 30_000_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final WorkerManager workers;
  private final Leadership leadership;
  private final long term;
  private final RateBudget calls;
  private final Demand demand;
  private boolean closed;
  private long now;
  private long nextDecideMicros;
  private long nextListMicros;
  private boolean listing;

  /** Machines asked for, by name of the rental. */
  final Map<String, List<Machine>> awaited = new HashMap<>();

  private final Map<RentalOption, Long> refusedUntil = new HashMap<>();
  private final ProvisioningController duties;
  private final MachineRetirement retirement;
  private final CatalogRefresh catalog;
  private final Membership membership;
  private final StateWriter stateWriter;

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
    this.sink = sink;
    this.replica = replica;
    this.workers = workers;
    this.leadership = leadership;
    this.term = term;
    this.demand = demand;
    this.calls = new RateBudget(settings.cloudRps() * 0.7);
    this.stateWriter = stateWriter;
    this.membership = membership;
    this.duties =
        new ProvisioningController(new Host(), term, TOMBSTONE_MICROS, replica.dayMicros(0));
    this.catalog = new CatalogRefresh(sink, replica, workers, term);
    this.retirement =
        new MachineRetirement(settings, sink, replica, workers, membership, duties, term);
  }

  /** The term is over. */
  public void close() {
    duties.close();
    catalog.close();
    closed = true;
  }

  /**
   * Takes over what earlier terms left open: their rentals are on their way, and nothing is placed
   * on what leaves.
   */
  public void takeOver(long nowMicros) {
    now = nowMicros;
    workers.leaving(duties::isReleasing);
    Map<String, StoredValue> records = new TreeMap<>();
    replica.duties.values().forEach(item -> records.put(item.key(), item.value()));
    duties.resume(records, now);
    for (Machine m : workers.machines().values()) {
      if (duties.isReleasing(m.id())) {
        retirement.leave(m);
      }
    }
  }

  /** The machine is in the roster now, so that a successor knows of it without its rental. */
  public void registered(String machine) {
    duties.machineRegistered(machine);
  }

  /** Whether some machine has been silent for so long that peers are to be asked for it. */
  public boolean missesMachines() {
    return retirement.missesMachines();
  }

  /** A line for the log. */
  public String summary() {
    return duties.summary();
  }

  /** Rents and releases what is due. */
  public void tick(long nowMicros) {
    now = nowMicros;
    catalog.at(now);
    if (!leadership.mayLaunch(now)) {
      return;
    }
    if (catalog.due() && mayCall()) {
      calls.take(1);
      catalog.read();
    }
    if (now >= nextDecideMicros) {
      nextDecideMicros = now + DECIDE_EVERY_MICROS;
      retirement.retire(now);
      if (!replica.catalog().isEmpty() && membership.hasConsultedPeers(now)) {
        balance();
      }
    }
    duties.tick(now);
    if (!listing && now >= nextListMicros && mayCall()) {
      listing = true;
      // What is gone already would hold back all older work until it is seen to be gone.
      nextListMicros =
          now + (workers.unconfirmed().isEmpty() ? LIST_EVERY_MICROS : LIST_UNHEARD_MICROS);
      list(null);
    }
  }

  private boolean mayCall() {
    return calls.available(now) >= 1;
  }

  private boolean isIdle(Machine m) {
    return m.phase() == Machine.Phase.CONFIRMED
        && m.attempts().isEmpty()
        && now > m.idleSinceMicros() + settings.tuning().idleReturnMicros()
        && now > m.sinceMicros() + CHEAPEST_LIFE_MICROS;
  }

  /**
   * Compares the demand with the machines that are there or on their way, and rents or returns the
   * difference.
   */
  private void balance() {
    List<PlannedRoom> rooms = new ArrayList<>();
    for (Machine m : workers.machines().values()) {
      // What nobody sees is asked for elsewhere; it is not given back for it.
      m.setExcess(false);
      if (m.plan() == Machine.Plan.ACTIVE && m.type() != null && !m.isPartitioned()) {
        rooms.add(new PlannedRoom(m));
      }
    }
    for (RentalRequest rental : duties.pendingRentals()) {
      awaited(rental).forEach(m -> rooms.add(new PlannedRoom(m)));
    }
    // Cheap machines serve first, and among equals the busy ones: what is left over is best
    // returned.
    rooms.sort(
        Comparator.comparing((PlannedRoom r) -> !r.machine.isSpot())
            .thenComparing(r -> r.machine.attempts().isEmpty()));
    Map<RentalOption, Double> wanted = new LinkedHashMap<>();
    List<Demand.Estimate> estimates = demand.measure(now);
    // Where some work may use dear machines only, those are kept by all demand: a burst of it
    // cannot wait for a boot.
    boolean sparing = estimates.stream().allMatch(w -> w.spec().spotAllowed());
    for (Demand.Estimate estimate : estimates) {
      JobSpec spec = estimate.spec();
      double got = 0;
      for (PlannedRoom room : rooms) {
        // Work that may use cheap machines gets dear ones only for what is at hand.
        double most =
            sparing && !room.machine.isSpot() ? estimate.currentTasks() : estimate.tasks();
        got += room.take(spec, Math.max(0, most - got));
      }
      RentalOption offer = choose(spec);
      double most =
          sparing && offer != null && !offer.spot() ? estimate.currentTasks() : estimate.tasks();
      if (offer != null && most - got > 1e-3) {
        boolean nowhere = rooms.stream().noneMatch(r -> r.machine.allows(spec));
        double machines = (most - got) * PlannedRoom.share(spec, type(offer.type()));
        wanted.merge(offer, nowhere ? Math.max(1, machines) : machines, Double::sum);
      }
    }
    wanted.forEach(
        (offer, machines) ->
            rent(offer, Math.min(settings.tuning().rentBatch(), (int) Math.ceil(machines - 0.1))));
    for (PlannedRoom room : rooms) {
      room.machine.setExcess(room.left > 0.999);
      room.machine.setReservedForOnDemand(
          sparing && room.machine.isExcess() && !room.machine.isSpot());
      if (room.machine.isExcess() && isIdle(room.machine)) {
        retirement.returnNow(room.machine, "idle");
      }
    }
  }

  private MachineType type(String name) {
    return replica.catalog().stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
  }

  /** The cheapest offer per processor that the job may use and that was not refused just now. */
  private RentalOption choose(JobSpec spec) {
    RentalOption best = null;
    double bestPrice = Double.MAX_VALUE;
    int bestCount = 0;
    for (MachineType type : replica.catalog()) {
      if (!type.fits(spec)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          RentalOption offer = new RentalOption(type.name(), zone, spot);
          double price = (spot ? type.spotPrice() : type.price()) / Math.max(type.cpus(), 0.01);
          if (!spec.allows(type.name(), zone, spot)
              || spot && type.spotPrice() <= 0
              || now < refusedUntil.getOrDefault(offer, 0L)) {
            continue;
          }
          // In a zone that nobody sees a machine boots unseen, and is paid for: only where no other
          // zone has room.
          price += membership.isPartitioned(zone) ? UNSEEN_PRICE : 0;
          int there = inZone(zone);
          if (price < bestPrice - 1e-9 || price < bestPrice + 1e-9 && there < bestCount) {
            best = offer;
            bestPrice = price;
            bestCount = there;
          }
        }
      }
    }
    return best;
  }

  private int inZone(String zone) {
    int count = 0;
    for (Machine m : workers.machines().values()) {
      count += zone.equals(m.zone()) ? 1 : 0;
    }
    for (RentalRequest rental : duties.pendingRentals()) {
      count += zone.equals(rental.option().zone()) ? rental.count() : 0;
    }
    return count;
  }

  private void rent(RentalOption offer, int count) {
    if (count < 1 || duties.pendingRentals().size() >= MAX_RENTALS || !mayCall()) {
      return;
    }
    duties.scaleOut(offer, count);
    // More may be wanted than one request brings, and the next may go to another zone.
    nextDecideMicros = Math.min(nextDecideMicros, now + RENT_GAP_MICROS);
  }

  /**
   * Machines whose names are not known yet, as if they were booting: nothing is rented twice over.
   * A rental of an earlier term may be of a type that the cloud no longer has; that must not end
   * one leader after another.
   */
  private List<Machine> awaited(RentalRequest rental) {
    if (replica.catalog().stream().noneMatch(t -> t.name().equals(rental.option().type()))) {
      return List.of();
    }
    return awaited.computeIfAbsent(
        rental.requestId(),
        charter -> {
          List<Machine> machines = new ArrayList<>(rental.count());
          for (int i = 0; i < rental.count(); i++) {
            Machine m = new Machine(charter + "/" + i, term, Machine.Phase.BOOTING, now);
            RentalOption option = rental.option();
            m.describe(null, option.type(), option.zone(), option.spot());
            m.assignType(type(option.type()));
            machines.add(m);
          }
          return machines;
        });
  }

  /**
   * What the duties need of the leader: its writes, its calls to the cloud, and its picture of the
   * machines.
   */
  private final class Host implements ProvisioningHost {
    @Override
    public void put(String key, StoredValue value, Runnable onDurable) {
      stateWriter.note(key, value, onDurable);
    }

    @Override
    public void remove(String key) {
      stateWriter.note(key, null, () -> {});
    }

    @Override
    public boolean mayCallCloud() {
      return CapacityManager.this.mayCall() && leadership.mayLaunch(now);
    }

    @Override
    public void requestMachines(RentalRequest rental, RentalResponseHandler handler) {
      RentalOption option = rental.option();
      call(
          new Request.CloudRent(
              rental.requestId(), option.type(), option.zone(), option.spot(), rental.count()),
          reply -> {
            if (!(reply instanceof Reply.NoResponse)) {
              awaited.remove(rental.requestId());
            }
            if (reply instanceof Reply.Rented rented) {
              handler.granted(rented.machines());
            } else if (reply instanceof Reply.Refused) {
              handler.refused(reply.toString());
            } else {
              handler.unanswered(reply.toString());
            }
            nextDecideMicros = Math.min(nextDecideMicros, now);
          });
    }

    @Override
    public void deleteMachines(List<String> machines, Consumer<DeletionResult> callback) {
      call(new Request.CloudDelete(machines), reply -> callback.accept(deletionResult(reply)));
    }

    private DeletionResult deletionResult(Reply reply) {
      if (reply instanceof Reply.Applied) {
        return DeletionResult.CONFIRMED;
      }
      return reply instanceof Reply.Refused ? DeletionResult.REFUSED : DeletionResult.NO_ANSWER;
    }

    /**
     * A holder that stood still must not send what its lease allowed before; its mark or name holds
     * even so.
     */
    private void call(Request request, Consumer<Reply> callback) {
      calls.take(1);
      sink.call(
          request,
          leadership.bounds().leaseEndMicros(),
          reply -> {
            if (!closed) {
              callback.accept(reply);
            }
          });
    }

    @Override
    public void machinesBooting(RentalRequest rental, List<String> machines, long ageMicros) {
      RentalOption option = rental.option();
      awaited.remove(rental.requestId());
      for (String id : machines) {
        if (!workers.machines().containsKey(id) && !workers.isTerminated(id)) {
          Machine m = workers.expect(id, null, option.type(), option.zone(), option.spot());
          m.setSince(now - ageMicros);
        }
      }
    }

    @Override
    public void optionExhausted(RentalOption option) {
      refusedUntil.put(option, now + REFUSED_PAUSE_MICROS);
    }

    @Override
    public void machineTerminated(String machine) {
      Machine m = workers.machines().get(machine);
      if (m != null && m.isPresumedDead()) {
        // What was refused for want of room there may be had now. Seen after a zone's cut: 350
        // machines were given back, and none rented for them until the last refusal was 15 s old.
        // One that was idle is not missed.
        refusedUntil.remove(new RentalOption(m.typeName(), m.zone(), m.isSpot()));
        nextDecideMicros = Math.min(nextDecideMicros, now + RENT_GAP_MICROS);
      }
      workers.deleted(machine);
    }

    @Override
    public void releaseCancelled(String machine) {
      workers.keep(machine);
    }

    @Override
    public boolean isTerminated(String machine) {
      return workers.isTerminated(machine);
    }

    @Override
    public boolean isRegistered(String machine) {
      return replica.registeredWorkers.containsKey(machine);
    }

    @Override
    public void info(String text) {
      sink.info(text);
    }

    @Override
    public void error(String text) {
      sink.error(text);
    }
  }

  private final Set<String> listed = new HashSet<>();

  private void list(String after) {
    if (after == null) {
      listed.clear();
    }
    calls.take(1);
    sink.call(
        new Request.CloudList(after),
        reply -> {
          if (closed || !(reply instanceof Reply.CloudMachines page)) {
            listing = false;
            return;
          }
          String last = null;
          for (Reply.CloudMachine machine : page.machines()) {
            last = machine.id();
            listed.add(last);
            seen(machine);
          }
          if (page.more() && last != null) {
            list(last);
          } else {
            listing = false;
            returnUnlisted();
          }
        });
  }

  /**
   * A rostered machine neither heard nor listed is most likely gone; its deletion costs nothing and
   * proves it.
   */
  private void returnUnlisted() {
    for (Machine m : workers.machines().values()) {
      if (m.phase() == Machine.Phase.UNCONFIRMED
          && m.plan() != Machine.Plan.TERMINATE
          && !listed.contains(m.id())
          && now > m.sinceMicros() + 2_000_000) {
        retirement.returnNow(m, "neither heard nor listed");
      }
    }
  }

  private void seen(Reply.CloudMachine listed) {
    // The cloud's lists are old. Seen on the fleet's day of cuts: a new leader found 542 machines
    // that the one before had just returned, took each for one that never came up, and returned it
    // again.
    if (workers.isTerminated(listed.id())
        || duties.isReleasing(listed.id()) && !workers.machines().containsKey(listed.id())) {
      return;
    }
    Machine m = workers.machines().get(listed.id());
    if (listed.state().equals("failed")) {
      if (m == null || m.plan() != Machine.Plan.TERMINATE) {
        sink.info("machine " + listed.id() + " failed, term=" + term);
      }
      if (m == null) {
        m =
            workers.expect(
                listed.id(), listed.address(), listed.type(), listed.zone(), listed.spot());
      }
      retirement.leave(m);
      m.setPresumedDead(false);
      duties.scaleIn(m.id());
      return;
    }
    if (m == null) {
      sink.info("machine " + listed.id() + " found in the list, term=" + term);
      m =
          workers.expect(
              listed.id(), listed.address(), listed.type(), listed.zone(), listed.spot());
      m.setSince(now - listed.ageMicros());
    }
  }
}
