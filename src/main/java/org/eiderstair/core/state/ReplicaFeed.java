package org.eiderstair.core.state;

import java.util.HashSet;
import java.util.Set;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;

/** Brings the replica what the state service holds: all keys page by page, then their changes. */
final class ReplicaFeed {
  private static final int PAGE_SIZE = 500;
  private static final long WATCH_HOLD_MICROS = 4_000_000;
  private static final long RETRY_MICROS = 500_000;

  /** Longer than a slow answer of the state service takes. */
  private static final long SILENT_MICROS = 1_500_000;

  /** LOADING reads every key; FOLLOWING has them and waits for changes. */
  private enum State {
    IDLE,
    LOADING,
    FOLLOWING
  }

  /** Who takes what is read. */
  interface Target {
    /** A key's value, as new as the state service had it. */
    void apply(Reply.Item item);

    /** All keys have been read; whatever was known of others before that revision was removed. */
    void loaded(Set<String> listedKeys, long revision);

    /** The replica is as new as the list. */
    void caughtUp();
  }

  private final Settings settings;
  private final EffectSink sink;
  private final ReplicaCurrency currency;
  private final Target target;
  private State state = State.IDLE;
  private long now;
  private long nextLoadMicros;

  /** What is being loaded; null while nothing is. */
  private Load load;

  /** Tells the newest watch from those that were given up. */
  private long watchNumber;

  private long watchSentMicros;

  /** The last watch has ended, and the next is due at {@link #nextWatchMicros}. */
  private boolean watchEnded;

  private long nextWatchMicros;

  /** A list of all keys: those that were seen, and the revision of the first page. */
  private static final class Load {
    final long sentMicros;
    final Set<String> keys = new HashSet<>();
    boolean begun;
    long revision;

    Load(long sentMicros) {
      this.sentMicros = sentMicros;
    }

    /**
     * A change between two pages may be missing from both: only the first page's revision counts.
     */
    void addPage(Reply.Listed page) {
      if (!begun) {
        begun = true;
        revision = page.revision();
      }
    }
  }

  ReplicaFeed(Settings settings, EffectSink sink, ReplicaCurrency currency, Target target) {
    this.settings = settings;
    this.sink = sink;
    this.currency = currency;
    this.target = target;
  }

  void advanceTo(long nowMicros) {
    now = nowMicros;
  }

  /** Keeps the watch open and reads what is missing. */
  void tick() {
    // A watch may hang or its answer be lost while others tell of changes: they are asked for anew,
    // not waited for.
    if (isWatchSilent()) {
      sink.info(
          "watch after revision "
              + currency.revision()
              + " is silent though there is revision "
              + currency.newestRevision()
              + ": opening another");
      watch();
    }
    watchIfDue();
    if (state == State.IDLE && now >= nextLoadMicros) {
      transitionTo(State.LOADING);
    }
  }

  private boolean isWatchSilent() {
    return state == State.FOLLOWING
        && !watchEnded
        && currency.isBehind()
        && now >= Math.max(watchSentMicros, currency.behindSinceMicros()) + SILENT_MICROS;
  }

  private void transitionTo(State next) {
    state = next;
    switch (next) {
      case IDLE -> nextLoadMicros = now + RETRY_MICROS;
      case LOADING -> {
        load = new Load(now);
        loadPage(null);
      }
      case FOLLOWING -> watch();
    }
  }

  private void loadPage(String afterKey) {
    sink.call(new Request.StoreList(StateKeys.ROOT, afterKey, PAGE_SIZE), this::pageLoaded);
  }

  private void pageLoaded(Reply reply) {
    if (!(reply instanceof Reply.Listed page)) {
      transitionTo(State.IDLE);
      return;
    }
    load.addPage(page);
    String last = null;
    for (Reply.Item item : page.items()) {
      load.keys.add(item.key());
      target.apply(item);
      last = item.key();
    }
    if (page.more() && last != null) {
      loadPage(last);
      return;
    }
    Load done = load;
    load = null;
    target.loaded(done.keys, done.revision);
    currency.reach(done.revision);
    currency.recordAnswer(done.sentMicros, done.revision);
    target.caughtUp();
    transitionTo(State.FOLLOWING);
  }

  private void watch() {
    long number = ++watchNumber;
    long sentMicros = now;
    watchSentMicros = now;
    sink.call(
        new Request.StoreWatch(StateKeys.ROOT, currency.revision(), WATCH_HOLD_MICROS),
        reply -> {
          if (number == watchNumber) {
            watchAnswered(sentMicros, reply);
          }
        });
  }

  private void watchAnswered(long sentMicros, Reply reply) {
    if (reply instanceof Reply.Changed changed) {
      changed.changes().forEach(target::apply);
      currency.reach(changed.revision());
      currency.recordAnswer(sentMicros, changed.revision());
      // Changes that come close together cost one request, not one each.
      watchAgainAfter(changed.changes().isEmpty() ? 0 : settings.batchDelayMicros());
      watchIfDue();
    } else if (reply instanceof Reply.Refused refused && refused.isCompacted()) {
      sink.info("watch fell behind revision " + currency.revision() + ": reading all keys again");
      transitionTo(State.IDLE);
      nextLoadMicros = now;
    } else {
      // Refused or lost: the same revision may be watched again, only not at once.
      watchAgainAfter(RETRY_MICROS);
    }
  }

  private void watchAgainAfter(long micros) {
    watchEnded = true;
    nextWatchMicros = now + micros;
  }

  private void watchIfDue() {
    if (watchEnded && now >= nextWatchMicros) {
      watchEnded = false;
      watch();
    }
  }
}
