package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValue;

/** Records of rentals and releases that are to be written before what they announce is done. */
final class PendingDuties {
  private final Replica replica;
  private final int maxInBatch;
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** A value to be written, null to remove the key, and who waits for that. */
  private record Entry(StoredValue value, List<Runnable> onDurable) {}

  /**
   * @param maxInBatch of one transaction: hundreds of records at once must not hold up completions,
   *     nor wait for hundreds of those
   */
  PendingDuties(Replica replica, int maxInBatch) {
    this.replica = replica;
    this.maxInBatch = maxInBatch;
  }

  /** The latest value counts; whoever waited for an earlier one waits for this one. */
  void put(String key, StoredValue value, Runnable onDurable) {
    Entry earlier = entries.remove(key);
    List<Runnable> waiting = earlier == null ? new ArrayList<>() : earlier.onDurable();
    waiting.add(onDurable);
    entries.put(key, new Entry(value, waiting));
  }

  void addTo(WriteBatch batch) {
    int left = Math.min(batch.room(), maxInBatch);
    for (Map.Entry<String, Entry> pending : new ArrayList<>(entries.entrySet())) {
      if (left < 1) {
        return;
      }
      String key = pending.getKey();
      Entry entry = pending.getValue();
      Reply.Item known = replica.dutyRecord(key);
      if (known == null && entry.value() == null) {
        entries.remove(key);
        entry.onDurable().forEach(Runnable::run);
        continue;
      }
      left--;
      batch.reserve(1);
      add(batch, key, entry, known == null ? Request.Condition.ABSENT : known.version());
    }
  }

  // The same object: an equal entry that was queued later still has to be written.
  @SuppressWarnings("ReferenceEquality")
  private void add(WriteBatch batch, String key, Entry entry, long knownVersion) {
    batch.require(key, knownVersion);
    if (entry.value() == null) {
      batch.remove(key);
    } else {
      batch.put(key, entry.value());
    }
    // Whoever comes while this value is on its way waits for the next.
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
