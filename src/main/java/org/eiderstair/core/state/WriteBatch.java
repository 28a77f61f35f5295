package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValue;

/**
 * One transaction while it is put together: every write demands the version of its key that is
 * known, and somebody may wait for it.
 */
final class WriteBatch {
  private final List<Request.Condition> conditions = new ArrayList<>();
  private final List<Request.Write> writes = new ArrayList<>();
  private final List<Runnable> onDurable = new ArrayList<>();
  private int room;

  /**
   * @param room how many writes it may hold
   */
  WriteBatch(int room) {
    this.room = room;
  }

  int room() {
    return room;
  }

  /**
   * Takes room for writes that must go together. Once some do not fit, the batch is full for what
   * comes later too, which may be smaller: else that would go first again and again.
   */
  boolean reserve(int count) {
    if (room < count) {
      room = 0;
      return false;
    }
    room -= count;
    return true;
  }

  /** Demands a version of a key; {@link Request.Condition#ABSENT} that it does not exist. */
  void require(String key, long version) {
    conditions.add(new Request.Condition(key, version));
  }

  /** Puts a value. */
  void put(String key, StoredValue value) {
    writes.add(Request.Write.put(key, value));
  }

  /** Removes a key. */
  void remove(String key) {
    writes.add(Request.Write.delete(key));
  }

  /** Runs once all of the batch is durable, in the order of these calls. */
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

  /** All of it is durable. */
  void complete() {
    onDurable.forEach(Runnable::run);
  }
}
