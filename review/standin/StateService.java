import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol: keys, transactions, leases, watches and the two limits. */
final class StateService implements Http.Handler {
  private static final int MAX_BODY = 64 * 1024;
  private static final int MAX_LIST_BYTES = 512 * 1024;
  private static final int KEPT_CHANGES = 10_000;

  private record Item(Object data, long stamp, long lease, int size) {}

  private record Change(String key, boolean put, Object data, long stamp) {}

  private final long latencyMillis;
  private final int txnOps;
  private final int valueBytes;
  private final Bucket requests;
  private final Bucket writes;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private long revision;
  private long droppedThrough;
  private long lastLease;
  private volatile int refusedByLimit;

  StateService(double rps, double writeRps, int valueKb, int txnOps, long firstRevision) {
    this(rps, writeRps, valueKb, txnOps, firstRevision, 5);
  }

  /** A state service that answers after so many milliseconds. */
  StateService(
      double rps,
      double writeRps,
      int valueKb,
      int txnOps,
      long firstRevision,
      long latencyMillis) {
    this.latencyMillis = latencyMillis;
    this.txnOps = txnOps;
    this.valueBytes = valueKb * 1024;
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.revision = firstRevision;
    this.droppedThrough = firstRevision;
    Http.daemon("leases", this::expireLeases);
  }

  /** A rate limit that allows bursts of one second's worth. */
  static final class Bucket {
    private final double rate;
    private final double burst;
    private double tokens;
    private long lastNanos = System.nanoTime();

    Bucket(double rate) {
      this(rate, rate);
    }

    Bucket(double rate, double burst) {
      this.rate = rate;
      this.burst = burst;
      this.tokens = burst;
    }

    synchronized boolean take(double count) {
      long now = System.nanoTime();
      tokens = Math.min(burst, tokens + (now - lastNanos) / 1e9 * rate);
      lastNanos = now;
      if (tokens < count) {
        return false;
      }
      tokens -= count;
      return true;
    }
  }

  /** Puts a key as an earlier transaction did, without a change that a watch could still show. */
  synchronized void preload(String key, Map<String, Object> data) {
    revision++;
    droppedThrough = revision;
    items.put(key, new Item(data, revision, 0, MsgPack.jsonSize(data)));
  }

  synchronized long revision() {
    return revision;
  }

  int refusedByLimit() {
    return refusedByLimit;
  }

  synchronized Object data(String key) {
    Item item = items.get(key);
    return item == null ? null : item.data();
  }

  @Override
  public Http.Response handle(Http.Request request) throws Exception {
    Thread.sleep(latencyMillis);
    if (!requests.take(1)) {
      refusedByLimit++;
      return Http.Response.of(429, Map.of("error", "rate"));
    }
    String path = request.path();
    if (path.equals("/txn")) {
      return transaction(request);
    } else if (path.equals("/watch")) {
      return watch(request);
    } else if (path.equals("/store")) {
      return list(request);
    } else if (path.startsWith("/store/")) {
      return getKey(path);
    } else if (path.startsWith("/leases")) {
      return lease(request);
    }
    return Http.Response.of(400, Map.of("error", "no such path"));
  }

  private synchronized Http.Response getKey(String path) {
    String key = path.substring("/store/".length());
    Item item = items.get(key);
    if (item == null) {
      return Http.Response.of(404, Map.of("LedgerRev", revision));
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("K", key);
    answer.put("Data", item.data());
    answer.put("Stamp", item.stamp());
    if (item.lease() != 0) {
      answer.put("Tenure", item.lease());
    }
    return Http.Response.of(200, answer);
  }

  private synchronized Http.Response list(Http.Request request) {
    String under = request.query().getOrDefault("Under", "");
    String from = request.query().get("From");
    int page = Math.min(1000, Integer.parseInt(request.query().getOrDefault("Page", "1000")));
    List<Object> entries = new ArrayList<>();
    boolean truncated = false;
    int size = 0;
    for (Map.Entry<String, Item> entry :
        items.tailMap(from == null ? under : from, from == null).entrySet()) {
      if (!entry.getKey().startsWith(under)) {
        break;
      }
      int entrySize = entry.getValue().size() + entry.getKey().length() + 60;
      if (entries.size() >= page || size + entrySize > MAX_LIST_BYTES) {
        truncated = true;
        break;
      }
      size += entrySize;
      entries.add(
          Map.of(
              "K", entry.getKey(), "Data", entry.getValue().data(), "Stamp", entry.getValue().stamp()));
    }
    return Http.Response.of(
        200, Map.of("Entries", entries, "Truncated", truncated, "LedgerRev", revision));
  }

  private synchronized Http.Response transaction(Http.Request request) {
    Map<String, Object> message = MsgPack.readMap(request.body());
    List<?> when = (List<?>) message.getOrDefault("When", List.of());
    List<?> ops = (List<?>) message.getOrDefault("Writes", List.of());
    if (ops.size() > txnOps || when.size() > 4 * txnOps || MsgPack.jsonSize(message) > MAX_BODY) {
      return Http.Response.of(400, Map.of("error", "too large"));
    }
    for (Object op : ops) {
      Map<?, ?> write = (Map<?, ?>) op;
      if (write.get("Tenure") instanceof Long lease && !leases.containsKey(lease)) {
        return Http.Response.of(400, Map.of("error", "no such lease"));
      }
      if (write.containsKey("Put") && MsgPack.jsonSize(write.get("Data")) > valueBytes) {
        return Http.Response.of(400, Map.of("error", "value too large"));
      }
    }
    if (!ops.isEmpty() && !writes.take(ops.size())) {
      refusedByLimit++;
      return Http.Response.of(429, Map.of("error", "rate"));
    }
    List<Object> failed = new ArrayList<>();
    for (Object condition : when) {
      Map<?, ?> map = (Map<?, ?>) condition;
      Item item = items.get((String) map.get("K"));
      if ((item == null ? 0L : item.stamp()) != ((Number) map.get("Stamp")).longValue()) {
        failed.add(map.get("K"));
      }
    }
    if (!failed.isEmpty()) {
      return Http.Response.of(409, Map.of("failed", failed, "LedgerRev", revision));
    }
    if (!ops.isEmpty()) {
      revision++;
      for (Object op : ops) {
        Map<?, ?> write = (Map<?, ?>) op;
        if (write.containsKey("Put")) {
          long lease = write.get("Tenure") instanceof Long id ? id : 0;
          put((String) write.get("Put"), write.get("Data"), lease);
        } else {
          drop((String) write.get("Drop"));
        }
      }
      notifyAll();
    }
    return Http.Response.of(200, Map.of("LedgerRev", revision));
  }

  private void put(String key, Object data, long lease) {
    items.put(key, new Item(data, revision, lease, MsgPack.jsonSize(data)));
    changed(new Change(key, true, data, revision));
  }

  private void drop(String key) {
    if (items.remove(key) != null) {
      changed(new Change(key, false, null, revision));
    }
  }

  private void changed(Change change) {
    changes.add(change);
    while (changes.size() > KEPT_CHANGES) {
      droppedThrough = changes.poll().stamp();
    }
  }

  private synchronized Http.Response lease(Http.Request request) {
    long now = System.nanoTime();
    if (request.path().equals("/leases")) {
      long ttl = ((Number) MsgPack.readMap(request.body()).get("TtlMs")).longValue();
      leases.put(++lastLease, new long[] {ttl * 1_000_000, now + ttl * 1_000_000});
      return Http.Response.of(200, Map.of("Tenure", lastLease));
    }
    String[] parts = request.path().split("/");
    long id = Long.parseLong(parts[2]);
    long[] lease = leases.get(id);
    if (lease == null) {
      return Http.Response.of(404, Map.of("error", "no such lease"));
    }
    if (request.method().equals("DELETE")) {
      end(id);
    } else {
      lease[1] = now + lease[0];
    }
    return Http.Response.of(200, Map.of());
  }

  private void end(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease() == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::drop);
      notifyAll();
    }
  }

  private void expireLeases() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach(
            (id, lease) -> {
              if (now > lease[1]) {
                ended.add(id);
              }
            });
        ended.forEach(this::end);
      }
    }
  }

  private synchronized Http.Response watch(Http.Request request) throws InterruptedException {
    String under = request.query().getOrDefault("Under", "");
    long from = Long.parseLong(request.query().get("From"));
    long hold = Math.min(60_000, Long.parseLong(request.query().getOrDefault("HoldMs", "0")));
    long end = System.nanoTime() + hold * 1_000_000;
    while (true) {
      if (from < droppedThrough) {
        return Http.Response.of(410, Map.of("error", "too old"));
      }
      List<Object> news = new ArrayList<>();
      for (var it = changes.descendingIterator(); it.hasNext(); ) {
        Change change = it.next();
        if (change.stamp() <= from) {
          break;
        }
        if (change.key().startsWith(under)) {
          Map<String, Object> entry = new LinkedHashMap<>();
          entry.put(change.put() ? "Put" : "Drop", change.key());
          if (change.put()) {
            entry.put("Data", change.data());
          }
          entry.put("Stamp", change.stamp());
          news.add(0, entry);
        }
      }
      long leftMillis = (end - System.nanoTime()) / 1_000_000;
      if (!news.isEmpty() || leftMillis <= 0) {
        return Http.Response.of(200, Map.of("LedgerRev", revision, "News", news));
      }
      wait(leftMillis);
    }
  }
}
