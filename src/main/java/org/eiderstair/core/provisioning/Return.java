package org.eiderstair.core.provisioning;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Machines that are given back together. The mark is durable before the cloud is asked: no epoch
 * places anything on a marked machine, so a request that arrives minutes late, from a holder that
 * was replaced, hits nothing in use.
 */
final class Return {

  /**
   * DECIDED is being written. MARKED is durable and may be asked for. ASKED may have been carried
   * out, now or later; with no answer it is asked again. GONE was confirmed; the mark stays while
   * old lists may still show the machines and until the roster has forgotten them. SETTLED is over.
   */
  enum State {
    DECIDED,
    MARKED,
    ASKED,
    GONE,
    SETTLED
  }

  final String name;
  final long epoch;
  private final Set<String> machines;
  private State state;

  /** No request under this mark was ever sent, or each was certainly not carried out. */
  private boolean untouched;

  /** The record is being written anew, without a machine that was taken back. */
  boolean rewriting;

  long notBeforeMicros;
  long goneMicros;

  Return(String name, long epoch, Collection<String> machines, State state) {
    this.name = name;
    this.epoch = epoch;
    this.machines = new LinkedHashSet<>(machines);
    this.state = state;
    this.untouched = state == State.DECIDED;
  }

  State state() {
    return state;
  }

  Set<String> machines() {
    return machines;
  }

  /** The one function for every change of state. */
  void become(State next) {
    boolean legal =
        switch (next) {
          case DECIDED -> false;
          case MARKED -> state == State.DECIDED || state == State.ASKED;
          case ASKED -> state == State.MARKED && !rewriting;
          case GONE -> state == State.ASKED;
          case SETTLED -> state == State.GONE || machines.isEmpty();
        };
    if (!legal) {
      throw new IllegalStateException("return " + name + ": " + state + " -> " + next);
    }
    state = next;
  }

  /** A request leaves: says whether none could reach the machines before it. */
  boolean touch() {
    boolean before = untouched;
    untouched = false;
    return before;
  }

  /** That request, the first, was certainly not carried out. */
  void untouch() {
    untouched = true;
  }

  /**
   * Whether a machine may be kept after all: no request that could still hit it may be on its way.
   */
  boolean mayTakeBack() {
    return untouched && (state == State.DECIDED || state == State.MARKED);
  }

  Map<String, Object> record() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("epoch", epoch);
    m.put("ids", List.copyOf(machines));
    return m;
  }

  /**
   * Reads an earlier epoch's mark. Whether its request left is not known, so it is finished in any
   * case.
   */
  static Return read(String name, Map<String, Object> m) {
    Return r =
        new Return(
            name,
            ProvisioningFields.whole(m, "epoch"),
            ProvisioningFields.texts(m, "ids"),
            State.MARKED);
    r.untouched = false;
    return r;
  }
}
