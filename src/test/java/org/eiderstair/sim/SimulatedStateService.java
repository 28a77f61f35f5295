package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.record.StoredValueCodec;

/**
 * A simulated state service that follows the contract of the real one as far as the core uses it.
 */
final class SimulatedStateService {
  private static final long TICK_MICROS = 50_000;

  /** Minimum delay of a transaction that is committed late. */
  private static final long MIN_LATE_COMMIT_DELAY_MICROS = 2_000_000;

  private static final int LATE_COMMIT_JITTER_MICROS = 10_000_000;
  private static final long LATE_COMMIT_RETRY_DELAY_MICROS = 500_000;
  private static final long WATCH_END_RETRY_DELAY_MICROS = 200_000;

  private record Lease(long ttlMicros, long endMicros) {}

  private record Watch(String node, String prefix, long after, Consumer<Reply> callback) {}

  /** How a transaction is processed. */
  enum TransactionOutcome {
    /** The transaction is committed immediately and answered. */
    ANSWERED,
    /** The transaction is committed immediately, but its answer is lost. */
    ANSWER_LOST,
    /** The transaction is committed seconds later and never answered. */
    LATE
  }

  private final SimulatedClock clock;
  private final Random random;
  private final TreeMap<String, Reply.Item> items = new TreeMap<>();
  private final Map<String, Long> leaseOfKey = new HashMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Reply.Item> changeLog = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long lastLease;
  private boolean down;
  private final Set<String> refusedNodes = new HashSet<>();
  private final Set<String> nodesWithHeldWatches = new HashSet<>();
  private Function<Request.StoreTransaction, TransactionOutcome> transactionOutcomes =
      txn -> TransactionOutcome.ANSWERED;
  private int maxWrites;
  private final Map<String, StoredValue> lastWrittenValues = new HashMap<>();

  SimulatedStateService(SimulatedClock clock, Random random) {
    this.clock = clock;
    this.random = random;
    tick();
  }

  /**
   * Sets whether the service is down; it refuses all requests then, and all leases restart when it
   * is back.
   */
  void setDown(boolean isDown) {
    if (down && !isDown) {
      leases.replaceAll((id, lease) -> newLease(lease.ttlMicros()));
    }
    down = isDown;
    notifyWatches();
  }

  /** Sets whether the service refuses the requests of one node. */
  void setRefused(String node, boolean refused) {
    setContained(refusedNodes, node, refused);
  }

  /** Sets whether new watches of one node are never answered; all its other requests are served. */
  void setWatchesHeld(String node, boolean held) {
    setContained(nodesWithHeldWatches, node, held);
  }

  private static void setContained(Set<String> nodes, String node, boolean contained) {
    if (contained) {
      nodes.add(node);
    } else {
      nodes.remove(node);
    }
  }

  /** Sets the function that decides how each transaction is processed from now on. */
  void setTransactionOutcomes(Function<Request.StoreTransaction, TransactionOutcome> newOutcomes) {
    transactionOutcomes = newOutcomes;
  }

  /** Returns the number of writes of the largest transaction so far. */
  int maxWrites() {
    return maxWrites;
  }

  /** Returns the last written value of every key, including deleted keys. */
  Map<String, StoredValue> lastWrittenValues() {
    return lastWrittenValues;
  }

  private Lease newLease(long ttlMicros) {
    return new Lease(ttlMicros, clock.now() + ttlMicros);
  }

  private void tick() {
    clock.after(TICK_MICROS, this::tick);
    if (!down) {
      for (Map.Entry<Long, Lease> lease : new ArrayList<>(leases.entrySet())) {
        if (clock.now() > lease.getValue().endMicros()) {
          endLease(lease.getKey());
        }
      }
    }
    notifyWatches();
  }

  /** Removes a lease and deletes all keys that are bound to it. */
  private void endLease(long id) {
    leases.remove(id);
    List<String> keys =
        leaseOfKey.entrySet().stream()
            .filter(entry -> entry.getValue() == id)
            .map(Map.Entry::getKey)
            .toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::remove);
      notifyWatches();
    }
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      leaseOfKey.remove(key);
      changeLog.add(new Reply.Item(key, null, revision));
    }
  }

  private boolean refuses(String node) {
    return down || refusedNodes.contains(node);
  }

  void serve(String node, Request request, Consumer<Reply> callback) {
    if (refuses(node)) {
      callback.accept(new Reply.Refused(503));
    } else if (request instanceof Request.StoreWatch watch) {
      watch(node, watch, callback);
    } else if (request instanceof Request.StoreTransaction txn) {
      serve(txn, callback);
    } else if (request instanceof Request.StoreGet get) {
      Reply.Item item = items.get(get.key());
      callback.accept(item == null ? new Reply.Absent(revision) : new Reply.Found(item));
    } else if (request instanceof Request.StoreList list) {
      callback.accept(list(list));
    } else if (request instanceof Request.LeaseGrant grant) {
      leases.put(++lastLease, newLease(grant.ttlMicros()));
      callback.accept(new Reply.LeaseGranted(lastLease));
    } else if (request instanceof Request.LeaseRenew renew) {
      Lease renewed =
          leases.computeIfPresent(renew.leaseId(), (id, lease) -> newLease(lease.ttlMicros()));
      callback.accept(renewed == null ? new Reply.Refused(404) : new Reply.Applied(0));
    } else if (request instanceof Request.LeaseRevoke revoke) {
      if (leases.containsKey(revoke.leaseId())) {
        endLease(revoke.leaseId());
      }
      callback.accept(new Reply.Applied(0));
    }
  }

  private Reply list(Request.StoreList list) {
    List<Reply.Item> page = new ArrayList<>();
    boolean fromPrefix = list.afterKey() == null;
    String from = fromPrefix ? list.prefix() : list.afterKey();
    for (Reply.Item item : items.tailMap(from, fromPrefix).values()) {
      if (!item.key().startsWith(list.prefix())) {
        break;
      }
      if (page.size() == list.limit()) {
        return new Reply.Listed(page, true, revision);
      }
      page.add(item);
    }
    return new Reply.Listed(page, false, revision);
  }

  private void serve(Request.StoreTransaction txn, Consumer<Reply> callback) {
    switch (transactionOutcomes.apply(txn)) {
      case ANSWERED -> callback.accept(commit(txn));
      case ANSWER_LOST -> commit(txn);
      // By then newer transactions of the same controller, or of another leader, may be committed.
      case LATE ->
          clock.after(
              MIN_LATE_COMMIT_DELAY_MICROS + random.nextInt(LATE_COMMIT_JITTER_MICROS),
              () -> commitLate(txn));
    }
  }

  private void commitLate(Request.StoreTransaction txn) {
    if (down) {
      clock.after(LATE_COMMIT_RETRY_DELAY_MICROS, () -> commitLate(txn));
    } else {
      commit(txn);
    }
  }

  private Reply commit(Request.StoreTransaction txn) {
    maxWrites = Math.max(maxWrites, txn.writes().size());
    if (txn.writes().stream()
        .anyMatch(write -> write.leaseId() != 0 && !leases.containsKey(write.leaseId()))) {
      return new Reply.Refused(400);
    }
    List<String> failed = new ArrayList<>();
    for (Request.Condition condition : txn.conditions()) {
      Reply.Item item = items.get(condition.key());
      if ((item == null ? 0 : item.version()) != condition.version()) {
        failed.add(condition.key());
      }
    }
    if (!failed.isEmpty()) {
      return new Reply.Conflict(failed, revision);
    }
    if (!txn.writes().isEmpty()) {
      revision++;
      txn.writes().forEach(this::apply);
      notifyWatches();
    }
    return new Reply.Applied(revision);
  }

  private void apply(Request.Write write) {
    if (write.value() == null) {
      remove(write.key());
      return;
    }
    Map<String, Object> stored = StoredValueCodec.encode(write.value());
    Reply.Item item =
        new Reply.Item(write.key(), StoredValueCodec.decode(write.key(), stored), revision);
    items.put(write.key(), item);
    lastWrittenValues.put(write.key(), item.value());
    changeLog.add(item);
    leaseOfKey.remove(write.key());
    if (write.leaseId() != 0) {
      leaseOfKey.put(write.key(), write.leaseId());
    }
  }

  private void watch(String node, Request.StoreWatch watch, Consumer<Reply> callback) {
    if (!nodesWithHeldWatches.contains(node)) {
      watches.add(new Watch(node, watch.prefix(), watch.afterRevision(), callback));
      clock.after(watch.maxWaitMicros(), () -> endWatch(node, callback));
      notifyWatches();
    }
  }

  /** Ends a watch after its hold time; a watch stays open while the service refuses its node. */
  private void endWatch(String node, Consumer<Reply> callback) {
    if (refuses(node)) {
      clock.after(WATCH_END_RETRY_DELAY_MICROS, () -> endWatch(node, callback));
    } else if (watches.removeIf(watch -> watch.callback() == callback)) {
      callback.accept(new Reply.Changed(List.of(), revision));
    }
  }

  private void notifyWatches() {
    if (down) {
      return;
    }
    for (Watch watch : new ArrayList<>(watches)) {
      if (refusedNodes.contains(watch.node())) {
        continue;
      }
      List<Reply.Item> changes = changesFor(watch);
      if (!changes.isEmpty()) {
        watches.remove(watch);
        watch.callback().accept(new Reply.Changed(changes, revision));
      }
    }
  }

  private List<Reply.Item> changesFor(Watch watch) {
    List<Reply.Item> changes = new ArrayList<>();
    for (int i = changeLog.size() - 1; i >= 0 && changeLog.get(i).version() > watch.after(); i--) {
      if (changeLog.get(i).key().startsWith(watch.prefix())) {
        changes.add(changeLog.get(i));
      }
    }
    Collections.reverse(changes);
    return changes;
  }
}
