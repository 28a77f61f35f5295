package org.eiderstair.core.provisioning;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.record.ReleaseRecord;

/**
 * Machines that are released together. The record that names them is durable before the cloud is
 * asked, and no term places anything on a machine that it names: a request that arrives minutes
 * late, from a leader that was replaced, deletes nothing in use.
 */
final class MachineRelease {

  /**
   * DECIDED is being written. DURABLE may be requested. REQUESTED may have been carried out, now or
   * later; without an answer it is requested again. TERMINATED was confirmed; the record stays
   * while old lists of the cloud may show the machines and while one of them is registered. SETTLED
   * is over.
   */
  enum State {
    DECIDED,
    DURABLE,
    REQUESTED,
    TERMINATED,
    SETTLED
  }

  private final String name;
  private final long term;
  private final Set<String> machines;
  private State state;

  /** No request for these machines was ever sent, or each was certainly not carried out. */
  private boolean neverRequested;

  /** The record is being written without a machine that is kept after all. */
  private boolean cancelling;

  private long retryAtMicros;
  private long terminatedMicros;

  MachineRelease(String name, long term, Collection<String> machines, State state) {
    this.name = name;
    this.term = term;
    this.machines = new LinkedHashSet<>(machines);
    this.state = state;
    this.neverRequested = state == State.DECIDED;
  }

  String name() {
    return name;
  }

  long term() {
    return term;
  }

  State state() {
    return state;
  }

  Set<String> machines() {
    return machines;
  }

  /** The one function for every change of state. */
  void transition(State next) {
    boolean legal =
        switch (next) {
          case DECIDED -> false;
          case DURABLE -> state == State.DECIDED || state == State.REQUESTED;
          case REQUESTED -> state == State.DURABLE && !cancelling;
          case TERMINATED -> state == State.REQUESTED;
          case SETTLED -> state == State.TERMINATED || machines.isEmpty();
        };
    if (!legal) {
      throw new IllegalStateException("release " + name + ": " + state + " -> " + next);
    }
    state = next;
  }

  /** Whether the cloud may be asked now. */
  boolean isDue(long nowMicros) {
    return state == State.DURABLE
        && !cancelling
        && !machines.isEmpty()
        && nowMicros >= retryAtMicros;
  }

  void retryAt(long micros) {
    retryAtMicros = micros;
  }

  /**
   * A request is sent.
   *
   * @return whether no request before it can have reached the machines
   */
  boolean beginRequest() {
    boolean first = neverRequested;
    neverRequested = false;
    return first;
  }

  /** The first request was certainly not carried out. */
  void undoFirstRequest() {
    neverRequested = true;
  }

  void terminatedAt(long micros) {
    terminatedMicros = micros;
  }

  /** Whether old lists of the cloud can show the machines no longer. */
  boolean isTombstoneOver(long nowMicros, long tombstoneMicros) {
    return state == State.TERMINATED && nowMicros > terminatedMicros + tombstoneMicros;
  }

  /** Whether a machine may be kept: no request that could still delete it may be on its way. */
  boolean mayCancel() {
    return neverRequested && (state == State.DECIDED || state == State.DURABLE);
  }

  /** The machine is kept; no request is sent until the record without it is durable. */
  void beginCancel(String machine) {
    machines.remove(machine);
    cancelling = true;
  }

  void endCancel() {
    cancelling = false;
  }

  /** Its stored form. */
  ReleaseRecord record() {
    return new ReleaseRecord(term, List.copyOf(machines));
  }

  /**
   * Takes over the record of an earlier term. Whether its request was sent is not known, so it is
   * finished in any case.
   */
  static MachineRelease of(String name, ReleaseRecord record) {
    MachineRelease release =
        new MachineRelease(name, record.term(), record.machines(), State.DURABLE);
    release.neverRequested = false;
    return release;
  }
}
