package org.eiderstair.core;

import java.util.ArrayList;
import java.util.List;

/**
 * The bounded list of machines that reported free room: the dispatcher's memory of the paper's
 * section 3.1. A machine is stored at most once, and not when the list is full; a later report
 * tries again.
 */
final class TokenList {
  private final int capacity;
  private final List<Machine> tokens = new ArrayList<>();

  TokenList(int capacity) {
    this.capacity = capacity;
  }

  void offer(Machine machine) {
    if (machine.tokenIndex < 0 && tokens.size() < capacity) {
      machine.tokenIndex = tokens.size();
      tokens.add(machine);
    }
  }

  void remove(Machine machine) {
    if (machine.tokenIndex < 0) {
      return;
    }
    Machine last = tokens.remove(tokens.size() - 1);
    if (last != machine) {
      tokens.set(machine.tokenIndex, last);
      last.tokenIndex = machine.tokenIndex;
    }
    machine.tokenIndex = -1;
  }

  List<Machine> all() {
    return tokens;
  }
}
