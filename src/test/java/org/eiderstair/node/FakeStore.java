package org.eiderstair.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * In-memory fake of the state service's keys. It supports one writing node at a time, and leases
 * never expire.
 */
final class FakeStore {
  private static final long LEASE_ID = 7;

  private record Item(Map<String, Object> value, long version) {}

  /** The result of a read or a transaction: the HTTP status and the body of the answer. */
  record Outcome(int status, Map<String, Object> body) {}

  private final TreeMap<String, Item> items = new TreeMap<>();

  /** The keys changed at each revision. */
  private final TreeMap<Long, List<String>> changes = new TreeMap<>();

  private long revision;

  /** Returns a key's value and version, or status 404. */
  Outcome get(String key) {
    Item item = items.get(key);
    return item == null
        ? new Outcome(404, Map.of("LedgerRev", revision))
        : new Outcome(200, Map.of("K", key, "Data", item.value(), "Stamp", item.version()));
  }

  /** Returns the page of keys after {@code after}; from the first key if it is null. */
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

  /** Returns all changes after a revision. */
  Map<String, Object> changesAfter(long after) {
    List<Object> events = new ArrayList<>();
    changes
        .tailMap(after, false)
        .forEach(
            (changeRevision, keys) -> keys.forEach(key -> events.add(event(key, changeRevision))));
    return Map.of("LedgerRev", revision, "News", events);
  }

  private Map<String, Object> event(String key, long changeRevision) {
    Item item = items.get(key);
    return item == null
        ? Map.of("Drop", key, "Stamp", changeRevision)
        : Map.of("Put", key, "Data", item.value(), "Stamp", item.version());
  }

  Map<String, Object> grantLease() {
    return Map.of("Tenure", LEASE_ID);
  }

  /** Commits a transaction, or returns status 409 with the keys whose conditions failed. */
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
    Map<String, Map<String, Object>> writes = new HashMap<>();
    for (Object element : (List<?>) transaction.get("Writes")) {
      Map<?, ?> write = (Map<?, ?>) element;
      @SuppressWarnings("unchecked")
      Map<String, Object> value = (Map<String, Object>) write.get("Data");
      writes.put((String) (write.containsKey("Put") ? write.get("Put") : write.get("Drop")), value);
    }
    if (!writes.isEmpty()) {
      put(writes);
    }
    return new Outcome(200, Map.of("LedgerRev", revision));
  }

  /** Writes all values at one new revision; removes the keys whose value is null. */
  void put(Map<String, Map<String, Object>> writes) {
    revision++;
    writes.forEach(
        (key, value) -> {
          if (value == null) {
            items.remove(key);
          } else {
            items.put(key, new Item(value, revision));
          }
        });
    changes.put(revision, List.copyOf(writes.keySet()));
  }
}
