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
 * This node's copy of the keys in the state service. The copy may be stale, so users get only final
 * job states from it without a request to the state service.
 *
 * <p>Every value has a version, and only a newer version replaces an older one. Values may arrive
 * in any order: from the watch, a list, a read, or this node's own transactions.
 */
public final class Replica {

  /** Receives changes after the replica has applied them. */
  public interface Listener {
    /** Called when the leader key was written or removed. */
    void leaderChanged();

    /**
     * Called when a job was created or has changed.
     *
     * @param isNew whether this node did not know the job before
     */
    void jobChanged(Job job, boolean isNew);

    /** Called once, when the replica has read all keys for the first time. */
    void loaded();
  }

  /**
   * The leader named by the leader key.
   *
   * @param runId identifies the process of the node
   * @param lease the lease to which the leader key is attached
   * @param term the version of the leader key
   */
  public record Leader(String node, String runId, long lease, long term) {}

  /** A worker's registration. */
  public record RegisteredWorker(
      String machine, String address, String type, String zone, boolean spot, long version) {}

  /** The stored standby record and the version of its key. */
  public record StoredStandby(StandbyRecord value, long version) {}

  private final EffectSink sink;
  private final Listener listener;
  private final long wallClockOffsetMicros;
  private final ReplicaFreshness freshness = new ReplicaFreshness();
  private final ReplicaFeed feed;
  private final JobTable jobs;
  private final Map<String, RegisteredWorker> registeredWorkers = new HashMap<>();
  private final Collection<RegisteredWorker> registeredWorkersView =
      Collections.unmodifiableCollection(registeredWorkers.values());

  /** Records under the coordination prefix by key: rentals, releases, standby, barrier. */
  private final Map<String, Reply.Item> coordinationRecords = new HashMap<>();

  private final RemovedKeys removedKeys = new RemovedKeys();
  private boolean loaded;
  private Leader leader;
  private long leaderVersion;
  private List<MachineType> catalog = List.of();
  private long catalogVersion;

  /**
   * @param listener called after the replica has applied a change
   * @param wallClockOffsetMicros the wall clock time minus this node's monotonic time
   */
  public Replica(
      Settings settings, EffectSink sink, Listener listener, long wallClockOffsetMicros) {
    this.wallClockOffsetMicros = wallClockOffsetMicros;
    this.sink = sink;
    this.listener = listener;
    this.jobs = new JobTable(settings, listener, wallClockOffsetMicros);
    this.feed = new ReplicaFeed(settings, sink, freshness, new FeedTarget());
  }

  /** Sets the current time, before the node handles an event. */
  public void advanceTo(long nowMicros) {
    feed.advanceTo(nowMicros);
    jobs.advanceTo(nowMicros);
  }

  /** Keeps the watch open and loads all keys when required. */
  public void tick(long nowMicros) {
    advanceTo(nowMicros);
    feed.tick();
  }

  // State.

  /** Returns whether the replica has read all keys at least once. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the current leader, or null when no leader is known. */
  public Leader leader() {
    return leader;
  }

  /** Returns the machine types that can be rented; empty until the catalog is read. */
  public List<MachineType> catalog() {
    return catalog;
  }

  /** Returns the version of the catalog key, or 0 when the key was not read yet. */
  public long catalogVersion() {
    return catalogVersion;
  }

  /** Returns a job, or null when this node does not know the job. */
  public Job job(String id) {
    return jobs.get(id);
  }

  /** Returns a read-only view of all jobs, open and final. */
  public Collection<Job> jobs() {
    return jobs.all();
  }

  /** Returns a read-only view of the open jobs, in the order in which this node learned of them. */
  public Collection<Job> openJobs() {
    return jobs.open();
  }

  /**
   * Returns the cancelled jobs whose tasks a worker may still run, ordered by when this node saw
   * the cancellation. This method drops older jobs, so the age limit is the same for every caller.
   * A caller with a shorter limit would drop jobs that another caller still has to count.
   */
  public Collection<Job> recentlyCancelled(long nowMicros) {
    return jobs.recentlyCancelled(nowMicros);
  }

  /** Returns a read-only view of the registered workers: every machine on which tasks may run. */
  public Collection<RegisteredWorker> registeredWorkers() {
    return registeredWorkersView;
  }

  /** Returns the registration of a worker, or null when the worker is not registered. */
  public RegisteredWorker registeredWorker(String machine) {
    return registeredWorkers.get(machine);
  }

  /** Returns whether a worker is registered on the machine. */
  public boolean isRegistered(String machine) {
    return registeredWorkers.containsKey(machine);
  }

  /** Returns a copy of the coordination records of leaders, ordered by key. */
  public SortedMap<String, StoredValue> coordinationRecords() {
    SortedMap<String, StoredValue> records = new TreeMap<>();
    coordinationRecords.values().forEach(item -> records.put(item.key(), item.value()));
    return records;
  }

  /** Returns the coordination record with this key, or null when there is none. */
  public Reply.Item coordinationRecord(String key) {
    return coordinationRecords.get(key);
  }

  /** Returns the standby record, or null when there is none. */
  public StoredStandby standby() {
    Reply.Item item = coordinationRecords.get(StateKeys.STANDBY);
    return item == null ? null : new StoredStandby((StandbyRecord) item.value(), item.version());
  }

  /**
   * Converts a monotonic time of this node to its wall clock time, for records that other nodes
   * read.
   */
  public long wallClockMicros(long nowMicros) {
    return nowMicros + wallClockOffsetMicros;
  }

  // Freshness.

  /** Returns the revision up to which the replica holds every change. */
  public long revision() {
    return freshness.revision();
  }

  /**
   * Returns the send time of the latest request whose answer shows that the replica holds every
   * change made until that time. Only such an answer advances the time; a lease renewal does not.
   */
  public long freshAsOfMicros() {
    return freshness.freshAsOfMicros();
  }

  /**
   * Records the revision with which the state service answered a request. The replica is fresh as
   * of the send time of the request once the replica has reached that revision.
   */
  public void recordAnswer(long sentMicros, long atRevision) {
    freshness.recordAnswer(sentMicros, atRevision);
  }

  // Changes.

  /** Applies the value of a key if its version is newer than the known one. */
  public void apply(Reply.Item item) {
    String key = item.key();
    StateKeys.Kind kind = StateKeys.kindOf(key);
    try {
      switch (kind) {
        case JOB -> applyJob(kind.idOf(key), item);
        case PROGRESS -> applyProgress(kind.idOf(key), item);
        case WORKER -> applyWorker(kind.idOf(key), item);
        case BARRIER, STANDBY, RENTAL, RELEASE, OTHER_COORDINATION -> applyCoordinationRecord(item);
        case LEADER -> applyLeader(item);
        case CATALOG -> applyCatalog(item);
        case UNKNOWN -> {}
      }
    } catch (RuntimeException e) {
      // One unreadable value, written by a faulty or much newer version, must not stop the node.
      sink.error("unreadable value key=" + key + ": " + e);
    }
  }

  /**
   * Applies a cancellation that a peer has committed. Ignores the cancellation when the job is
   * unknown, already final, or has the same or a newer version; the watch delivers the state of
   * such a job.
   */
  public void applyCancellation(Cancellation cancellation) {
    jobs.apply(cancellation);
  }

  /**
   * Removes a key that did not exist at a revision, as a read has shown. A value written after that
   * revision stays. Without the revision check, a watch could deliver a registration written after
   * the read, before the answer to the read arrived. The answer then removed the registration from
   * the replica, and this node would not have queried that machine after a failover.
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

  /**
   * Returns the value of an item as the type that its key requires.
   *
   * @throws UnreadableValueException when the value could not be decoded
   */
  private static <T extends StoredValue> T valueOf(Reply.Item item, Class<T> type) {
    if (item.value() instanceof UnreadableValue unreadable) {
      throw new UnreadableValueException(unreadable.problem());
    }
    return type.cast(item.value());
  }

  private void applyJob(String id, Reply.Item item) {
    if (item.value() != null && jobs.isNewer(id, item.version())) {
      jobs.apply(id, valueOf(item, JobRecord.class), item.version());
    }
  }

  private void applyProgress(String id, Reply.Item item) {
    Job job = jobs.get(id);
    if (job == null) {
      // The key of a job is written earlier and sorts before its progress key, so the job is
      // normally known before its progress arrives.
      if (item.value() != null) {
        sink.debug("ignored progress of unknown job=" + id);
      }
      return;
    }
    // The version of an unreadable value is recorded too, so that the leader can replace the value.
    if (item.value() != null && job.advanceProgressTo(item.version())) {
      ProgressRecord record = valueOf(item, ProgressRecord.class);
      job.setDurableProgress(record.done(), record.running());
    }
  }

  private void applyWorker(String machine, Reply.Item item) {
    RegisteredWorker known = registeredWorkers.get(machine);
    if ((known != null && item.version() <= known.version())
        || removedKeys.isRemovedSince(item.key(), item.version())) {
      return;
    }
    if (item.value() == null) {
      registeredWorkers.remove(machine);
      removedKeys.add(item.key(), item.version());
      return;
    }
    WorkerRecord record = valueOf(item, WorkerRecord.class);
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

  private void applyCoordinationRecord(Reply.Item item) {
    Reply.Item known = coordinationRecords.get(item.key());
    if ((known != null && item.version() <= known.version())
        || removedKeys.isRemovedSince(item.key(), item.version())) {
      return;
    }
    if (item.value() == null) {
      coordinationRecords.remove(item.key());
      removedKeys.add(item.key(), item.version());
    } else {
      coordinationRecords.put(item.key(), item);
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
    LeaderRecord record = valueOf(item, LeaderRecord.class);
    return new Leader(record.node(), record.runId(), record.lease(), item.version());
  }

  private void applyCatalog(Reply.Item item) {
    if (item.value() != null && item.version() > catalogVersion) {
      catalogVersion = item.version();
      catalog = valueOf(item, CatalogRecord.class).types();
    }
  }

  /** Applies to the replica what the feed reads from the state service. */
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
            "replica loaded revision="
                + revision()
                + " jobs="
                + jobs().size()
                + " openJobs="
                + openJobs().size());
        listener.loaded();
      }
    }
  }

  /**
   * Removes the leader, registrations and coordination records that a full list does not contain.
   * These keys were removed from the state service during a gap in the watch.
   */
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
    for (Reply.Item record : new ArrayList<>(coordinationRecords.values())) {
      if (!listedKeys.contains(record.key()) && record.version() <= atRevision) {
        remove(record.key(), atRevision);
      }
    }
  }
}
