package org.eiderstair.core;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;

/**
 * The bounded list of machines that reported free room: the dispatcher's memory of the paper's section 3.1.
 * A machine is stored at most once, and not when the list is full; a later report tries again.
 */
final class TokenList {
  private final int capacity;
  private final LinkedHashSet<Machine> tokens = new LinkedHashSet<>();

  TokenList(int capacity) {
    this.capacity = capacity;
  }

  void offer(Machine machine) {
    if (tokens.size() < capacity) {
      tokens.add(machine);
    }
  }

  void remove(Machine machine) {
    tokens.remove(machine);
  }

  int size() {
    return tokens.size();
  }

  /** A uniformly random listed machine that passes; null when none does. */
  Machine draw(Predicate<Machine> fitting, IntUnaryOperator random) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine m : tokens) {
      if (fitting.test(m)) {
        candidates.add(m);
      }
    }
    return candidates.isEmpty() ? null : candidates.get(random.applyAsInt(candidates.size()));
  }
}
