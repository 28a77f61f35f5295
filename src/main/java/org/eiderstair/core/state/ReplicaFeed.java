package org.eiderstair.core.state;

import java.util.HashSet;
import java.util.Set;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;

/**
 * Reads the contents of the state service for the replica: first all keys page by page, then their
 * changes through a watch.
 */
final class ReplicaFeed {
  private static final int PAGE_SIZE = 500;
  private static final long WATCH_HOLD_MICROS = 4_000_000;
  private static final long RETRY_DELAY_MICROS = 500_000;

  /** Longer than the state service takes for a slow answer. */
  private static final long SILENCE_TIMEOUT_MICROS = 1_500_000;

  private enum State {
    /** Waits until the next load is due. */
    IDLE,

    /** Reads every key. */
    LOADING,

    /** Has read every key and watches for changes. */
    FOLLOWING
  }

  /** Receives the values that the feed reads. */
  interface Target {
    /** Applies the value of a key as the state service returned it. */
    void apply(Reply.Item item);

    /**
     * Called when all keys have been read. Every known key outside the list, with a version up to
     * the revision, was removed from the state service.
     */
    void loaded(Set<String> listedKeys, long revision);

    /** Called when the replica holds every change up to the revision of the list. */
    void caughtUp();
  }

  private final Settings settings;
  private final EffectSink sink;
  private final ReplicaFreshness freshness;
  private final Target target;
  private State state = State.IDLE;
  private long now;
  private long nextLoadMicros;

  /** The load in progress; unused outside LOADING. */
  private Load load;

  /** Identifies the newest watch; answers to abandoned watches are ignored. */
  private long watchNumber;

  private long watchSentMicros;

  /** Whether the last watch has ended; the next one is due at {@link #nextWatchMicros}. */
  private boolean watchEnded;

  private long nextWatchMicros;

  /** A list of all keys in progress: the keys read so far and the revision of the first page. */
  private static final class Load {
    final long sentMicros;
    final Set<String> keys = new HashSet<>();
    boolean hasFirstPage;
    long revision;

    Load(long sentMicros) {
      this.sentMicros = sentMicros;
    }

    /**
     * Records the revision of the first page. Later pages do not raise the revision, because both
     * pages may lack a change that happens between them.
     */
    void addPage(Reply.Listed page) {
      if (!hasFirstPage) {
        hasFirstPage = true;
        revision = page.revision();
      }
    }
  }

  ReplicaFeed(Settings settings, EffectSink sink, ReplicaFreshness freshness, Target target) {
    this.settings = settings;
    this.sink = sink;
    this.freshness = freshness;
    this.target = target;
  }

  void advanceTo(long nowMicros) {
    now = nowMicros;
  }

  /** Keeps the watch open and loads all keys when required. */
  void tick() {
    // A watch may hang, or its answer may be lost, while other answers show newer revisions. A new
    // watch then requests the changes.
    if (isWatchSilent()) {
      sink.info(
          "watch received no answer; opening a new one revision="
              + freshness.revision()
              + " newestRevision="
              + freshness.newestRevision());
      openWatch();
    }
    openWatchIfDue();
    if (state == State.IDLE && now >= nextLoadMicros) {
      transitionTo(State.LOADING);
    }
  }

  private boolean isWatchSilent() {
    return state == State.FOLLOWING
        && !watchEnded
        && freshness.isBehind()
        && now >= Math.max(watchSentMicros, freshness.behindSinceMicros()) + SILENCE_TIMEOUT_MICROS;
  }

  private void transitionTo(State next) {
    state = next;
    switch (next) {
      case IDLE -> nextLoadMicros = now + RETRY_DELAY_MICROS;
      case LOADING -> {
        load = new Load(now);
        loadPage(null);
      }
      case FOLLOWING -> openWatch();
    }
  }

  private void loadPage(String afterKey) {
    sink.call(new Request.StoreList(StateKeys.ROOT, afterKey, PAGE_SIZE), this::handlePageReply);
  }

  private void handlePageReply(Reply reply) {
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
    freshness.advanceTo(done.revision);
    freshness.recordAnswer(done.sentMicros, done.revision);
    target.caughtUp();
    transitionTo(State.FOLLOWING);
  }

  private void openWatch() {
    long number = ++watchNumber;
    long sentMicros = now;
    watchSentMicros = now;
    sink.call(
        new Request.StoreWatch(StateKeys.ROOT, freshness.revision(), WATCH_HOLD_MICROS),
        reply -> {
          if (number == watchNumber) {
            handleWatchReply(sentMicros, reply);
          }
        });
  }

  private void handleWatchReply(long sentMicros, Reply reply) {
    if (reply instanceof Reply.Changed changed) {
      changed.changes().forEach(target::apply);
      freshness.advanceTo(changed.revision());
      freshness.recordAnswer(sentMicros, changed.revision());
      logChanges(sentMicros, changed);
      // The delay lets one request deliver several changes that are close together.
      scheduleWatchAfter(changed.changes().isEmpty() ? 0 : settings.batchDelayMicros());
      openWatchIfDue();
    } else if (reply instanceof Reply.Refused refused && refused.isCompacted()) {
      sink.info(
          "watched revision was compacted; reading all keys again revision="
              + freshness.revision());
      transitionTo(State.IDLE);
      nextLoadMicros = now;
    } else {
      // The watch was refused or its answer was lost: the next one starts at the same revision,
      // after a delay.
      scheduleWatchAfter(RETRY_DELAY_MICROS);
    }
  }

  private void logChanges(long sentMicros, Reply.Changed changed) {
    if (sink.isDebugEnabled()) {
      sink.debug(
          "watch answered revision="
              + changed.revision()
              + " changes="
              + changed.changes().size()
              + " sent_micros="
              + sentMicros);
    }
  }

  private void scheduleWatchAfter(long micros) {
    watchEnded = true;
    nextWatchMicros = now + micros;
  }

  private void openWatchIfDue() {
    if (watchEnded && now >= nextWatchMicros) {
      watchEnded = false;
      openWatch();
    }
  }
}
