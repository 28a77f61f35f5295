package org.eiderstair.core.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A machine as the leader of one term knows it: the attempts that may be on the machine, and how
 * far that knowledge is confirmed.
 *
 * <p>This class holds only the state of the machine. The packages that make decisions call its
 * methods. The callers also update the registry's sets and the list of available machines.
 */
public final class Machine implements MonitoredMachine {

  /** The extent to which the leader knows the attempts on a machine. */
  public enum Phase {
    /** The machine was rented and has sent no heartbeat. */
    BOOTING,
    /** The machine may hold work of earlier terms. */
    UNCONFIRMED,
    /**
     * The machine has not shown this leader's fencing token. Of earlier terms, the machine holds at
     * most the attempts that were replicated to this node as the previous leader's standby.
     */
    RECOVERED,
    /** The machine has shown the fencing token of this leader. */
    CONFIRMED,
    /**
     * Earlier commands with unknown outcome may still arrive. The machine has yet to show its
     * current fencing token.
     */
    FENCING,
    /** The machine had no heartbeat answer until its lease expired, so no task is on it. */
    LEASE_EXPIRED,
    /** The machine is deleted. */
    TERMINATED
  }

  /** The use that the leader intends for a machine. */
  public enum Plan {
    /** The machine gets new work. */
    ACTIVE,
    /** The machine gets no new work; its current tasks go on. */
    DRAIN,
    /** The machine gets no new work and must be deleted. */
    TERMINATE
  }

  private final String id;
  private String address;
  private MachineType type;
  private String typeName;
  private String zone;
  private boolean spot;
  private boolean registered;

  private final MachineFence fence;

  private Phase phase;
  private Plan plan = Plan.ACTIVE;
  private long incarnation;
  private long highestIncarnation;
  private long sequence;
  private boolean relayed;
  private boolean presumedDead;
  private boolean partitioned;
  private boolean excess;
  private boolean reservedForOnDemand;

  private long createdMicros;
  private long lastContactMicros;
  private long answeredMicros;
  private long holdUntilMicros;
  private long idleSinceMicros;

  private final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();
  private final List<Attempt> plannedLaunches = new ArrayList<>();
  private final List<Attempt> queue = new ArrayList<>();
  private final Map<TaskId, Order.Kill> untrackedTasks = new HashMap<>();
  private final Map<TaskId, Order.Acknowledge> acknowledgements = new HashMap<>();

  private final Collection<Attempt> attemptsView =
      Collections.unmodifiableCollection(attempts.values());
  private final List<Attempt> plannedLaunchesView = Collections.unmodifiableList(plannedLaunches);
  private final List<Attempt> queueView = Collections.unmodifiableList(queue);
  private final Collection<Order.Kill> untrackedTasksView =
      Collections.unmodifiableCollection(untrackedTasks.values());
  private final Collection<Order.Acknowledge> acknowledgementsView =
      Collections.unmodifiableCollection(acknowledgements.values());

  private final FreeResources freeResources = new FreeResources();
  private final ImageCache images = new ImageCache();
  private final CommandState commands = new CommandState();
  private final PendingHeartbeat pendingHeartbeat = new PendingHeartbeat();
  private final FailureHistory failures = new FailureHistory();

  public Machine(String id, long term, Phase phase, long nowMicros) {
    this.id = id;
    this.fence = new MachineFence(FencingToken.first(term));
    this.phase = phase;
    this.createdMicros = nowMicros;
    this.idleSinceMicros = nowMicros;
    this.lastContactMicros = nowMicros;
  }

  /** Returns the name that the platform gave the machine. */
  public String id() {
    return id;
  }

  @Override
  public String machine() {
    return id;
  }

  // Description.

  /** Returns the address on which the worker listens; null until known. */
  public String address() {
    return address;
  }

  /** Returns the machine type; null until the type was found in the catalog. */
  public MachineType type() {
    return type;
  }

  /** Returns the name of the machine type; null until known. */
  public String typeName() {
    return typeName;
  }

  @Override
  public String zone() {
    return zone;
  }

  /** Returns whether the machine is a spot instance. */
  public boolean isSpot() {
    return spot;
  }

  /** Sets the description that a heartbeat, the platform or the registration gives. */
  public void describe(String newAddress, String newTypeName, String newZone, boolean isSpot) {
    address = newAddress;
    typeName = newTypeName;
    zone = newZone;
    spot = isSpot;
  }

  /** Sets the machine type. */
  public void assignType(MachineType newType) {
    type = newType;
  }

  /** Looks up the machine type by name; keeps the current type if the catalog lacks the name. */
  public void resolveType(Iterable<MachineType> catalog) {
    for (MachineType candidate : catalog) {
      if (candidate.name().equals(typeName)) {
        type = candidate;
      }
    }
  }

  /** Returns whether the registration is durable; nothing is launched on the machine before. */
  public boolean isRegistered() {
    return registered;
  }

  /** Records that the registration is durable. */
  public void markRegistered() {
    registered = true;
  }

  // Phase and plan.

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Sets the phase. The worker registry calls this method and updates its sets with the phase. */
  public void enterPhase(Phase next) {
    phase = next;
  }

  @Override
  public boolean unconfirmed() {
    return phase == Phase.UNCONFIRMED;
  }

  /** Returns whether the incarnation and all attempts are known, so that work can be assigned. */
  public boolean isStateKnown() {
    return phase == Phase.CONFIRMED || (phase == Phase.RECOVERED && incarnation > 0);
  }

  /** Returns the use that the leader intends for the machine. */
  public Plan plan() {
    return plan;
  }

  /** Sets the plan to {@link Plan#DRAIN}. */
  public void drain() {
    plan = Plan.DRAIN;
  }

  /** Sets the plan to {@link Plan#TERMINATE}. */
  public void terminate() {
    plan = Plan.TERMINATE;
  }

  /** Sets the plan back to {@link Plan#ACTIVE}, after a deletion was cancelled. */
  public void reactivate() {
    plan = Plan.ACTIVE;
    presumedDead = false;
  }

  /** Returns whether the machine is released only because its heartbeats were missing. */
  public boolean isPresumedDead() {
    return presumedDead;
  }

  /** Sets whether the machine is released only because its heartbeats were missing. */
  public void setPresumedDead(boolean dead) {
    presumedDead = dead;
  }

  /** Returns whether the machine is silent in a zone partitioned from all controllers. */
  public boolean isPartitioned() {
    return partitioned;
  }

  /** Sets whether the machine is silent in a zone partitioned from all controllers. */
  public void setPartitioned(boolean isPartitioned) {
    partitioned = isPartitioned;
  }

  /**
   * Returns whether the machine exceeds the demand. Placement prefers other machines, so that an
   * excess machine becomes idle and is scaled in.
   */
  public boolean isExcess() {
    return excess;
  }

  /** Sets whether the machine exceeds the demand. */
  public void setExcess(boolean beyondDemand) {
    excess = beyondDemand;
  }

  /**
   * Returns whether the machine is an on-demand machine that exceeds the demand. Work that may run
   * on spot machines is not placed on such a machine, so that it can be scaled in.
   */
  public boolean isReservedForOnDemand() {
    return reservedForOnDemand;
  }

  /** Sets whether the machine is reserved for work that may not run on spot machines. */
  public void setReservedForOnDemand(boolean reserved) {
    reservedForOnDemand = reserved;
  }

  /** Returns whether work may be assigned to the machine now. */
  public boolean isUsable(long nowMicros) {
    return isStateKnown()
        && plan == Plan.ACTIVE
        && registered
        && type != null
        && nowMicros >= holdUntilMicros;
  }

  /** Returns the time until which the machine gets no work; 0 if none was set. */
  public long holdUntilMicros() {
    return holdUntilMicros;
  }

  /** Assigns no work to the machine until the given time. */
  public void holdUntil(long micros) {
    holdUntilMicros = micros;
  }

  /** Returns the time at which the machine was rented, or became known to this leader. */
  public long createdMicros() {
    return createdMicros;
  }

  /** Sets the time at which the platform began to boot the machine. */
  public void setCreatedMicros(long micros) {
    createdMicros = micros;
  }

  /** Returns the time since which the machine has held no attempts. */
  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** Restarts the idle time, since the machine was in use or its state was unknown until now. */
  public void markInUse(long nowMicros) {
    idleSinceMicros = nowMicros;
  }

  // Heartbeats, lease and commands.

  /** Returns the last known incarnation of the worker; 0 if none is known. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the sequence number of the newest heartbeat in the current incarnation. */
  public long sequence() {
    return sequence;
  }

  /** Records the incarnation and the sequence number of the newest heartbeat. */
  public void advanceTo(long newIncarnation, long newSequence) {
    incarnation = newIncarnation;
    highestIncarnation = Math.max(highestIncarnation, newIncarnation);
    sequence = newSequence;
  }

  /**
   * Returns whether a heartbeat with this incarnation may come from a worker that another one has
   * replaced, although the incarnation is higher than the current one.
   */
  public boolean mayBeOfReplacedWorker(long heartbeatIncarnation) {
    return heartbeatIncarnation > incarnation && heartbeatIncarnation <= highestIncarnation;
  }

  /**
   * Replaces the numbers of the worker by those of another worker on the same machine. Launches in
   * answers to heartbeats of the previous worker reach no one, so any answered heartbeat of the new
   * one shows that they are gone.
   */
  public void restartWorker(Heartbeat heartbeat) {
    advanceTo(heartbeat.incarnation(), heartbeat.sequence());
    fence.raise();
    fence.recordReported(heartbeat.fencingToken());
    forgetImages();
    for (Attempt attempt : attempts.values()) {
      if (attempt.phase() == Attempt.Phase.SENT
          && attempt.sentSequence() != Attempt.SENT_BY_COMMAND) {
        attempt.markSent(0);
      }
    }
  }

  /** Sets the incarnation from the standby's replica, which does not contain heartbeats. */
  public void recoverIncarnation(long knownIncarnation) {
    incarnation = knownIncarnation;
  }

  @Override
  public long lastHeartbeatMicros() {
    return phase == Phase.BOOTING ? Long.MAX_VALUE : lastContactMicros;
  }

  /** Returns the time of the last heartbeat or reply, or else of the machine's addition. */
  public long lastContactMicros() {
    return lastContactMicros;
  }

  /** Records that a heartbeat, or a reply to a command, was received. */
  public void recordContact(long nowMicros) {
    lastContactMicros = nowMicros;
  }

  /** Returns whether a peer relayed the last heartbeat; this node may not reach the machine. */
  public boolean isRelayed() {
    return relayed;
  }

  /** Sets whether a peer relayed the last heartbeat. */
  public void setRelayed(boolean isRelayed) {
    relayed = isRelayed;
  }

  /**
   * Returns the latest time from which the worker's lease may run: the last successful answer to a
   * heartbeat, or a later start of a new lease.
   */
  public long answeredMicros() {
    return answeredMicros;
  }

  /** Records that a successful answer to a heartbeat is sent, or that a new lease may start. */
  public void recordAnswer(long nowMicros) {
    answeredMicros = nowMicros;
  }

  /** Returns the heartbeat that waits for its answer. */
  public PendingHeartbeat pendingHeartbeat() {
    return pendingHeartbeat;
  }

  /** Returns the fencing tokens of the machine. */
  public MachineFence fence() {
    return fence;
  }

  /** Returns the fencing token for commands to the machine. */
  public FencingToken fencingToken() {
    return fence.token();
  }

  /** Returns the state of commands to the machine. */
  public CommandState commands() {
    return commands;
  }

  /** Returns the history of task failures on the machine. */
  public FailureHistory failures() {
    return failures;
  }

  // Attempts and reported tasks.

  /** Returns an unmodifiable view of the attempts that may be on or are assigned to the machine. */
  public Collection<Attempt> attempts() {
    return attemptsView;
  }

  /** Returns the attempt of a task that may be on or is assigned to the machine; null if none. */
  public Attempt attempt(TaskId task) {
    return attempts.get(task);
  }

  /** Adds an attempt that may be on the machine or is assigned to the machine. */
  public void addAttempt(Attempt attempt) {
    attempts.put(attempt.task(), attempt);
  }

  /** Removes an attempt; returns false if the machine does not have the attempt. */
  public boolean removeAttempt(Attempt attempt) {
    return attempts.remove(attempt.task(), attempt);
  }

  /**
   * Returns an unmodifiable view of the attempts whose launches go with the next command or
   * heartbeat answer. Their resources are reserved.
   */
  public List<Attempt> plannedLaunches() {
    return plannedLaunchesView;
  }

  /** Adds an attempt to the planned launches. */
  public void planLaunch(Attempt attempt) {
    plannedLaunches.add(attempt);
  }

  /** Removes an attempt from the planned launches. */
  public void cancelLaunch(Attempt attempt) {
    plannedLaunches.remove(attempt);
  }

  /**
   * Removes and returns the planned launches that can be sent now.
   *
   * @param acknowledges whether the message carries the acknowledgements. A worker may forget an
   *     ended attempt when it starts another one of the same task, so without them the launches of
   *     these tasks stay planned.
   */
  public List<Attempt> takeLaunches(boolean acknowledges) {
    if (plannedLaunches.isEmpty()) {
      return List.of();
    }
    List<Attempt> taken = new ArrayList<>();
    List<Attempt> kept = new ArrayList<>();
    for (Attempt attempt : plannedLaunches) {
      boolean waits = !acknowledges && acknowledgements.containsKey(attempt.task());
      (waits ? kept : taken).add(attempt);
    }
    plannedLaunches.clear();
    plannedLaunches.addAll(kept);
    return taken;
  }

  /**
   * Returns an unmodifiable view of the attempts that wait at the leader for free resources of this
   * machine, the most urgent first.
   */
  public List<Attempt> queue() {
    return queueView;
  }

  /** Adds an attempt to the queue, behind those of equal or higher urgency. */
  public void enqueue(Attempt attempt) {
    int position = queue.size();
    while (position > 0 && queue.get(position - 1).job().isLessUrgentThan(attempt.job())) {
      position--;
    }
    queue.add(position, attempt);
  }

  /** Removes an attempt from the queue. */
  public void dequeue(Attempt attempt) {
    queue.remove(attempt);
  }

  /**
   * Returns an unmodifiable view of the kill orders for untracked tasks. An untracked task was in
   * the last heartbeat, but no attempt of the leader matches it.
   */
  public Collection<Order.Kill> untrackedTasks() {
    return untrackedTasksView;
  }

  /** Adds the kill order for an untracked task on the machine. */
  public void addUntrackedTask(Order.Kill kill) {
    untrackedTasks.put(kill.task(), kill);
  }

  /**
   * Returns an unmodifiable view of the acknowledgements for ended tasks of the last heartbeat. The
   * machine may forget these tasks: their outcome is durable or needs no record.
   */
  public Collection<Order.Acknowledge> acknowledgements() {
    return acknowledgementsView;
  }

  /** Adds an acknowledgement, so that the machine may forget an ended task. */
  public void acknowledge(Order.Acknowledge order) {
    acknowledgements.put(order.task(), order);
  }

  /** Removes the untracked tasks and the acknowledgements of the last heartbeat. */
  public void clearReportedTasks() {
    untrackedTasks.clear();
    acknowledgements.clear();
  }

  // Resources.

  /** Recomputes the free resources from all attempts that are not queued. */
  public void recomputeFreeResources() {
    freeResources.reset(type);
    for (Attempt attempt : attempts.values()) {
      if (attempt.phase() != Attempt.Phase.QUEUED) {
        freeResources.reserve(attempt.spec());
      }
    }
  }

  /** Reserves the resources of one task. */
  public void reserve(JobSpec spec) {
    freeResources.reserve(spec);
  }

  /** Releases the resources of one task. */
  public void release(JobSpec spec) {
    freeResources.release(spec);
  }

  /**
   * Returns whether one more task fits into the free resources. No task fits while there are
   * untracked tasks, since their resource use is unknown.
   */
  public boolean fits(JobSpec spec) {
    return untrackedTasks.isEmpty() && freeResources.fits(spec);
  }

  /** Returns whether processors and memory are free and there are no untracked tasks. */
  public boolean hasFreeResources() {
    return untrackedTasks.isEmpty() && freeResources.hasAny();
  }

  /** Returns the free processors; never negative. */
  public double freeCpus() {
    return Math.max(0, freeResources.cpus());
  }

  /** Returns whether the constraints and the task size of a job allow this machine. */
  public boolean allows(JobSpec spec) {
    return spec.allows(typeName, zone, spot) && type.fits(spec);
  }

  /** Returns whether the machine is expected to have the job's image cached. */
  public boolean hasImage(JobSpec spec) {
    return images.contains(spec);
  }

  /** Records that a task on the machine, or planned for the machine, uses the job's image. */
  public void useImage(JobSpec spec) {
    images.use(spec, type);
  }

  /** Forgets all images, since the content of the cache is unknown. */
  public void forgetImages() {
    images.clear();
  }
}
