package org.eiderstair.core.provisioning;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.record.ReleaseRecord;

/**
 * A group of machines that are released together. The record that names the machines is durable
 * before the deletion is requested. No term places tasks on a machine named in the record. A
 * deletion request of a replaced leader that arrives minutes late therefore deletes no machine in
 * use.
 */
final class MachineRelease {

  /** The progress of a release. */
  enum State {
    /** The release record is being written. */
    DECIDED,

    /** The release record is durable, so the deletion may be requested. */
    DURABLE,

    /**
     * The deletion request was sent. The request may be executed now or later, and is repeated if
     * no answer arrives.
     */
    REQUESTED,

    /**
     * The cloud confirmed the deletion. The record is kept while stale lists of the cloud may
     * contain the machines and while one of them is registered.
     */
    TERMINATED,

    /** The release is complete or cancelled, and its record is removed. */
    SETTLED
  }

  private final String name;
  private final long term;
  private final Set<String> machines;
  private State state;

  /**
   * Whether no deletion request can have reached the machines: none was sent, or each was refused.
   */
  private boolean neverRequested;

  /** Whether the record is being rewritten without a machine whose release was cancelled. */
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
          case REQUESTED -> state == State.DURABLE && !cancelling;
          case TERMINATED -> state == State.REQUESTED;
          case SETTLED -> state == State.TERMINATED || machines.isEmpty();
        };
    if (!legal) {
      throw new IllegalStateException(
          "illegal transition of release request=" + name + ": " + state + " -> " + next);
    }
    state = next;
  }

  /** Returns whether the deletion should be requested now. */
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
   * Records that a deletion request is sent.
   *
   * @return whether no earlier request can have reached the machines
   */
  boolean beginRequest() {
    boolean first = neverRequested;
    neverRequested = false;
    return first;
  }

  /** Records that the first request was refused, so it was certainly not executed. */
  void undoFirstRequest() {
    neverRequested = true;
  }

  void recordTermination(long micros) {
    terminatedMicros = micros;
  }

  /** Returns whether stale lists of the cloud can no longer contain the machines. */
  boolean isTombstoneExpired(long nowMicros, long tombstoneRetentionMicros) {
    return state == State.TERMINATED && nowMicros > terminatedMicros + tombstoneRetentionMicros;
  }

  /** Returns whether a machine may be kept, because no deletion request can be in flight. */
  boolean mayCancel() {
    return neverRequested && (state == State.DECIDED || state == State.DURABLE);
  }

  /**
   * Removes a machine whose release is cancelled. No request is sent until the record without it is
   * durable.
   */
  void beginCancel(String machine) {
    machines.remove(machine);
    cancelling = true;
  }

  /** Allows requests again, because the record without the kept machine is durable. */
  void endCancel() {
    cancelling = false;
  }

  /** Returns the release as a record for the state service. */
  ReleaseRecord record() {
    return new ReleaseRecord(term, List.copyOf(machines));
  }

  /**
   * Creates a release from the record of an earlier term. The earlier leader may have sent its
   * deletion request, so the release can no longer be cancelled.
   */
  static MachineRelease of(String name, ReleaseRecord record) {
    MachineRelease release =
        new MachineRelease(name, record.term(), record.machines(), State.DURABLE);
    release.neverRequested = false;
    return release;
  }
}
