package org.eiderstair.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the state service's keys: one node at a time writes, and leases never expire. */
final class FakeStore {
  private static final long LEASE = 7;

  private record Item(Map<String, Object> value, long version) {}

  /** What a transaction gave: the status of its answer and its body. */
  record Outcome(int status, Map<String, Object> body) {}

  private final TreeMap<String, Item> items = new TreeMap<>();

  /** The keys that were changed at each revision. */
  private final TreeMap<Long, List<String>> changes = new TreeMap<>();

  private long revision;

  Outcome get(String key) {
    Item item = items.get(key);
    return item == null
        ? new Outcome(404, Map.of("LedgerRev", revision))
        : new Outcome(200, Map.of("K", key, "Data", item.value(), "Stamp", item.version()));
  }

  /** A page of keys, from the first where {@code after} is null. */
  Map<String, Object> list(String after, int pageSize) {
    List<Object> entries = new ArrayList<>();
    for (Map.Entry<String, Item> entry :
        items.tailMap(after == null ? "" : after, after == null).entrySet()) {
      if (entries.size() < pageSize) {
        Item item = entry.getValue();
        entries.add(Map.of("K", entry.getKey(), "Data", item.value(), "Stamp", item.version()));
      }
    }
    return Map.of(
        "Entries", entries, "Truncated", entries.size() == pageSize, "LedgerRev", revision);
  }

  /** All changes after a revision. */
  Map<String, Object> changesAfter(long after) {
    List<Object> events = new ArrayList<>();
    changes
        .tailMap(after, false)
        .forEach((changedAt, keys) -> keys.forEach(key -> events.add(event(key, changedAt))));
    return Map.of("LedgerRev", revision, "News", events);
  }

  private Map<String, Object> event(String key, long changedAt) {
    Item item = items.get(key);
    return item == null
        ? Map.of("Drop", key, "Stamp", changedAt)
        : Map.of("Put", key, "Data", item.value(), "Stamp", item.version());
  }

  Map<String, Object> grantLease() {
    return Map.of("Tenure", LEASE);
  }

  Outcome commit(Map<String, Object> transaction) {
    List<Object> failed = new ArrayList<>();
    for (Object element : (List<?>) transaction.get("When")) {
      Map<?, ?> condition = (Map<?, ?>) element;
      Item item = items.get((String) condition.get("K"));
      if ((item == null ? 0 : item.version()) != (Long) condition.get("Stamp")) {
        failed.add(condition.get("K"));
      }
    }
    if (!failed.isEmpty()) {
      return new Outcome(409, Map.of("failed", failed, "LedgerRev", revision));
    }
    Map<String, Map<String, Object>> puts = new HashMap<>();
    for (Object element : (List<?>) transaction.get("Writes")) {
      Map<?, ?> write = (Map<?, ?>) element;
      @SuppressWarnings("unchecked")
      Map<String, Object> value = (Map<String, Object>) write.get("Data");
      puts.put((String) (write.containsKey("Put") ? write.get("Put") : write.get("Drop")), value);
    }
    if (!puts.isEmpty()) {
      put(puts);
    }
    return new Outcome(200, Map.of("LedgerRev", revision));
  }

  /** Puts values at one revision; a key whose value is null is removed. */
  void put(Map<String, Map<String, Object>> puts) {
    revision++;
    puts.forEach(
        (key, value) -> {
          if (value == null) {
            items.remove(key);
          } else {
            items.put(key, new Item(value, revision));
          }
        });
    changes.put(revision, List.copyOf(puts.keySet()));
  }
}
