package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
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
 * This node's copy of the state service's keys. It may be old, so only final states are answered to
 * users from it without asking. Every value has a version, and only a newer one replaces an older:
 * values may come in any order, from the watch, a list, a read, or this node's own transaction.
 */
public final class Replica {

  /** Is called once the replica holds a change. */
  public interface Listener {
    /** The leader key has changed. */
    void leaderChanged();

    /** A job was created or has changed. */
    void jobChanged(Job job, boolean isNew);

    /** All keys have been read for the first time. */
    void loaded();
  }

  /** The leader as the leader key names it. */
  public record Leader(String node, String runId, long lease, long term) {}

  /** A worker's registration. */
  public record RegisteredWorker(
      String machine, String address, String type, String zone, boolean spot, long version) {}

  /** The standby's record and its version. */
  public record StoredStandby(StandbyRecord value, long version) {}

  private final EffectSink sink;
  private final Listener listener;
  private final long dayOffsetMicros;
  private final ReplicaCurrency currency = new ReplicaCurrency();
  private final ReplicaFeed feed;
  private final JobTable jobs;
  private final Map<String, RegisteredWorker> registeredWorkers = new HashMap<>();
  private final Collection<RegisteredWorker> registeredWorkersView =
      Collections.unmodifiableCollection(registeredWorkers.values());

  /** The records of a leader by key: rentals, releases, standby, barrier, as they were written. */
  private final Map<String, Reply.Item> duties = new HashMap<>();

  private final RemovedKeys removed = new RemovedKeys();
  private boolean loaded;
  private Leader leader;
  private long leaderVersion;
  private List<MachineType> catalog = List.of();
  private long catalogVersion;

  /**
   * @param dayOffsetMicros the time of day less the steady time
   */
  public Replica(Settings settings, EffectSink sink, Listener listener, long dayOffsetMicros) {
    this.dayOffsetMicros = dayOffsetMicros;
    this.sink = sink;
    this.listener = listener;
    this.jobs = new JobTable(settings, listener, dayOffsetMicros);
    this.feed = new ReplicaFeed(settings, sink, currency, new FeedTarget());
  }

  /** The time of the event at hand. */
  public void advanceTo(long nowMicros) {
    feed.advanceTo(nowMicros);
    jobs.advanceTo(nowMicros);
  }

  /** Keeps the watch open and reads what is missing. */
  public void tick(long nowMicros) {
    advanceTo(nowMicros);
    feed.tick();
  }

  // What the replica knows.

  /** Whether all keys have been read. */
  public boolean isLoaded() {
    return loaded;
  }

  /** The current leader, or null. */
  public Leader leader() {
    return leader;
  }

  /** The machine types that can be rented. */
  public List<MachineType> catalog() {
    return catalog;
  }

  /** The version of the catalog's key. */
  public long catalogVersion() {
    return catalogVersion;
  }

  /** A job, or null when this node does not know it. */
  public Job job(String id) {
    return jobs.get(id);
  }

  /** All jobs, open and final. */
  public Collection<Job> jobs() {
    return jobs.all();
  }

  /** Open jobs in the order in which this node learnt of them. */
  public Collection<Job> openJobs() {
    return jobs.open();
  }

  /**
   * Cancelled jobs whose tasks a worker may still run, by when this node has seen the cancellation.
   * Older ones are forgotten here, so there is one bound for all who ask: what one of them would
   * drop sooner, another would no longer count.
   */
  public Collection<Job> recentlyCancelled(long nowMicros) {
    return jobs.recentlyCancelled(nowMicros);
  }

  /** The registered workers: every machine on which tasks may be. */
  public Collection<RegisteredWorker> registeredWorkers() {
    return registeredWorkersView;
  }

  /** A worker's registration, or null. */
  public RegisteredWorker registeredWorker(String machine) {
    return registeredWorkers.get(machine);
  }

  /** Whether a worker is registered. */
  public boolean isRegistered(String machine) {
    return registeredWorkers.containsKey(machine);
  }

  /** The records of leaders, by key. */
  public SortedMap<String, StoredValue> dutyRecords() {
    SortedMap<String, StoredValue> records = new TreeMap<>();
    duties.values().forEach(item -> records.put(item.key(), item.value()));
    return records;
  }

  /** A record of a leader, or null. */
  public Reply.Item dutyRecord(String key) {
    return duties.get(key);
  }

  /** The standby's record, or null when there is none. */
  public StoredStandby standby() {
    Reply.Item item = duties.get(StateKeys.STANDBY);
    return item == null ? null : new StoredStandby((StandbyRecord) item.value(), item.version());
  }

  /** The time of day, as this node has it, for what other nodes read. */
  public long dayMicros(long nowMicros) {
    return nowMicros + dayOffsetMicros;
  }

  // How new it is.

  /** Every change up to this revision is in the replica. */
  public long revision() {
    return currency.revision();
  }

  /**
   * When the latest request was sent whose answer shows that all changes up to then are in the
   * replica. Nothing but such an answer moves it; above all not the renewal of a lease.
   */
  public long currentMicros() {
    return currency.currentMicros();
  }

  /**
   * A request that was sent at that time was answered with that revision: it shows that the replica
   * is as new as that, once it has reached the revision.
   */
  public void recordAnswer(long sentMicros, long atRevision) {
    currency.recordAnswer(sentMicros, atRevision);
  }

  // Changes.

  /** Takes over a key's value, if it is newer than what is known. */
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

  /**
   * A peer has committed a cancellation. What this node knows of later, or not at all, the watch
   * will bring.
   */
  public void applyCancellation(Cancellation cancellation) {
    jobs.apply(cancellation);
  }

  /**
   * A read showed that the key does not exist as of a revision. That is a fact with a date like any
   * other: what was written after it is still there. Without that, a registration written after the
   * read, and brought by a watch that was faster than the read's answer, left the replica: a
   * failover of this node would not have asked that machine.
   */
  void applyAbsence(String key, long atRevision) {
    StateKeys.Kind kind = StateKeys.kindOf(key);
    if (kind == StateKeys.Kind.PROGRESS) {
      jobs.progressAbsent(kind.idOf(key), atRevision);
    } else {
      remove(key, atRevision);
    }
  }

  private void remove(String key, long atRevision) {
    apply(new Reply.Item(key, null, atRevision));
  }

  /** The value of an item in the form that its key demands. */
  private static <T extends StoredValue> T read(Reply.Item item, Class<T> type) {
    if (item.value() instanceof UnreadableValue unreadable) {
      throw new UnreadableValueException(unreadable.problem());
    }
    return type.cast(item.value());
  }

  private void applyJob(String id, Reply.Item item) {
    if (item.value() != null && jobs.isNewer(id, item.version())) {
      jobs.apply(id, read(item, JobRecord.class), item.version());
    }
  }

  private void applyProgress(String id, Reply.Item item) {
    Job job = jobs.get(id);
    if (job == null) {
      // A job's key sorts before its progress, and is older; it must have been seen.
      if (item.value() != null) {
        sink.debug("progress of unknown job=" + id);
      }
      return;
    }
    // Of a value that cannot be read the version counts all the same, so that it can be replaced.
    if (item.value() != null && job.advanceProgressTo(item.version())) {
      ProgressRecord record = read(item, ProgressRecord.class);
      job.setDurableProgress(record.done(), record.running());
    }
  }

  private void applyWorker(String machine, Reply.Item item) {
    RegisteredWorker known = registeredWorkers.get(machine);
    if ((known != null && item.version() <= known.version())
        || removed.isRemovedSince(item.key(), item.version())) {
      return;
    }
    if (item.value() == null) {
      registeredWorkers.remove(machine);
      removed.add(item.key(), item.version());
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

  private void applyDuty(Reply.Item item) {
    Reply.Item known = duties.get(item.key());
    if ((known != null && item.version() <= known.version())
        || removed.isRemovedSince(item.key(), item.version())) {
      return;
    }
    if (item.value() == null) {
      duties.remove(item.key());
      removed.add(item.key(), item.version());
    } else {
      duties.put(item.key(), item);
    }
  }

  private void applyLeader(Reply.Item item) {
    if (item.version() > leaderVersion) {
      leaderVersion = item.version();
      leader = item.value() == null ? null : leader(item);
      listener.leaderChanged();
    }
  }

  private static Leader leader(Reply.Item item) {
    LeaderRecord record = read(item, LeaderRecord.class);
    return new Leader(record.node(), record.runId(), record.lease(), item.version());
  }

  private void applyCatalog(Reply.Item item) {
    if (item.value() != null && item.version() > catalogVersion) {
      catalogVersion = item.version();
      catalog = read(item, CatalogRecord.class).types();
    }
  }

  /** Takes what is read from the state service. */
  private final class FeedTarget implements ReplicaFeed.Target {
    @Override
    public void apply(Reply.Item item) {
      Replica.this.apply(item);
    }

    @Override
    public void loaded(Set<String> listedKeys, long atRevision) {
      removeUnlisted(listedKeys, atRevision);
    }

    @Override
    public void caughtUp() {
      if (!loaded) {
        loaded = true;
        sink.info(
            "replica loaded: revision "
                + revision()
                + ", "
                + jobs().size()
                + " jobs, "
                + openJobs().size()
                + " open");
        listener.loaded();
      }
    }
  }

  /** After a gap in the watch, keys that the list no longer holds were removed meanwhile. */
  private void removeUnlisted(Set<String> listedKeys, long atRevision) {
    if (leader != null && !listedKeys.contains(StateKeys.LEADER) && leaderVersion <= atRevision) {
      remove(StateKeys.LEADER, atRevision);
    }
    for (RegisteredWorker worker : new ArrayList<>(registeredWorkers.values())) {
      String key = StateKeys.worker(worker.machine());
      if (!listedKeys.contains(key) && worker.version() <= atRevision) {
        remove(key, atRevision);
      }
    }
    for (Reply.Item duty : new ArrayList<>(duties.values())) {
      if (!listedKeys.contains(duty.key()) && duty.version() <= atRevision) {
        remove(duty.key(), atRevision);
      }
    }
  }
}
