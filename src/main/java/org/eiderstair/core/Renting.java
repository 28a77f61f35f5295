package org.eiderstair.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Decides which machines to rent and to return, and watches the cloud's list for what went wrong there. */
final class Renting {
  private static final long DECIDE_EVERY_MICROS = 1_000_000;
  private static final long LIST_EVERY_MICROS = 5_000_000;
  private static final long CATALOG_EVERY_MICROS = 120_000_000;
  private static final long REFUSED_PAUSE_MICROS = 15_000_000;
  private static final long RETRY_MICROS = 1_500_000;
  private static final long CHEAPEST_LIFE_MICROS = 60_000_000;
  private static final int BOOT_PATIENCE = 4;
  private static final int MOST_RENTALS = 4;
  private static final long RENT_GAP_MICROS = 100_000;

  /** A kind of machine in one zone: what a rental names, and what the cloud refuses by. */
  private record Offer(String type, String zone, boolean spot) {}

  private final Settings settings;
  private final Ports ports;
  private final Replica replica;
  private final Fleet fleet;
  private final Leadership leadership;
  private final long term;
  private final RateBudget calls;
  private final Demand demand;
  private boolean closed;
  private long now;
  private long requests;
  private long nextDecideMicros;
  private long nextListMicros;
  private long nextCatalogMicros;
  private boolean listing;
  private boolean readingCatalog;
  private boolean deleting;
  private long deleteNotBefore;
  /** Machines asked for by name of the request, as if they were booting: nothing is rented twice over. */
  private final Map<String, List<Machine>> asked = new HashMap<>();
  private final Map<Offer, Long> refusedUntil = new HashMap<>();
  private final Set<String> toDelete = new LinkedHashSet<>();

  Renting(Settings settings, Ports ports, Replica replica, Fleet fleet, Leadership leadership, Demand demand,
      long term) {
    this.settings = settings;
    this.ports = ports;
    this.replica = replica;
    this.fleet = fleet;
    this.leadership = leadership;
    this.term = term;
    this.demand = demand;
    this.calls = new RateBudget(settings.cloudRps() * 0.7);
  }

  void close() {
    closed = true;
  }

  void tick(long nowMicros) {
    now = nowMicros;
    if (!leadership.mayCommand(now)) {
      return;
    }
    if (!readingCatalog && now >= nextCatalogMicros && mayCall()) {
      readCatalog();
    }
    if (now >= nextDecideMicros) {
      nextDecideMicros = now + DECIDE_EVERY_MICROS;
      retire();
      if (!replica.catalog().isEmpty()) {
        balance();
      }
    }
    if (!deleting && !toDelete.isEmpty() && now >= deleteNotBefore && mayCall()) {
      delete();
    }
    if (!listing && now >= nextListMicros && mayCall()) {
      listing = true;
      nextListMicros = now + LIST_EVERY_MICROS;
      list(null);
    }
  }

  private boolean mayCall() {
    return calls.available(now) >= 1;
  }

  private void readCatalog() {
    readingCatalog = true;
    calls.take(1);
    ports.call(new Request.CloudCatalog(), reply -> {
      readingCatalog = false;
      if (closed || !(reply instanceof Reply.Catalog catalog)) {
        nextCatalogMicros = now + RETRY_MICROS;
        return;
      }
      nextCatalogMicros = now + CATALOG_EVERY_MICROS;
      if (catalog.types().equals(replica.catalog())) {
        return;
      }
      // Kept in the state service so that every node can judge jobs, also while the cloud does not answer.
      Map<String, Object> value = Records.catalog(catalog.types());
      ports.call(new Request.StoreTxn(List.of(new Request.Condition(Records.LEADER, term),
          new Request.Condition(Records.CATALOG, replica.catalogVersion())),
          List.of(new Request.Write(Records.CATALOG, value, 0))), written -> {
            if (written instanceof Reply.Applied applied) {
              replica.apply(new Reply.Item(Records.CATALOG, value, applied.revision()));
              fleet.typesChanged();
            } else {
              nextCatalogMicros = now + RETRY_MICROS;
            }
          });
    });
  }

  /** Machines that are of no more use: silent, failed to boot, drained, or idle for longer than they are worth. */
  private void retire() {
    int heard = 0;
    int silent = 0;
    for (Machine m : fleet.machines.values()) {
      if (m.phase != Machine.Phase.BOOTING) {
        heard++;
        silent += isSilent(m) ? 1 : 0;
      }
    }
    // When most machines are silent, the fault is more likely ours than theirs. But it need not be: machines
    // deleted just before a crash are still rostered, and must not hold everything back for ever.
    boolean cutOff = silent > 2 && silent * 2 > heard;
    long patience = settings.tuning().unheardDeleteMicros() * (cutOff ? 3 : 1);
    for (Machine m : fleet.machines.values()) {
      if (m.plan == Machine.Plan.DELETE) {
        toDelete.add(m.id);
        continue;
      }
      String why = null;
      if (m.phase == Machine.Phase.BOOTING) {
        long boot = m.type == null ? 60_000_000L : m.type.bootMicros();
        why = now > m.sinceMicros + boot * BOOT_PATIENCE ? "never came up" : null;
      } else if (now > m.heardMicros + patience) {
        why = "silent";
      } else if (m.plan == Machine.Plan.DRAIN && m.attempts.isEmpty() && m.phase == Machine.Phase.HEARD) {
        why = "drained";
      }
      if (why != null) {
        returnNow(m, why);
      }
    }
  }

  private boolean isSilent(Machine m) {
    return now > m.heardMicros + settings.tuning().unheardDeleteMicros();
  }

  private boolean isIdle(Machine m) {
    return m.phase == Machine.Phase.HEARD && m.attempts.isEmpty()
        && now > m.idleSinceMicros + settings.tuning().idleReturnMicros()
        && now > m.sinceMicros + CHEAPEST_LIFE_MICROS;
  }

  private void delete() {
    deleting = true;
    calls.take(1);
    List<String> names = toDelete.stream().limit(100).toList();
    ports.call(new Request.CloudDelete(names), reply -> {
      deleting = false;
      if (closed) {
        return;
      }
      if (reply instanceof Reply.Applied) {
        for (String name : names) {
          toDelete.remove(name);
          fleet.deleted(name);
        }
      } else {
        deleteNotBefore = now + RETRY_MICROS;
      }
    });
  }

  /** The part of a machine, there or on its way, that the demand has not yet taken on paper. */
  private static final class Room {
    final Machine machine;
    double left = 1;

    Room(Machine m) {
      machine = m;
    }

    /** Takes room for that many tasks, not necessarily whole, and says for how many there was some. */
    double take(JobSpec spec, double tasks) {
      if (!machine.allows(spec)) {
        return 0;
      }
      double each = share(spec, machine.type);
      double taken = Math.min(tasks, left / each);
      left -= taken * each;
      return taken;
    }
  }

  /** What part of a machine one task takes. */
  private static double share(JobSpec spec, MachineType type) {
    double share = Math.max(spec.cpus() / type.cpus(), spec.memoryGb() / type.memoryGb());
    share = type.accelerators() > 0 ? Math.max(share, spec.accelerators() / type.accelerators()) : share;
    return Math.max(share, 1e-3);
  }

  /** Compares the demand with the machines that are there or on their way, and rents or returns the difference. */
  private void balance() {
    List<Room> rooms = new ArrayList<>();
    for (Machine m : fleet.machines.values()) {
      if (m.plan == Machine.Plan.USE && m.type != null) {
        rooms.add(new Room(m));
      }
    }
    asked.values().forEach(machines -> machines.forEach(m -> rooms.add(new Room(m))));
    // Cheap machines serve first, and among equals the busy ones: what is left over is best returned.
    rooms.sort(Comparator.comparing((Room r) -> !r.machine.spot).thenComparing(r -> r.machine.attempts.isEmpty()));
    Map<Offer, Double> wanted = new LinkedHashMap<>();
    List<Demand.Wish> wishes = demand.measure(now);
    // Where some work may use dear machines only, those are kept by all demand: a burst of it cannot wait for a boot.
    boolean sparing = wishes.stream().allMatch(w -> w.spec().spotAllowed());
    for (Demand.Wish wish : wishes) {
      JobSpec spec = wish.spec();
      double got = 0;
      for (Room room : rooms) {
        // Work that may use cheap machines gets dear ones only for what is at hand.
        double most = sparing && !room.machine.spot ? wish.pressing() : wish.tasks();
        got += room.take(spec, Math.max(0, most - got));
      }
      Offer offer = choose(spec);
      double most = sparing && offer != null && !offer.spot() ? wish.pressing() : wish.tasks();
      if (offer != null && most - got > 1e-3) {
        boolean nowhere = rooms.stream().noneMatch(r -> r.machine.allows(spec));
        double machines = (most - got) * share(spec, type(offer.type()));
        wanted.merge(offer, nowhere ? Math.max(1, machines) : machines, Double::sum);
      }
    }
    wanted.forEach((offer, machines) ->
        rent(offer, Math.min(settings.tuning().rentBatch(), (int) Math.ceil(machines - 0.1))));
    for (Room room : rooms) {
      room.machine.surplus = room.left > 0.999;
      room.machine.closing = sparing && room.machine.surplus && !room.machine.spot;
      if (room.machine.surplus && isIdle(room.machine)) {
        returnNow(room.machine, "idle");
      }
    }
  }

  private MachineType type(String name) {
    return replica.catalog().stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow();
  }

  /** The cheapest offer per processor that the job may use and that was not refused just now. */
  private Offer choose(JobSpec spec) {
    Offer best = null;
    double bestPrice = Double.MAX_VALUE;
    int bestCount = 0;
    for (MachineType type : replica.catalog()) {
      if (!type.fits(spec)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type.name(), zone, spot);
          double price = (spot ? type.spotPrice() : type.price()) / Math.max(type.cpus(), 0.01);
          if (!spec.allows(type.name(), zone, spot) || spot && type.spotPrice() <= 0
              || now < refusedUntil.getOrDefault(offer, 0L)) {
            continue;
          }
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
    for (Machine m : fleet.machines.values()) {
      count += zone.equals(m.zone) ? 1 : 0;
    }
    for (List<Machine> machines : asked.values()) {
      count += zone.equals(machines.get(0).zone) ? machines.size() : 0;
    }
    return count;
  }

  private void rent(Offer offer, int count) {
    if (count < 1 || asked.size() >= MOST_RENTALS || !mayCall()) {
      return;
    }
    // A request name is never used for another request, by any node: the term and a counter see to that.
    String request = "r-" + term + "-" + ++requests;
    List<Machine> machines = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      Machine m = new Machine(request + "/" + i, term, Machine.Phase.BOOTING, now);
      m.typeName = offer.type();
      m.type = type(offer.type());
      m.zone = offer.zone();
      m.spot = offer.spot();
      machines.add(m);
    }
    asked.put(request, machines);
    rent(request, offer, count, 3);
    // More may be wanted than one request brings, and the next may go to another zone.
    nextDecideMicros = Math.min(nextDecideMicros, now + RENT_GAP_MICROS);
  }

  private void rent(String request, Offer offer, int count, int tries) {
    calls.take(1);
    ports.call(new Request.CloudRent(request, offer.type(), offer.zone(), offer.spot(), count), reply -> {
      if (closed) {
        return;
      }
      if (reply instanceof Reply.Rented rented) {
        asked.remove(request);
        ports.info("rented " + rented.machines().size() + " of " + count + " " + offer + ", term=" + term);
        for (String id : rented.machines()) {
          if (!fleet.machines.containsKey(id) && !fleet.gone.contains(id)) {
            fleet.expect(id, null, offer.type(), offer.zone(), offer.spot());
          }
        }
        if (rented.machines().size() < count) {
          refusedUntil.put(offer, now + REFUSED_PAUSE_MICROS);
        }
        nextDecideMicros = Math.min(nextDecideMicros, now);
      } else if (reply instanceof Reply.Lost && tries > 0) {
        // The same name again returns the same machines if the first request was served after all.
        rent(request, offer, count, tries - 1);
      } else {
        asked.remove(request);
        boolean capacity = reply instanceof Reply.Refused refused && refused.status() == 503;
        ports.info("not rented " + count + " " + offer + ": " + reply + ", term=" + term);
        refusedUntil.put(offer, now + (capacity ? REFUSED_PAUSE_MICROS : RETRY_MICROS));
        nextDecideMicros = Math.min(nextDecideMicros, now + (capacity ? 0 : RETRY_MICROS));
      }
    });
  }

  private final Set<String> listed = new HashSet<>();

  private void list(String after) {
    if (after == null) {
      listed.clear();
    }
    calls.take(1);
    ports.call(new Request.CloudList(after), reply -> {
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

  /** A rostered machine neither heard nor listed is most likely gone; its deletion costs nothing and proves it. */
  private void returnUnlisted() {
    for (Machine m : fleet.machines.values()) {
      if (m.phase == Machine.Phase.UNHEARD && m.plan != Machine.Plan.DELETE && !listed.contains(m.id)
          && now > m.sinceMicros + 2_000_000) {
        returnNow(m, "neither heard nor listed");
      }
    }
  }

  private void returnNow(Machine m, String why) {
    ports.info("returning machine " + m.id + ": " + why + ", term=" + term);
    fleet.drain(m);
    m.plan = Machine.Plan.DELETE;
    toDelete.add(m.id);
  }

  private void seen(Reply.CloudMachine listed) {
    if (fleet.gone.contains(listed.id())) {
      return;
    }
    Machine m = fleet.machines.get(listed.id());
    if (listed.state().equals("failed")) {
      if (m == null || m.plan != Machine.Plan.DELETE) {
        ports.info("machine " + listed.id() + " failed, term=" + term);
      }
      if (m == null) {
        m = fleet.expect(listed.id(), listed.address(), listed.type(), listed.zone(), listed.spot());
      }
      fleet.drain(m);
      m.plan = Machine.Plan.DELETE;
      toDelete.add(m.id);
      return;
    }
    if (m == null) {
      ports.info("machine " + listed.id() + " found in the list, term=" + term);
      m = fleet.expect(listed.id(), listed.address(), listed.type(), listed.zone(), listed.spot());
      m.sinceMicros = now - listed.ageMicros();
    }
  }
}
