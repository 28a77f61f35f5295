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
 * What only one controller may do: rent machines and give them back. Its holder is the leader, its
 * epoch the leader's term. The cloud knows no epochs, so what fences a holder that was replaced is
 * written under the leader key before the cloud is asked: a rental's name, which is never used for
 * another, and a mark on each machine that is to go. docs/duties.md weighs the other ways.
 */
public final class ProvisioningController {
  /** Keys of open rentals and returns; what follows is their name. */
  public static final String RENTALS = "e/duty/rent/";

  public static final String RETURNS = "e/duty/leave/";

  /** What one request to the cloud takes at most. */
  private static final int MAX_RETURNED = 100;

  private static final int RENTALS_AT_ONCE = 4;
  private static final int RETURNS_AT_ONCE = 2;
  private static final long RETRY_MICROS = 1_500_000;

  /**
   * Who holds the duties, as this node sees it. SETTLING carries out what earlier epochs left open,
   * and may rent and return beside it. HELD has nothing of theirs left. ENDED decides nothing more:
   * another may hold them.
   */
  enum Holding {
    SETTLING,
    HELD,
    ENDED
  }

  /** What came of a rental: machines, certainly none, or no answer. */
  public record Rental(Outcome outcome, List<String> machines, String why) {
    /** How it ended; without an answer the machines may yet be rented. */
    public enum Outcome {
      GRANTED,
      REFUSED,
      NO_ANSWER
    }
  }

  /** What came of a request to delete: done, certainly not carried out, or no answer. */
  public enum Deletion {
    DONE,
    REFUSED,
    NO_ANSWER
  }

  /** What the duties need of their holder. */
  public interface Host {
    /** Writes under the leader key of this epoch; {@code durable} runs once it is there. */
    void put(String key, Map<String, Object> value, Runnable durable);

    /** Removes a record, and says when that is durable. */
    void drop(String key, Runnable durable);

    /** Whether one more request to the cloud keeps its limit and the lease that backs it. */
    boolean mayCall();

    /** Asks the cloud for machines under a request name. */
    void rent(String charter, RentalOption offer, int count, Consumer<Rental> callback);

    /** Asks the cloud to delete machines. */
    void delete(List<String> machines, Consumer<Deletion> callback);

    /** Machines are on their way, decided so long ago. */
    void booting(String charter, RentalOption offer, List<String> machines, long ageMicros);

    /** A rental brought fewer than it asked for, or nothing. */
    void shortOf(RentalOption offer, String why);

    /** The cloud has confirmed that the machine is gone. */
    void gone(String machine);

    /** The machine, marked before, is in use again. */
    void kept(String machine);

    /** Whether a machine is in the durable list of machines. */
    boolean onRoster(String machine);

    /** Whether this epoch has had it confirmed that the machine is gone. */
    boolean isTerminated(String machine);

    /** Logs a line. */
    void info(String text);

    /** Logs a line about something that should not be. */
    void error(String text);
  }

  private final Host host;
  private final long epoch;
  private final long tombstoneMicros;
  private final long dayOffsetMicros;
  private Holding holding = Holding.SETTLING;
  private long now;
  private long beganMicros;
  private long numbers;
  private boolean marking;

  private final Map<String, RentalIntent> rentals = new LinkedHashMap<>();
  private final Map<String, RentalIntent> rentalOf = new HashMap<>();
  private final Map<String, Return> returns = new LinkedHashMap<>();
  private final Map<String, Return> returnOf = new HashMap<>();

  /** Decided since the last mark was written; they go together with the next. */
  private final Set<String> toMark = new LinkedHashSet<>();

  private int rentalsAsked;
  private int returnsAsked;

  /**
   * @param epoch the holder's term
   * @param tombstoneMicros how long a mark outlives its machine, since older lists of the cloud may
   *     still show it
   * @param dayOffsetMicros the time of day less the steady time
   */
  public ProvisioningController(Host host, long epoch, long tombstoneMicros, long dayOffsetMicros) {
    this.host = host;
    this.epoch = epoch;
    this.tombstoneMicros = tombstoneMicros;
    this.dayOffsetMicros = dayOffsetMicros;
  }

  /**
   * Takes over what earlier epochs left open. One record that cannot be read is passed over and
   * stops nothing.
   */
  public void resume(Map<String, Map<String, Object>> records, long nowMicros) {
    now = nowMicros;
    beganMicros = now;
    records.forEach(
        (key, value) -> {
          try {
            if (key.startsWith(RENTALS)) {
              resume(RentalIntent.read(key.substring(RENTALS.length()), value));
            } else if (key.startsWith(RETURNS)) {
              Return r = Return.read(key.substring(RETURNS.length()), value);
              if (r.machines().isEmpty()) {
                // All of it was taken back, and its holder ended before it could say so.
                host.drop(key, () -> {});
              } else {
                returns.put(r.name, r);
                r.machines().forEach(m -> returnOf.put(m, r));
              }
            }
          } catch (RuntimeException e) {
            host.error(
                "unreadable duty " + key + ", left alone, term=" + epoch + ": " + e.getMessage());
          }
        });
    host.info(
        "duties SETTLING, term="
            + epoch
            + ": "
            + rentals.size()
            + " rentals and "
            + returns.size()
            + " returns of earlier terms are open");
    settledAll();
  }

  private void resume(RentalIntent r) {
    rentals.put(r.charter, r);
    if (r.state() == RentalIntent.State.ANSWERED) {
      named(r);
    }
  }

  /**
   * Called once the machines of a rental are known, by its answer or by what an earlier epoch had
   * learnt.
   */
  private void named(RentalIntent r) {
    long age = Math.max(0, now + dayOffsetMicros - r.decidedDayMicros);
    List<String> booting = new ArrayList<>();
    for (String machine : r.machines()) {
      rentalOf.put(machine, r);
      if (!leaving(machine)) {
        booting.add(machine);
      }
    }
    host.booting(r.charter, r.offer, booting, age);
    r.machines().stream()
        .filter(m -> host.onRoster(m) || host.isTerminated(m))
        .toList()
        .forEach(this::accounted);
  }

  /** The term is over: nothing more is decided or asked for. */
  public void close() {
    if (holding != Holding.ENDED) {
      become(Holding.ENDED);
    }
  }

  private void become(Holding next) {
    host.info(
        "duties "
            + holding
            + " -> "
            + next
            + ", term="
            + epoch
            + ", after "
            + (now - beganMicros) / 1000
            + " ms: "
            + summary());
    holding = next;
  }

  /** For the holder's line of figures. */
  public String summary() {
    return rentals.size() + " rentals, " + returns.size() + " returns open";
  }

  // Rentals.

  /** Decides a rental. It is written first, and asked for as soon as that is durable. */
  public void rent(RentalOption offer, int count) {
    String charter = "r-" + epoch + "-" + ++numbers;
    RentalIntent r =
        new RentalIntent(
            charter, epoch, offer, count, now + dayOffsetMicros, RentalIntent.State.DECIDED);
    rentals.put(charter, r);
    host.put(RENTALS + charter, r.record(), () -> become(r, RentalIntent.State.WRITTEN, "durable"));
  }

  /** Rentals whose machines are not known yet, so that they are counted as if they were booting. */
  public void awaited(Consumer<Awaited> each) {
    for (RentalIntent r : rentals.values()) {
      if (r.state() != RentalIntent.State.ANSWERED) {
        each.accept(new Awaited(r.charter, r.offer, r.count));
      }
    }
  }

  /** A rental whose machines are not known yet. */
  public record Awaited(String charter, RentalOption offer, int count) {}

  /** How many machines are rented or being rented and not yet there. */
  public int awaited() {
    int[] count = {0};
    awaited(rental -> count[0]++);
    return count[0];
  }

  private void become(RentalIntent r, RentalIntent.State next, String why) {
    if (holding == Holding.ENDED) {
      return;
    }
    host.info(
        "rental " + r.charter + " " + r.state() + " -> " + next + ", term=" + epoch + ": " + r.count
            + " " + r.offer + ": " + why);
    r.become(next);
    if (next == RentalIntent.State.SETTLED) {
      rentals.remove(r.charter);
      r.machines().forEach(m -> rentalOf.remove(m, r));
      host.drop(RENTALS + r.charter, () -> {});
      settledAll();
    }
  }

  private void ask(RentalIntent r) {
    become(r, RentalIntent.State.ASKED, "asking");
    rentalsAsked++;
    host.rent(
        r.charter,
        r.offer,
        r.count,
        rental -> {
          rentalsAsked--;
          if (holding == Holding.ENDED) {
            return;
          }
          switch (rental.outcome()) {
            case GRANTED -> granted(r, rental.machines());
            case REFUSED -> {
              become(r, RentalIntent.State.SETTLED, "not rented: " + rental.why());
              host.shortOf(r.offer, rental.why());
            }
            case NO_ANSWER -> {
              // It may have been carried out, or may yet be: only the same name tells, and rents
              // nothing twice.
              r.notBeforeMicros = now + RETRY_MICROS;
              become(r, RentalIntent.State.WRITTEN, rental.why());
            }
          }
        });
  }

  private void granted(RentalIntent r, List<String> machines) {
    become(r, RentalIntent.State.ANSWERED, "rented " + machines.size());
    r.named(machines);
    named(r);
    if (machines.size() < r.count) {
      host.shortOf(r.offer, "rented " + machines.size() + " of " + r.count);
    }
    if (machines.isEmpty()) {
      become(r, RentalIntent.State.SETTLED, "none");
    } else if (rentals.containsKey(r.charter)) {
      host.put(RENTALS + r.charter, r.record(), () -> {});
      settledAll();
    }
  }

  /** Something else durable tells of the machine: it is in the roster, or gone. */
  public void accounted(String machine) {
    RentalIntent r = rentalOf.get(machine);
    if (r != null && r.accounted(machine)) {
      become(r, RentalIntent.State.SETTLED, "all machines are accounted for");
    }
  }

  /**
   * A successor must not take a machine that is gone for one that boots, since an open rental names
   * it.
   */
  private void gone(String machine) {
    host.gone(machine);
    accounted(machine);
    RentalIntent r = rentalOf.remove(machine);
    if (r != null) {
      host.put(RENTALS + r.charter, r.record(), () -> {});
    }
  }

  // Returns.

  /** Whether a machine is marked, or about to be: nothing may be placed on it. */
  public boolean leaving(String machine) {
    return returnOf.containsKey(machine) || toMark.contains(machine);
  }

  /**
   * The machine is to go. It is marked first, with others, and given back as soon as that is
   * durable.
   */
  public void giveBack(String machine) {
    if (!leaving(machine)) {
      toMark.add(machine);
    }
  }

  /**
   * The machine is wanted after all, since it was heard: true when that is still possible. It may
   * be used again once {@link Host#kept} says so.
   */
  public boolean takeBack(String machine) {
    if (toMark.remove(machine)) {
      host.kept(machine);
      return true;
    }
    Return r = returnOf.get(machine);
    if (r == null || !r.mayTakeBack() || r.epoch != epoch) {
      return false;
    }
    r.machines().remove(machine);
    r.rewriting = true;
    Runnable kept =
        () -> {
          r.rewriting = false;
          if (holding != Holding.ENDED) {
            returnOf.remove(machine, r);
            host.info("machine " + machine + " is kept after all, term=" + epoch);
            host.kept(machine);
            if (r.machines().isEmpty() && returns.containsKey(r.name)) {
              become(r, Return.State.SETTLED, "none left");
            }
          }
        };
    host.put(RETURNS + r.name, r.record(), kept);
    return true;
  }

  private void mark() {
    while (!toMark.isEmpty()) {
      List<String> machines = toMark.stream().limit(MAX_RETURNED).toList();
      toMark.removeAll(machines);
      String name = epoch + "-" + ++numbers;
      Return r = new Return(name, epoch, machines, Return.State.DECIDED);
      returns.put(name, r);
      machines.forEach(m -> returnOf.put(m, r));
      marking = true;
      host.put(
          RETURNS + name,
          r.record(),
          () -> {
            marking = false;
            if (r.state() == Return.State.DECIDED) {
              become(r, Return.State.MARKED, "durable");
            }
          });
    }
  }

  private void become(Return r, Return.State next, String why) {
    if (holding == Holding.ENDED) {
      return;
    }
    host.info(
        "return "
            + r.name
            + " "
            + r.state()
            + " -> "
            + next
            + ", term="
            + epoch
            + ": "
            + r.machines().size()
            + " machines: "
            + why);
    r.become(next);
    if (next == Return.State.SETTLED) {
      returns.remove(r.name);
      r.machines().forEach(m -> returnOf.remove(m, r));
      host.drop(RETURNS + r.name, () -> {});
    }
    settledAll();
  }

  private void ask(Return r) {
    boolean first = r.touch();
    become(r, Return.State.ASKED, "asking");
    returnsAsked++;
    host.delete(
        List.copyOf(r.machines()),
        deletion -> {
          returnsAsked--;
          if (holding == Holding.ENDED) {
            return;
          }
          if (deletion == Deletion.DONE) {
            r.goneMicros = now;
            become(r, Return.State.GONE, "confirmed");
            List.copyOf(r.machines()).forEach(this::gone);
          } else {
            r.notBeforeMicros = now + RETRY_MICROS;
            if (first && deletion == Deletion.REFUSED) {
              r.untouch();
            }
            become(r, Return.State.MARKED, deletion.toString());
          }
        });
  }

  /** Time passes: asks for what is durable, and settles what is answered. */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (holding == Holding.ENDED) {
      return;
    }
    if (!marking || toMark.size() >= MAX_RETURNED) {
      mark();
    }
    List<Return> over = null;
    for (Return r : returns.values()) {
      if (r.state() == Return.State.MARKED
          && !r.rewriting
          && !r.machines().isEmpty()
          && now >= r.notBeforeMicros
          && returnsAsked < RETURNS_AT_ONCE
          && host.mayCall()) {
        ask(r);
      } else if (r.state() == Return.State.GONE
          && now > r.goneMicros + tombstoneMicros
          && r.machines().stream().noneMatch(host::onRoster)) {
        over = over == null ? new ArrayList<>() : over;
        over.add(r);
      }
    }
    if (over != null) {
      over.forEach(r -> become(r, Return.State.SETTLED, "forgotten by list and roster"));
    }
    for (RentalIntent r : rentals.values()) {
      if (r.state() == RentalIntent.State.WRITTEN
          && now >= r.notBeforeMicros
          && rentalsAsked < RENTALS_AT_ONCE
          && host.mayCall()) {
        ask(r);
      }
    }
  }

  private void settledAll() {
    if (holding != Holding.SETTLING) {
      return;
    }
    for (RentalIntent r : rentals.values()) {
      if (r.epoch != epoch && r.state() != RentalIntent.State.ANSWERED) {
        return;
      }
    }
    for (Return r : returns.values()) {
      if (r.epoch != epoch && r.state() != Return.State.GONE) {
        return;
      }
    }
    become(Holding.HELD);
  }
}
