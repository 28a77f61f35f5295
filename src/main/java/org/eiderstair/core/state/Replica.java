package org.eiderstair.core.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.record.CatalogRecord;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.LeaderRecord;
import org.eiderstair.core.record.ProgressRecord;
import org.eiderstair.core.record.StandbyRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.record.UnreadableValue;
import org.eiderstair.core.record.UnreadableValueException;
import org.eiderstair.core.record.WorkerRecord;
import org.eiderstair.core.settings.Settings;

/**
 * This node's copy of the state service's keys, loaded once and kept by one watch. It may be old,
 * so only final states are told to users from it without asking (see {@link JobService}).
 */
public final class Replica {
  private static final int PAGE = 500;

  /** Far more than a late read can still be about. */
  private static final int MAX_DROPPED = 10_000;

  private static final long HOLD_MICROS = 4_000_000;
  private static final long RETRY_MICROS = 500_000;
  private static final long CANCEL_MARGIN_MICROS = 5_000_000;
  private static final int MAX_PROOFS = 64;

  /** Longer than a slow answer of the state service takes. */
  private static final long STUCK_MICROS = 1_500_000;

  /** LOADING reads every key; FOLLOWING has them and waits for changes. */
  enum State {
    IDLE,
    LOADING,
    FOLLOWING
  }

  /** Told of what changed after the replica holds it. */
  public interface Listener {
    /** The leader key has changed. */
    void leaderChanged();

    /** A job was created or has changed. */
    void jobChanged(Job job, boolean isNew);

    /** All keys have been read. */
    void loaded();
  }

  /** The leader as the leader key names it. */
  public record Leader(String node, String runId, long lease, long term) {}

  /** What was there when a request was sent is in the replica once it has reached that revision. */
  private record Proof(long sentMicros, long revision) {}

  /** A worker's registration. */
  public record RegisteredWorker(
      String machine, String address, String type, String zone, boolean spot, long version) {}

  private final Settings settings;
  private final EffectSink sink;
  private final Listener listener;
  private final long dayOffsetMicros;
  private State state = State.IDLE;
  private boolean everLoaded;
  private long revision;
  private long nextTryMicros;
  private Set<String> loading;
  private long loadRevision;
  private long loadSentMicros;
  private long currentMicros = Long.MIN_VALUE / 2;

  /**
   * Requests whose answers showed a revision that this replica has yet to reach, the one sent first
   * in front.
   */
  private final ArrayDeque<Proof> proofs = new ArrayDeque<>();

  /** Told from watches that were given up. */
  private long watchNumber;

  private long watchSentMicros;

  public final Map<String, Job> jobs = new HashMap<>();

  /** Open jobs in the order in which this node learnt of them. */
  public final Map<String, Job> open = new LinkedHashMap<>();

  /** Jobs cancelled lately, the one seen first in front: a worker may still run their tasks. */
  private final ArrayDeque<Job> cancelled = new ArrayDeque<>();

  public final Map<String, RegisteredWorker> registeredWorkers = new HashMap<>();

  /** Open rentals and returns by key, as they were written. */
  public final Map<String, Reply.Item> duties = new HashMap<>();

  private final Map<String, Long> dropped = new LinkedHashMap<>();
  private Leader leader;
  private long leaderVersion;
  private List<MachineType> catalog = List.of();
  private long catalogVersion;

  public Replica(Settings settings, EffectSink sink, Listener listener, long dayOffsetMicros) {
    this.dayOffsetMicros = dayOffsetMicros;
    this.settings = settings;
    this.sink = sink;
    this.listener = listener;
  }

  /** The standby's record and its version. */
  public record StoredStandby(StandbyRecord value, long version) {}

  /** The standby's record, or null when there is none. */
  public StoredStandby standby() {
    Reply.Item item = duties.get(StateKeys.STANDBY);
    return item == null ? null : new StoredStandby((StandbyRecord) item.value(), item.version());
  }

  /** Whether all keys have been read. */
  public boolean loaded() {
    return everLoaded;
  }

  /** The current leader, or null. */
  public Leader leader() {
    return leader;
  }

  long leaderVersion() {
    return leader == null ? 0 : leaderVersion;
  }

  /** The machine types that can be rented. */
  public List<MachineType> catalog() {
    return catalog;
  }

  /** The version of the catalogue's key. */
  public long catalogVersion() {
    return catalogVersion;
  }

  /** Every change up to this revision is in the replica. */
  public long revision() {
    return revision;
  }

  /**
   * When the latest request was sent whose answer shows that all changes up to then are in the
   * replica. Nothing but such an answer moves it; above all not the renewal of a lease.
   */
  public long currentMicros() {
    return currentMicros;
  }

  /**
   * A request sent then was answered with that revision: it is a proof once the replica has reached
   * it.
   */
  public void proves(long sentMicros, long atRevision) {
    if (atRevision <= revision) {
      currentMicros = Math.max(currentMicros, sentMicros);
    } else if (proofs.size() < MAX_PROOFS
        && (proofs.isEmpty() || sentMicros > proofs.peekLast().sentMicros())) {
      proofs.add(new Proof(sentMicros, atRevision));
    }
  }

  /** Every change up to this revision is in the replica from now on. */
  private void reached(long atRevision) {
    revision = Math.max(revision, atRevision);
    proofs.removeIf(
        proof -> {
          boolean proven = proof.revision() <= revision;
          currentMicros = proven ? Math.max(currentMicros, proof.sentMicros()) : currentMicros;
          return proven;
        });
  }

  /** Keeps the watch open and reads what is missing. */
  public void tick(long nowMicros) {
    // A watch may hang or its answer be lost while others tell of changes: they are asked for anew,
    // not waited for.
    if (state == State.FOLLOWING
        && retryWatchAt == 0
        && !proofs.isEmpty()
        && nowMicros >= Math.max(watchSentMicros, proofs.peekFirst().sentMicros()) + STUCK_MICROS) {
      sink.info(
          "watch after revision "
              + revision
              + " is silent though there is revision "
              + proofs.peekLast().revision()
              + ": opening another");
      watch();
    }
    retry(nowMicros);
    if (state == State.IDLE && nowMicros >= nextTryMicros) {
      become(State.LOADING, nowMicros);
    }
  }

  private void become(State next, long nowMicros) {
    state = next;
    switch (next) {
      case IDLE -> nextTryMicros = nowMicros + RETRY_MICROS;
      case LOADING -> {
        loading = new HashSet<>();
        loadRevision = -1;
        loadSentMicros = nowMicros;
        loadPage(null);
      }
      case FOLLOWING -> watch();
    }
  }

  private long now;

  /** The time of the event at hand. */
  public void at(long nowMicros) {
    now = nowMicros;
  }

  private void loadPage(String after) {
    sink.call(
        new Request.StoreList(StateKeys.ROOT, after, PAGE),
        reply -> {
          if (!(reply instanceof Reply.Listed listed)) {
            become(State.IDLE, now);
            return;
          }
          if (loadRevision < 0) {
            loadRevision = listed.revision();
          }
          String last = null;
          for (Reply.Item item : listed.items()) {
            loading.add(item.key());
            apply(item);
            last = item.key();
          }
          if (listed.more() && last != null) {
            loadPage(last);
            return;
          }
          dropUnlisted();
          reached(loadRevision);
          proves(loadSentMicros, loadRevision);
          loading = null;
          boolean first = !everLoaded;
          everLoaded = true;
          if (first) {
            sink.info(
                "replica loaded: revision "
                    + revision
                    + ", "
                    + jobs.size()
                    + " jobs, "
                    + open.size()
                    + " open");
            listener.loaded();
          }
          become(State.FOLLOWING, now);
        });
  }

  /** After a gap in the watch, keys that the list no longer holds were dropped meanwhile. */
  private void dropUnlisted() {
    if (leader != null && !loading.contains(StateKeys.LEADER) && leaderVersion <= loadRevision) {
      apply(new Reply.Item(StateKeys.LEADER, null, loadRevision));
    }
    for (RegisteredWorker entry : new ArrayList<>(registeredWorkers.values())) {
      String key = StateKeys.worker(entry.machine());
      if (!loading.contains(key) && entry.version() <= loadRevision) {
        apply(new Reply.Item(key, null, loadRevision));
      }
    }
    for (Reply.Item duty : new ArrayList<>(duties.values())) {
      if (!loading.contains(duty.key()) && duty.version() <= loadRevision) {
        apply(new Reply.Item(duty.key(), null, loadRevision));
      }
    }
  }

  private void watch() {
    long number = ++watchNumber;
    long sentMicros = now;
    watchSentMicros = now;
    sink.call(
        new Request.StoreWatch(StateKeys.ROOT, revision, HOLD_MICROS),
        reply -> {
          if (number != watchNumber) {
            return;
          }
          if (reply instanceof Reply.Changed changed) {
            for (Reply.Item item : changed.changes()) {
              apply(item);
            }
            reached(changed.revision());
            proves(sentMicros, changed.revision());
            // Changes that come close together cost one request, not one each.
            retryWatchAt = now + (changed.changes().isEmpty() ? 0 : settings.gatherMicros());
            retry(now);
          } else if (reply instanceof Reply.Refused refused && refused.status() == 410) {
            sink.info("watch fell behind revision " + revision + ": reading all keys again");
            become(State.IDLE, now - RETRY_MICROS);
          } else {
            // Refused or lost: the same revision may be watched again, only not at once.
            retryWatchAt = now + RETRY_MICROS;
          }
        });
  }

  private long retryWatchAt;

  private void retry(long nowMicros) {
    if (retryWatchAt != 0 && nowMicros >= retryWatchAt) {
      retryWatchAt = 0;
      watch();
    }
  }

  /**
   * Takes one key's newer value, from the watch, a list, a read, or this node's own transaction.
   */
  public void apply(Reply.Item item) {
    String key = item.key();
    StateKeys.Kind kind = StateKeys.kindOf(key);
    try {
      switch (kind) {
        case JOB -> applyJob(kind.idOf(key), item);
        case PROGRESS -> applyProgress(kind.idOf(key), item);
        case WORKER -> applyWorker(kind.idOf(key), item);
        case BARRIER, STANDBY, RENTAL, RELEASE, OTHER_DUTY -> applyDuty(item);
        case LEADER -> applyLeader(item);
        case CATALOG -> applyCatalog(item);
        case FOREIGN -> {}
      }
    } catch (RuntimeException e) {
      // Guards against a value written by a broken or much newer version: one bad key must not stop
      // the node.
      sink.error("unreadable value key=" + key + ": " + e);
    }
  }

  /** The value of an item in the form that its key demands. */
  private static <T extends StoredValue> T read(Reply.Item item, Class<T> type) {
    if (item.value() instanceof UnreadableValue unreadable) {
      throw new UnreadableValueException(unreadable.problem());
    }
    return type.cast(item.value());
  }

  private void applyCatalog(Reply.Item item) {
    if (item.value() != null && item.version() > catalogVersion) {
      catalogVersion = item.version();
      catalog = read(item, CatalogRecord.class).types();
    }
  }

  /** The time of day, as this node has it, for what other nodes read. */
  public long dayMicros(long nowMicros) {
    return nowMicros + dayOffsetMicros;
  }

  /**
   * A read showed that the key does not exist as of a revision. That is a fact with a date like any
   * other: what was written after it is not gone. Without that, a roster entry written after the
   * read, and told by a watch that was faster than the read's answer, left this node's picture: its
   * take-over would not have asked that machine.
   */
  void missing(String key, long atRevision) {
    if (StateKeys.kindOf(key) != StateKeys.Kind.PROGRESS) {
      apply(new Reply.Item(key, null, atRevision));
      return;
    }
    Job job = jobs.get(StateKeys.Kind.PROGRESS.idOf(key));
    if (job != null) {
      job.progressMissing(atRevision);
    }
  }

  private void applyJob(String id, Reply.Item item) {
    if (item.value() == null) {
      return;
    }
    Job job = jobs.get(id);
    if (job != null && item.version() <= job.version()) {
      return;
    }
    JobRecord record = read(item, JobRecord.class);
    boolean isNew = job == null;
    if (isNew) {
      // A node that was not there when the job came must not take it for new. Days differ a little
      // between nodes.
      long atDay = record.createdDayMicros();
      long submittedMicros = atDay == 0 ? now : Math.min(now, atDay - dayOffsetMicros);
      job = new Job(id, submittedMicros);
      jobs.put(id, job);
    }
    long cancelledDay = record.cancelledDayMicros();
    job.setCancelledMicros(cancelledDay == 0 ? now : Math.min(now, cancelledDay - dayOffsetMicros));
    job.become(record.state(), item.version(), record.tasks(), record.spec(), record.done());
    changed(job, isNew);
  }

  private void changed(Job job, boolean isNew) {
    if (job.open()) {
      open.put(job.id, job);
    } else {
      open.remove(job.id);
      if (job.state() == Job.State.CANCELLED) {
        job.markCancellationSeen(now);
        cancelled.add(job);
      }
    }
    listener.jobChanged(job, isNew);
    job.shrink();
  }

  /**
   * A peer has committed a cancellation. What this node knows of later, or not at all, the watch
   * will bring.
   */
  public void cancelledElsewhere(Cancellation told) {
    Job job = jobs.get(told.job());
    if (job != null && job.open() && told.version() > job.version()) {
      job.setCancelledMicros(now);
      job.become(Job.State.CANCELLED, told.version(), job.tasks(), null, told.done());
      changed(job, false);
    }
  }

  /**
   * Jobs whose tasks a worker may still run, by when this node has seen their cancelling. Older
   * ones are forgotten here, so there is one bound for all who ask: what one of them would drop
   * sooner, another would no longer count.
   */
  public Collection<Job> cancelledLately(long nowMicros) {
    long since = nowMicros - settings.cancelMicros() - CANCEL_MARGIN_MICROS;
    while (!cancelled.isEmpty() && cancelled.peek().cancellationSeenMicros() < since) {
      cancelled.poll();
    }
    return cancelled;
  }

  private void applyProgress(String id, Reply.Item item) {
    Job job = jobs.get(id);
    if (job == null) {
      // A job's key sorts before its progress, and is older; it must have been seen.
      if (item.value() != null) {
        sink.debug("progress of unknown job " + id);
      }
      return;
    }
    if (item.value() == null || !job.advanceProgressTo(item.version())) {
      return;
    }
    ProgressRecord record = read(item, ProgressRecord.class);
    job.setDurableProgress(record.done(), record.running());
  }

  private void applyDuty(Reply.Item item) {
    Reply.Item known = duties.get(item.key());
    if (known != null && item.version() <= known.version()
        || item.version() <= dropped.getOrDefault(item.key(), 0L)) {
      return;
    }
    if (item.value() == null) {
      duties.remove(item.key());
      droppedAt(item.key(), item.version());
    } else {
      duties.put(item.key(), item);
    }
  }

  /** A late read or list must not bring a dropped key back. */
  private void droppedAt(String key, long version) {
    dropped.put(key, version);
    if (dropped.size() > MAX_DROPPED) {
      dropped.remove(dropped.keySet().iterator().next());
    }
  }

  private void applyWorker(String machine, Reply.Item item) {
    RegisteredWorker known = registeredWorkers.get(machine);
    if (known != null && item.version() <= known.version()
        || item.version() <= dropped.getOrDefault(machine, 0L)) {
      return;
    }
    if (item.value() == null) {
      registeredWorkers.remove(machine);
      droppedAt(machine, item.version());
      return;
    }
    WorkerRecord record = read(item, WorkerRecord.class);
    registeredWorkers.put(
        machine,
        new RegisteredWorker(
            machine,
            record.address(),
            record.type(),
            record.zone(),
            record.spot(),
            item.version()));
  }

  private void applyLeader(Reply.Item item) {
    if (item.version() <= leaderVersion) {
      return;
    }
    leaderVersion = item.version();
    leader = item.value() == null ? null : leader(item);
    listener.leaderChanged();
  }

  private static Leader leader(Reply.Item item) {
    LeaderRecord record = read(item, LeaderRecord.class);
    return new Leader(record.node(), record.run(), record.lease(), item.version());
  }
}
