package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValue;

/**
 * Pending records of rentals and releases. A record is durable before its request goes to the
 * cloud.
 */
final class PendingProvisioningRecords {
  private final Replica replica;
  private final int maxInBatch;
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** A value to be written (null removes the key) and the callbacks that wait for it. */
  private record Entry(StoredValue value, List<Runnable> onDurable) {}

  /**
   * @param maxInBatch the largest number of records in one transaction. The limit keeps hundreds of
   *     records from delaying job completions. Records go first, so completions do not delay them.
   */
  PendingProvisioningRecords(Replica replica, int maxInBatch) {
    this.replica = replica;
    this.maxInBatch = maxInBatch;
  }

  /**
   * Schedules the write of a value, or the removal of the key when the value is null. The value
   * replaces a pending value for the same key. Callbacks of the replaced value wait for the new
   * one.
   */
  void put(String key, StoredValue value, Runnable onDurable) {
    Entry earlier = entries.remove(key);
    List<Runnable> waiting = earlier == null ? new ArrayList<>() : earlier.onDurable();
    waiting.add(onDurable);
    entries.put(key, new Entry(value, waiting));
  }

  /** Adds pending records up to the limit; completes removals of absent keys at once. */
  void addTo(WriteBatch batch) {
    int remaining = Math.min(batch.remainingWrites(), maxInBatch);
    for (Map.Entry<String, Entry> pending : new ArrayList<>(entries.entrySet())) {
      if (remaining < 1) {
        return;
      }
      String key = pending.getKey();
      Entry entry = pending.getValue();
      Reply.Item known = replica.coordinationRecord(key);
      if (known == null && entry.value() == null) {
        entries.remove(key);
        entry.onDurable().forEach(Runnable::run);
        continue;
      }
      remaining--;
      batch.reserve(1);
      add(batch, key, entry, known == null ? Request.Condition.ABSENT : known.version());
    }
  }

  // Compares identity: an equal entry that was scheduled later still has to be written.
  @SuppressWarnings("ReferenceEquality")
  private void add(WriteBatch batch, String key, Entry entry, long knownVersion) {
    batch.require(key, knownVersion);
    if (entry.value() == null) {
      batch.remove(key);
    } else {
      batch.put(key, entry.value());
    }
    // Callbacks added while this value is in flight wait for the next value.
    List<Runnable> waiting = new ArrayList<>(entry.onDurable());
    batch.whenDurable(
        () -> {
          if (entries.get(key) == entry) {
            entries.remove(key);
          }
          entry.onDurable().removeAll(waiting);
          waiting.forEach(Runnable::run);
        });
  }
}
