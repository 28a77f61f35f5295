package org.eiderstair.core.provisioning;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One rental. It is durable before the cloud is asked, so that a successor asks again under the
 * same name and learns what was rented, instead of capacity it twice. The cloud checks no term: the
 * name is what fences.
 */
final class RentalIntent {

  /**
   * DECIDED is being written. WRITTEN is durable and may be asked for. ASKED waits for the cloud;
   * with no answer it is WRITTEN again and asked for under the same name. ANSWERED knows its
   * machines, which are not all in the roster yet. SETTLED is over: its machines are all rostered
   * or gone, or the cloud had none.
   */
  enum State {
    DECIDED,
    WRITTEN,
    ASKED,
    ANSWERED,
    SETTLED
  }

  final String charter;

  /** The epoch that decided it; the one that settles it may be a later one. */
  final long epoch;

  final RentalOption offer;
  final int count;
  final long decidedDayMicros;
  private State state;

  /**
   * All machines that the cloud named, and of those the ones that nothing else durable tells of
   * yet.
   */
  private final List<String> machines = new ArrayList<>();

  private final Set<String> unsettled = new LinkedHashSet<>();
  long notBeforeMicros;

  RentalIntent(
      String charter,
      long epoch,
      RentalOption offer,
      int count,
      long decidedDayMicros,
      State state) {
    this.charter = charter;
    this.epoch = epoch;
    this.offer = offer;
    this.count = count;
    this.decidedDayMicros = decidedDayMicros;
    this.state = state;
  }

  State state() {
    return state;
  }

  /** The one function for every change of state. */
  void become(State next) {
    boolean legal =
        switch (next) {
          case DECIDED -> false;
          case WRITTEN -> state == State.DECIDED || state == State.ASKED;
          case ASKED -> state == State.WRITTEN;
          case ANSWERED -> state == State.ASKED;
          case SETTLED -> state == State.ASKED || state == State.ANSWERED;
        };
    if (!legal) {
      throw new IllegalStateException("rental " + charter + ": " + state + " -> " + next);
    }
    state = next;
  }

  void named(List<String> names) {
    machines.addAll(names);
    unsettled.addAll(names);
  }

  List<String> machines() {
    return machines;
  }

  /**
   * Something else durable tells of the machine now, or it is gone; true once that holds for all of
   * them.
   */
  boolean accounted(String machine) {
    unsettled.remove(machine);
    return state == State.ANSWERED && unsettled.isEmpty();
  }

  /** What is written names no machine that is accounted for; what was written before may. */
  Map<String, Object> record() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("type", offer.type());
    m.put("zone", offer.zone());
    m.put("spot", offer.spot());
    m.put("n", (long) count);
    m.put("epoch", epoch);
    m.put("at", decidedDayMicros);
    if (state == State.ANSWERED) {
      m.put("ids", List.copyOf(unsettled));
    }
    return m;
  }

  /** Reads what an earlier epoch wrote; unknown fields are ignored, a missing one is refused. */
  static RentalIntent read(String charter, Map<String, Object> m) {
    RentalOption offer =
        new RentalOption(
            ProvisioningFields.text(m, "type"),
            ProvisioningFields.text(m, "zone"),
            Boolean.TRUE.equals(m.get("spot")));
    int count = (int) ProvisioningFields.whole(m, "n");
    if (count < 1) {
      throw new IllegalArgumentException("n: " + count);
    }
    RentalIntent intent =
        new RentalIntent(
            charter,
            ProvisioningFields.whole(m, "epoch"),
            offer,
            count,
            ProvisioningFields.whole(m, "at"),
            m.containsKey("ids") ? State.ANSWERED : State.WRITTEN);
    if (m.containsKey("ids")) {
      intent.named(ProvisioningFields.texts(m, "ids"));
    }
    return intent;
  }
}
