package org.eiderstair.core.standby;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eiderstair.core.message.ReplicationBatch;

/** The standby's side: a leader's picture, as far as it was acknowledged. */
final class StandbyReplica {

  /**
   * EMPTY has nothing of use. FILLING has the beginning of a picture. FOLLOWING has a whole one,
   * and acknowledges. FROZEN has a whole one that does not change any more: this node stands, so it
   * acknowledges nothing of older terms.
   */
  enum State {
    EMPTY,
    FILLING,
    FOLLOWING,
    FROZEN
  }

  /** A task on a machine. */
  record Task(String job, int index) {}

  /** What may be on a machine in its latest session. */
  static final class Held {
    long incarnation;
    final Map<Task, Long> attempts = new LinkedHashMap<>();
  }

  private State state = State.EMPTY;
  private long term;
  private long filling;
  private long last;
  private final Map<String, Held> machines = new HashMap<>();

  State state() {
    return state;
  }

  long term() {
    return term;
  }

  Map<String, Held> machines() {
    return machines;
  }

  /** The one function for every change of state. */
  private void become(State next) {
    state = next;
  }

  /** Takes a batch; true when all up to its end is here now. */
  boolean receive(ReplicationBatch batch) {
    boolean newer = batch.term() > term || batch.term() == term && batch.filling() > filling;
    if (!newer
        && (batch.term() < term
            || batch.filling() < filling
            || state == State.EMPTY
            || state == State.FROZEN)) {
      return false;
    }
    if (newer) {
      if (batch.first() != 1) {
        return false;
      }
      term = batch.term();
      filling = batch.filling();
      last = 0;
      machines.clear();
      become(State.FILLING);
    }
    if (batch.first() > last + 1) {
      // A gap: what is missing may be on a machine, so this picture is worth nothing.
      forget();
      return false;
    }
    long number = batch.first();
    for (ReplicationBatch.Change change : batch.changes()) {
      if (number++ > last) {
        apply(change);
      }
    }
    boolean repeated = batch.last() < last;
    last = Math.max(last, batch.last());
    if (!batch.more() && !repeated && state == State.FILLING) {
      become(State.FOLLOWING);
    }
    return true;
  }

  private void apply(ReplicationBatch.Change c) {
    Held held = machines.computeIfAbsent(c.machine(), m -> new Held());
    if (c.job().isEmpty()) {
      if (c.there()) {
        held.incarnation = Math.max(held.incarnation, c.incarnation());
      } else {
        machines.remove(c.machine());
      }
    } else if (c.there()) {
      held.incarnation = Math.max(held.incarnation, c.incarnation());
      held.attempts.put(new Task(c.job(), c.index()), c.attempt());
    } else {
      held.attempts.remove(new Task(c.job(), c.index()), c.attempt());
    }
  }

  /** This node stands: from now on nothing of this or an older term is acknowledged. */
  void freeze() {
    if (state == State.FOLLOWING) {
      become(State.FROZEN);
    } else if (state == State.FILLING) {
      forget();
    }
  }

  /** Nothing of it is of use any more; a later filling begins anew. */
  void forget() {
    machines.clear();
    become(State.EMPTY);
  }
}
