package org.eiderstair.sim;

import java.util.ArrayList;
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

/** A stand-in for the state service, to the letter of its contract as far as the core uses it. */
final class StateService {
  private record Lease(long ttlMicros, long endMicros) {}

  private record Watch(String node, String prefix, long after, Consumer<Reply> reply) {}

  /**
   * What becomes of a transaction: carried out and answered, or with its answer lost, at once or
   * late.
   */
  enum Fate {
    ANSWERED,
    ANSWER_LOST,
    LATE
  }

  private final SimulatedClock clock;
  private final TreeMap<String, Reply.Item> items = new TreeMap<>();
  private final Map<String, Long> attached = new HashMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Reply.Item> log = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long lastLease;
  private boolean down;
  final Set<String> refused = new HashSet<>();

  /** Nodes whose watches are never answered, while all else is. */
  final Set<String> deafWatches = new HashSet<>();

  /** Decides what becomes of each transaction. */
  Function<Request.StoreTxn, Fate> fate = txn -> Fate.ANSWERED;

  private final Random random;
  int maxWrites;

  /** Every key that was ever there: what must be durable before it is acted on. */
  final Map<String, StoredValue> ever = new HashMap<>();

  StateService(SimulatedClock clock, Random random) {
    this.clock = clock;
    this.random = random;
    tick();
  }

  void down(boolean isDown) {
    if (down && !isDown) {
      leases.replaceAll((id, l) -> new Lease(l.ttlMicros(), clock.now() + l.ttlMicros()));
    }
    down = isDown;
    notifyWatches();
  }

  private void tick() {
    clock.after(50_000, this::tick);
    if (!down) {
      for (Map.Entry<Long, Lease> e : new ArrayList<>(leases.entrySet())) {
        if (clock.now() > e.getValue().endMicros()) {
          endLease(e.getKey());
        }
      }
    }
    notifyWatches();
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys =
        attached.entrySet().stream()
            .filter(e -> e.getValue() == id)
            .map(Map.Entry::getKey)
            .toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::drop);
      notifyWatches();
    }
  }

  private void drop(String key) {
    if (items.remove(key) != null) {
      attached.remove(key);
      log.add(new Reply.Item(key, null, revision));
    }
  }

  void serve(String node, Request request, Consumer<Reply> reply) {
    if (refuses(node)) {
      reply.accept(new Reply.Refused(503));
      return;
    }
    if (request instanceof Request.StoreWatch w) {
      if (!deafWatches.contains(node)) {
        watches.add(new Watch(node, w.prefix(), w.after(), reply));
        clock.after(w.holdMicros(), () -> endHold(node, reply));
        notifyWatches();
      }
      return;
    }
    if (request instanceof Request.StoreTxn txn) {
      switch (fate.apply(txn)) {
        case ANSWERED -> reply.accept(txn(txn));
        case ANSWER_LOST -> txn(txn);
        // After newer ones of the same controller, and whoever leads by then.
        case LATE -> clock.after(2_000_000 + random.nextInt(10_000_000), () -> lateTxn(txn));
      }
    } else if (request instanceof Request.StoreGet get) {
      Reply.Item item = items.get(get.key());
      reply.accept(new Reply.Found(item, item == null ? revision : item.version()));
    } else if (request instanceof Request.StoreList list) {
      List<Reply.Item> page = new ArrayList<>();
      boolean more = false;
      for (Reply.Item item :
          items
              .tailMap(list.after() == null ? list.prefix() : list.after(), list.after() == null)
              .values()) {
        if (!item.key().startsWith(list.prefix())) {
          break;
        }
        if (page.size() == list.limit()) {
          more = true;
          break;
        }
        page.add(item);
      }
      reply.accept(new Reply.Listed(page, more, revision));
    } else if (request instanceof Request.LeaseGrant grant) {
      leases.put(++lastLease, new Lease(grant.ttlMicros(), clock.now() + grant.ttlMicros()));
      reply.accept(new Reply.LeaseGranted(lastLease));
    } else if (request instanceof Request.LeaseRenew touch) {
      reply.accept(
          leases.computeIfPresent(
                      touch.lease(),
                      (id, l) -> new Lease(l.ttlMicros(), clock.now() + l.ttlMicros()))
                  == null
              ? new Reply.Refused(404)
              : new Reply.Applied(0));
    } else if (request instanceof Request.LeaseRevoke drop) {
      if (leases.containsKey(drop.lease())) {
        endLease(drop.lease());
      }
      reply.accept(new Reply.Applied(0));
    }
  }

  private boolean refuses(String node) {
    return down || refused.contains(node);
  }

  private void lateTxn(Request.StoreTxn txn) {
    if (down) {
      clock.after(500_000, () -> lateTxn(txn));
    } else {
      txn(txn);
    }
  }

  /** Open watches stay open through an outage, and where one node alone is refused. */
  private void endHold(String node, Consumer<Reply> reply) {
    if (refuses(node)) {
      clock.after(200_000, () -> endHold(node, reply));
    } else if (watches.removeIf(x -> x.reply() == reply)) {
      reply.accept(new Reply.Changed(List.of(), revision));
    }
  }

  private Reply txn(Request.StoreTxn txn) {
    maxWrites = Math.max(maxWrites, txn.writes().size());
    if (txn.writes().stream().anyMatch(w -> w.lease() != 0 && !leases.containsKey(w.lease()))) {
      return new Reply.Refused(400);
    }
    List<String> failed = new ArrayList<>();
    for (Request.Condition c : txn.conditions()) {
      Reply.Item item = items.get(c.key());
      if ((item == null ? 0 : item.version()) != c.version()) {
        failed.add(c.key());
      }
    }
    if (!failed.isEmpty()) {
      return new Reply.Conflict(failed, revision);
    }
    if (!txn.writes().isEmpty()) {
      revision++;
      for (Request.Write w : txn.writes()) {
        if (w.value() == null) {
          drop(w.key());
          continue;
        }
        Map<String, Object> stored = StoredValueCodec.encode(w.value());
        Reply.Item item =
            new Reply.Item(w.key(), StoredValueCodec.decode(w.key(), stored), revision);
        items.put(w.key(), item);
        ever.put(w.key(), item.value());
        log.add(item);
        attached.remove(w.key());
        if (w.lease() != 0) {
          attached.put(w.key(), w.lease());
        }
      }
      notifyWatches();
    }
    return new Reply.Applied(revision);
  }

  private void notifyWatches() {
    if (down) {
      return;
    }
    for (Watch w : new ArrayList<>(watches)) {
      if (refused.contains(w.node())) {
        continue;
      }
      List<Reply.Item> news = new ArrayList<>();
      for (int i = log.size() - 1; i >= 0 && log.get(i).version() > w.after(); i--) {
        if (log.get(i).key().startsWith(w.prefix())) {
          news.add(0, log.get(i));
        }
      }
      if (!news.isEmpty()) {
        watches.remove(w);
        w.reply().accept(new Reply.Changed(news, revision));
      }
    }
  }
}
