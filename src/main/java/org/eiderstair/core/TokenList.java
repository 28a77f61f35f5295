package org.eiderstair.core;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

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

  /** A uniformly random machine among those that pass and are liked best; null when none passes. */
  Machine draw(Predicate<Machine> fitting, ToIntFunction<Machine> liking, IntUnaryOperator random) {
    List<Machine> best = new ArrayList<>();
    int bestLiking = Integer.MIN_VALUE;
    for (Machine m : tokens) {
      if (!fitting.test(m)) {
        continue;
      }
      int liked = liking.applyAsInt(m);
      if (liked > bestLiking) {
        best.clear();
        bestLiking = liked;
      }
      if (liked == bestLiking) {
        best.add(m);
      }
    }
    return best.isEmpty() ? null : best.get(random.applyAsInt(best.size()));
  }
}
