package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValue;

/**
 * A builder of one transaction. Every write requires the known version of its key and may have a
 * callback that runs once the write is durable.
 *
 * <p>A transaction that only creates keys is repeatable: once the keys are removed again, a copy of
 * it would be committed a second time. A batch keeps one write free until it changes a version that
 * it requires, so that the owner can add such a change.
 */
final class WriteBatch {
  private final List<Request.Condition> conditions = new ArrayList<>();
  private final List<Request.Write> writes = new ArrayList<>();
  private final List<Runnable> onDurable = new ArrayList<>();
  private int remainingWrites;
  private boolean repeatable = true;

  /**
   * @param maxWrites how many writes the batch may hold
   */
  WriteBatch(int maxWrites) {
    remainingWrites = maxWrites - 1;
  }

  /** Returns whether a copy of the transaction could be committed once its keys are removed. */
  boolean isRepeatable() {
    return repeatable;
  }

  /** Returns how many more writes can be reserved. */
  int remainingWrites() {
    return remainingWrites;
  }

  /**
   * Reserves room for writes that must be in the same transaction. If they do not fit, the batch
   * counts as full, so that later, smaller writes cannot repeatedly go first.
   *
   * @return whether the writes fit
   */
  boolean reserve(int count) {
    if (remainingWrites < count) {
      remainingWrites = 0;
      return false;
    }
    remainingWrites -= count;
    return true;
  }

  /** Requires a version of a key, or its absence with {@link Request.Condition#ABSENT}. */
  void require(String key, long version) {
    conditions.add(new Request.Condition(key, version));
  }

  /** Adds a write of a value. */
  void put(String key, StoredValue value) {
    noteWrite(key);
    writes.add(Request.Write.put(key, value));
  }

  /** Adds the removal of a key. */
  void remove(String key) {
    noteWrite(key);
    writes.add(Request.Write.delete(key));
  }

  private void noteWrite(String key) {
    if (repeatable && requiresVersion(key)) {
      repeatable = false;
      remainingWrites++;
    }
  }

  private boolean requiresVersion(String key) {
    return conditions.stream()
        .anyMatch(
            condition ->
                condition.key().equals(key) && condition.version() != Request.Condition.ABSENT);
  }

  /**
   * Adds a callback that runs once the batch is durable, in the order in which callbacks were
   * added.
   */
  void whenDurable(Runnable callback) {
    onDurable.add(callback);
  }

  boolean hasWrites() {
    return !writes.isEmpty();
  }

  List<Request.Condition> conditions() {
    return conditions;
  }

  List<Request.Write> writes() {
    return writes;
  }

  /** Runs the callbacks; called once the whole batch is durable. */
  void complete() {
    onDurable.forEach(Runnable::run);
  }
}
