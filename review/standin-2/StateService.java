import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service: keys with versions, transactions, leases and watches, within its limits. */
final class StateService {
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_ITEMS = 1000;
  private static final int MAX_LIST_BYTES = 512 * 1024;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

  private record Item(Object value, long version, long lease) {}

  private record Change(long revision, Map<String, Object> message) {}

  private static final class Lease {
    final long ttlMillis;
    double end;

    Lease(long ttlMillis) {
      this.ttlMillis = ttlMillis;
    }
  }

  /** A rate with a burst of one second's worth. */
  private static final class Rate {
    double perSecond;
    double tokens;
    double refilled;

    Rate(double perSecond) {
      this.perSecond = perSecond;
      this.tokens = perSecond;
    }

    boolean take(int count) {
      double now = Clock.now();
      tokens = Math.min(perSecond, tokens + (now - refilled) * perSecond);
      refilled = now;
      if (tokens < count) {
        return false;
      }
      tokens -= count;
      return true;
    }
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Rate requests;
  private final Rate writes;
  private final double latency;
  private int txnOps;
  private double valueKb;
  private long revision;
  private long lastLease;
  private long oldestKept;
  private int refusedAsTooLarge;

  StateService(double rps, double writeRps, double valueKb, int txnOps, double latency) {
    this.requests = new Rate(rps);
    this.writes = new Rate(writeRps);
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    this.latency = latency;
    Thread expiry =
        new Thread(
            () -> {
              while (true) {
                Clock.sleep(0.02);
                expireLeases();
              }
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  /** Lowers the limits, from now on. */
  synchronized void setLimits(double newValueKb, int newTxnOps, double newWriteRps) {
    valueKb = newValueKb;
    txnOps = newTxnOps;
    writes.perSecond = newWriteRps;
    writes.tokens = Math.min(writes.tokens, newWriteRps);
  }

  synchronized int refusedAsTooLarge() {
    return refusedAsTooLarge;
  }

  Net.Reply handle(
      String method, String path, Map<String, String> query, Map<String, Object> body) {
    Clock.sleep(latency);
    if (!takeRequest()) {
      return error(429, "too many requests");
    }
    if (path.equals("/watch")) {
      return watch(query);
    }
    synchronized (this) {
      if (path.startsWith("/store/") && method.equals("GET")) {
        return get(path.substring("/store/".length()));
      } else if (path.equals("/store") && method.equals("GET")) {
        return list(query);
      } else if (path.equals("/txn") && method.equals("POST")) {
        return transaction(body);
      } else if (path.equals("/leases") && method.equals("POST")) {
        return grant(body);
      } else if (path.startsWith("/leases/") && method.equals("POST") && path.endsWith("/touch")) {
        return touch(Long.parseLong(path.substring(8, path.length() - 6)));
      } else if (path.startsWith("/leases/") && method.equals("DELETE")) {
        return revoke(Long.parseLong(path.substring(8)));
      }
    }
    return error(400, "no such request");
  }

  private synchronized boolean takeRequest() {
    return requests.take(1);
  }

  private static Net.Reply error(int status, String text) {
    return new Net.Reply(status, Pack.map("error", text));
  }

  private Net.Reply get(String key) {
    Item item = items.get(key);
    if (item == null) {
      return new Net.Reply(404, Pack.map("LedgerRev", revision));
    }
    Map<String, Object> found = Pack.map("K", key, "Data", item.value(), "Stamp", item.version());
    if (item.lease() != 0) {
      found.put("Tenure", item.lease());
    }
    return new Net.Reply(200, found);
  }

  private Net.Reply list(Map<String, String> query) {
    String prefix = query.getOrDefault("Under", "");
    String after = query.getOrDefault("From", "");
    int page = Math.min(MAX_ITEMS, Integer.parseInt(query.getOrDefault("Page", "1000")));
    List<Object> entries = new ArrayList<>();
    boolean truncated = false;
    int bytes = 0;
    for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      Map<String, Object> item =
          Pack.map(
              "K", entry.getKey(),
              "Data", entry.getValue().value(),
              "Stamp", entry.getValue().version());
      bytes += Pack.jsonSize(item);
      if (entries.size() == page || (bytes > MAX_LIST_BYTES && !entries.isEmpty())) {
        truncated = true;
        break;
      }
      entries.add(item);
    }
    return new Net.Reply(
        200, Pack.map("Entries", entries, "Truncated", truncated, "LedgerRev", revision));
  }

  private Net.Reply transaction(Map<String, Object> body) {
    List<?> conditions = (List<?>) body.getOrDefault("When", List.of());
    List<?> changed = (List<?>) body.getOrDefault("Writes", List.of());
    if (changed.size() > txnOps
        || conditions.size() > 4 * txnOps
        || Pack.jsonSize(body) > MAX_TRANSACTION_BYTES) {
      refusedAsTooLarge++;
      return error(400, "transaction too large: " + changed.size() + " writes");
    }
    for (Object element : changed) {
      Map<?, ?> write = (Map<?, ?>) element;
      if (write.containsKey("Put") && Pack.jsonSize(write.get("Data")) > valueKb * 1024) {
        refusedAsTooLarge++;
        return error(400, "value too large");
      }
      if (write.get("Tenure") != null && !leases.containsKey(write.get("Tenure"))) {
        return error(400, "no such lease");
      }
    }
    if (!changed.isEmpty() && !writes.take(changed.size())) {
      return error(429, "too many changes");
    }
    List<Object> failed = new ArrayList<>();
    for (Object element : conditions) {
      Map<?, ?> condition = (Map<?, ?>) element;
      Item item = items.get((String) condition.get("K"));
      if ((item == null ? 0 : item.version()) != (Long) condition.get("Stamp")) {
        failed.add(condition.get("K"));
      }
    }
    if (!failed.isEmpty()) {
      return new Net.Reply(409, Pack.map("failed", failed, "LedgerRev", revision));
    }
    if (!changed.isEmpty()) {
      revision++;
      for (Object element : changed) {
        Map<?, ?> write = (Map<?, ?>) element;
        if (write.containsKey("Put")) {
          long lease = write.get("Tenure") == null ? 0 : (Long) write.get("Tenure");
          put((String) write.get("Put"), write.get("Data"), lease);
        } else {
          drop((String) write.get("Drop"));
        }
      }
      notifyAll();
    }
    return new Net.Reply(200, Pack.map("LedgerRev", revision));
  }

  private void put(String key, Object value, long lease) {
    items.put(key, new Item(value, revision, lease));
    addChange(Pack.map("Put", key, "Data", value, "Stamp", revision));
  }

  private void drop(String key) {
    if (items.remove(key) != null) {
      addChange(Pack.map("Drop", key, "Stamp", revision));
    }
  }

  private void addChange(Map<String, Object> message) {
    changes.add(new Change(revision, message));
    if (changes.size() > KEPT_CHANGES) {
      oldestKept = changes.poll().revision();
    }
  }

  private Net.Reply grant(Map<String, Object> body) {
    long ttl = (Long) body.get("TtlMs");
    if (ttl < 100 || ttl > 600_000) {
      return error(400, "TtlMs");
    }
    Lease lease = new Lease(ttl);
    lease.end = Clock.now() + ttl / 1000.0;
    leases.put(++lastLease, lease);
    return new Net.Reply(200, Pack.map("Tenure", lastLease));
  }

  private Net.Reply touch(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return error(404, "no such lease");
    }
    lease.end = Clock.now() + lease.ttlMillis / 1000.0;
    return new Net.Reply(200, new LinkedHashMap<>());
  }

  private Net.Reply revoke(long id) {
    if (leases.remove(id) == null) {
      return error(404, "no such lease");
    }
    dropAttached(id);
    return new Net.Reply(200, new LinkedHashMap<>());
  }

  private synchronized void expireLeases() {
    double now = Clock.now();
    for (Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
      if (now >= entry.getValue().end) {
        leases.remove(entry.getKey());
        dropAttached(entry.getKey());
      }
    }
  }

  private void dropAttached(long lease) {
    List<String> keys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease() == lease) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::drop);
      notifyAll();
    }
  }

  private Net.Reply watch(Map<String, String> query) {
    String prefix = query.getOrDefault("Under", "");
    long after = Long.parseLong(query.get("From"));
    double end =
        Clock.now() + Math.min(60_000, Long.parseLong(query.getOrDefault("HoldMs", "0"))) / 1000.0;
    synchronized (this) {
      while (true) {
        if (after < oldestKept) {
          return error(410, "too old");
        }
        List<Object> news = new ArrayList<>();
        for (Change change : changes) {
          String key =
              (String) change.message().getOrDefault("Put", change.message().get("Drop"));
          if (change.revision() > after && key.startsWith(prefix)) {
            news.add(change.message());
          }
        }
        double left = end - Clock.now();
        if (!news.isEmpty() || left <= 0) {
          return new Net.Reply(200, Pack.map("LedgerRev", revision, "News", news));
        }
        try {
          wait(Math.max(1, (long) (left * 1000)));
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }
  }
}
