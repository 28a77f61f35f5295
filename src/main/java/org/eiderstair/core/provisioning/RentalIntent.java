package org.eiderstair.core.provisioning;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.record.RentalIntentRecord;

/**
 * One rental. It is durable before the cloud is asked, so that a successor repeats the same
 * idempotent request and learns what was rented, instead of renting it twice. The cloud checks no
 * fencing token: the request id is what fences.
 */
final class RentalIntent {

  /**
   * DECIDED is being written. DURABLE may be requested. REQUESTED waits for the cloud; without an
   * answer it is DURABLE again and requested under the same id. GRANTED knows its machines, which
   * are not all registered yet. SETTLED is over: its machines are all registered or terminated, or
   * the cloud had none.
   */
  enum State {
    DECIDED,
    DURABLE,
    REQUESTED,
    GRANTED,
    SETTLED
  }

  private final RentalRequest request;
  private final long term;
  private final long decidedDayMicros;
  private State state;
  private long retryAtMicros;

  /** All machines that the cloud has named. */
  private final List<String> machines = new ArrayList<>();

  /** Those of them that are neither registered nor terminated yet. */
  private final Set<String> unsettled = new LinkedHashSet<>();

  /**
   * @param term the term that decided it; the one that settles it may be a later one
   * @param decidedDayMicros the time of day at which it was decided
   */
  RentalIntent(RentalRequest request, long term, long decidedDayMicros, State state) {
    this.request = request;
    this.term = term;
    this.decidedDayMicros = decidedDayMicros;
    this.state = state;
  }

  RentalRequest request() {
    return request;
  }

  String requestId() {
    return request.requestId();
  }

  long term() {
    return term;
  }

  long decidedDayMicros() {
    return decidedDayMicros;
  }

  State state() {
    return state;
  }

  /** The one function for every change of state. */
  void transition(State next) {
    boolean legal =
        switch (next) {
          case DECIDED -> false;
          case DURABLE -> state == State.DECIDED || state == State.REQUESTED;
          case REQUESTED -> state == State.DURABLE;
          case GRANTED -> state == State.REQUESTED;
          case SETTLED -> state == State.REQUESTED || state == State.GRANTED;
        };
    if (!legal) {
      throw new IllegalStateException("rental " + requestId() + ": " + state + " -> " + next);
    }
    state = next;
  }

  /** Whether the cloud may be asked now. */
  boolean isDue(long nowMicros) {
    return state == State.DURABLE && nowMicros >= retryAtMicros;
  }

  void retryAt(long micros) {
    retryAtMicros = micros;
  }

  void addMachines(List<String> names) {
    machines.addAll(names);
    unsettled.addAll(names);
  }

  List<String> machines() {
    return machines;
  }

  /**
   * The machine is registered or terminated.
   *
   * @return whether that now holds for all machines of the rental
   */
  boolean settle(String machine) {
    unsettled.remove(machine);
    return state == State.GRANTED && unsettled.isEmpty();
  }

  /** Its fields for the log. */
  String describe() {
    RentalOption option = request.option();
    return "count="
        + request.count()
        + " type="
        + option.type()
        + " zone="
        + option.zone()
        + " spot="
        + option.spot();
  }

  /** Its stored form, which names only machines that are not settled. */
  RentalIntentRecord record() {
    RentalOption option = request.option();
    return new RentalIntentRecord(
        option.type(),
        option.zone(),
        option.spot(),
        request.count(),
        term,
        decidedDayMicros,
        state == State.GRANTED ? List.copyOf(unsettled) : null);
  }

  /** Takes over what an earlier term wrote. */
  static RentalIntent of(String requestId, RentalIntentRecord record) {
    RentalOption option = new RentalOption(record.type(), record.zone(), record.spot());
    RentalIntent intent =
        new RentalIntent(
            new RentalRequest(requestId, option, record.count()),
            record.term(),
            record.decidedWallClockMicros(),
            record.granted() ? State.GRANTED : State.DURABLE);
    if (record.granted()) {
      intent.addMachines(record.machines());
    }
    return intent;
  }
}
