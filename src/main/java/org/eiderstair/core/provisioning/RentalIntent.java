package org.eiderstair.core.provisioning;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.record.RentalIntentRecord;

/**
 * A rental of machines, made durable before the cloud is called. A later leader repeats the same
 * idempotent request and learns the rented machines, instead of renting them twice. The cloud does
 * not check fencing tokens, so the request id fences the rental.
 */
final class RentalIntent {

  /** The progress of a rental. */
  enum State {
    /** The rental record is being written. */
    DECIDED,

    /** The rental record is durable, so the machines may be requested. */
    DURABLE,

    /**
     * The request was sent. Without an answer the rental returns to {@link #DURABLE} and the
     * request is repeated with the same id.
     */
    REQUESTED,

    /** The machines are known, but some are neither registered nor terminated yet. */
    GRANTED,

    /** All machines are registered or terminated, or the cloud granted none. */
    SETTLED
  }

  private final RentalRequest request;
  private final long term;
  private final long decidedWallClockMicros;
  private State state;
  private long retryAtMicros;

  /** All machines that the cloud granted. */
  private final List<String> machines = new ArrayList<>();

  /** The granted machines that are neither registered nor terminated yet. */
  private final Set<String> unsettled = new LinkedHashSet<>();

  /**
   * @param term the term that decided the rental; a later term may settle it
   * @param decidedWallClockMicros the wall-clock time of the decision
   */
  RentalIntent(RentalRequest request, long term, long decidedWallClockMicros, State state) {
    this.request = request;
    this.term = term;
    this.decidedWallClockMicros = decidedWallClockMicros;
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

  long decidedWallClockMicros() {
    return decidedWallClockMicros;
  }

  State state() {
    return state;
  }

  /**
   * Changes the state.
   *
   * @throws IllegalStateException if the transition is not allowed
   */
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
      throw new IllegalStateException(
          "illegal transition of rental request=" + requestId() + ": " + state + " -> " + next);
    }
    state = next;
  }

  /** Returns whether the machines should be requested now. */
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
   * Records that a machine is registered or terminated.
   *
   * @return whether all machines of a granted rental are now registered or terminated
   */
  boolean settle(String machine) {
    unsettled.remove(machine);
    return state == State.GRANTED && unsettled.isEmpty();
  }

  /** Returns the count and the rental option as key=value pairs, for the log. */
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

  /** Returns the rental as a record for the state service, with the unsettled machines only. */
  RentalIntentRecord record() {
    RentalOption option = request.option();
    return new RentalIntentRecord(
        option.type(),
        option.zone(),
        option.spot(),
        request.count(),
        term,
        decidedWallClockMicros,
        state == State.GRANTED ? List.copyOf(unsettled) : null);
  }

  /** Creates a rental from the record of an earlier term. */
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
