package org.eiderstair.core.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A machine as the leader of one term knows it: what may be on it, and how far that is confirmed.
 *
 * <p>It keeps its own state only. The packages that decide call its named methods; what must follow
 * a change elsewhere (the registry's sets, the list of available machines) is theirs.
 */
public final class Machine implements MonitoredMachine {

  /**
   * BOOTING was rented and has sent no heartbeat. UNCONFIRMED may hold work of earlier terms.
   * RECOVERED has sent no heartbeat in this term, but holds no more than what was replicated to
   * this node as the standby of the last. CONFIRMED has shown our fencing token. FENCING got a
   * command whose fate is unknown. LEASE_EXPIRED has had no answer for so long that its lease has
   * expired, so nothing is on it. TERMINATED is deleted.
   */
  public enum Phase {
    BOOTING,
    UNCONFIRMED,
    RECOVERED,
    CONFIRMED,
    FENCING,
    LEASE_EXPIRED,
    TERMINATED
  }

  /** What the leader intends to do with it. */
  public enum Plan {
    ACTIVE,
    DRAIN,
    TERMINATE
  }

  private final String id;
  private String address;
  private MachineType type;
  private String typeName;
  private String zone;
  private boolean spot;
  private boolean registered;

  private Phase phase;
  private Plan plan = Plan.ACTIVE;
  private long incarnation;
  private long sequence;
  private FencingToken fencingToken;
  private boolean relayed;
  private boolean presumedDead;
  private boolean partitioned;
  private boolean excess;
  private boolean reservedForOnDemand;

  private long sinceMicros;
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
    this.fencingToken = FencingToken.first(term);
    this.phase = phase;
    this.sinceMicros = nowMicros;
    this.idleSinceMicros = nowMicros;
    this.lastContactMicros = nowMicros;
  }

  /** The name that the platform gave it. */
  public String id() {
    return id;
  }

  @Override
  public String machine() {
    return id;
  }

  // What it is.

  /** Where its worker listens; null until that is known. */
  public String address() {
    return address;
  }

  /** Its type; null while the catalogue does not contain it. */
  public MachineType type() {
    return type;
  }

  /** The name of its type; null until that is known. */
  public String typeName() {
    return typeName;
  }

  @Override
  public String zone() {
    return zone;
  }

  /** Whether it is a spot instance. */
  public boolean isSpot() {
    return spot;
  }

  /** Records what a heartbeat, the platform or its registration says of it. */
  public void describe(String itsAddress, String itsTypeName, String itsZone, boolean isSpot) {
    address = itsAddress;
    typeName = itsTypeName;
    zone = itsZone;
    spot = isSpot;
  }

  /** Its type is in the catalogue. */
  public void assignType(MachineType itsType) {
    type = itsType;
  }

  /** Takes its type from the catalogue; a type that is not there any more stays as it was. */
  public void resolveType(Iterable<MachineType> catalog) {
    for (MachineType candidate : catalog) {
      if (candidate.name().equals(typeName)) {
        type = candidate;
      }
    }
  }

  /** Whether its registration is durable; before that nothing is launched on it. */
  public boolean isRegistered() {
    return registered;
  }

  /** Its registration is durable. */
  public void markRegistered() {
    registered = true;
  }

  // What is known of it, and what is to become of it.

  /** How far its state is known. */
  public Phase phase() {
    return phase;
  }

  /** Its state is known so far from now on; the registry's sets follow by its own call of this. */
  public void enterPhase(Phase next) {
    phase = next;
  }

  @Override
  public boolean unconfirmed() {
    return phase == Phase.UNCONFIRMED;
  }

  /** Whether all that may be on it and its incarnation are known, so that it can be given work. */
  public boolean known() {
    return phase == Phase.CONFIRMED || (phase == Phase.RECOVERED && incarnation > 0);
  }

  /** What the leader intends to do with it. */
  public Plan plan() {
    return plan;
  }

  /** It gets no new work; what runs on it goes on. */
  public void drain() {
    plan = Plan.DRAIN;
  }

  /** It gets no new work and is to be deleted. */
  public void terminate() {
    plan = Plan.TERMINATE;
  }

  /** It is not to be deleted after all. */
  public void reactivate() {
    plan = Plan.ACTIVE;
    presumedDead = false;
  }

  /** Whether its release was decided only because it had been silent for too long. */
  public boolean isPresumedDead() {
    return presumedDead;
  }

  /** Records whether its release is decided only because it has been silent for too long. */
  public void setPresumedDead(boolean dead) {
    presumedDead = dead;
  }

  /** Whether it is silent, in a zone that is partitioned from all controllers. */
  public boolean isPartitioned() {
    return partitioned;
  }

  /** Records whether it is silent in a zone that is partitioned from all controllers. */
  public void setPartitioned(boolean cutOff) {
    partitioned = cutOff;
  }

  /** Whether it is beyond the demand: placed on last, so that it becomes idle and is scaled in. */
  public boolean isExcess() {
    return excess;
  }

  /** Records whether it is beyond the demand. */
  public void setExcess(boolean beyondDemand) {
    excess = beyondDemand;
  }

  /**
   * Whether it is an on-demand machine beyond the demand at hand: work that may run on spot
   * machines is not placed on it, so that it can be scaled in.
   */
  public boolean isReservedForOnDemand() {
    return reservedForOnDemand;
  }

  /** Records whether only work that may not run on spot machines is placed on it. */
  public void setReservedForOnDemand(boolean reserved) {
    reservedForOnDemand = reserved;
  }

  /** Whether it may be given work now. */
  public boolean usable(long nowMicros) {
    return known()
        && plan == Plan.ACTIVE
        && registered
        && type != null
        && nowMicros >= holdUntilMicros;
  }

  /** When a pause in which it gets no work ends. */
  public long holdUntilMicros() {
    return holdUntilMicros;
  }

  /** It gets no work until then. */
  public void holdUntil(long micros) {
    holdUntilMicros = micros;
  }

  /** When it was rented, or became known. */
  public long sinceMicros() {
    return sinceMicros;
  }

  /** Records when the platform began to boot it. */
  public void setSince(long micros) {
    sinceMicros = micros;
  }

  /** Since when nothing has been on it. */
  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** Something was on it until now, or it was not known until now. */
  public void markInUse(long nowMicros) {
    idleSinceMicros = nowMicros;
  }

  // Its heartbeats, lease and commands.

  /** The worker's incarnation of its last heartbeat; 0 before the first. */
  public long incarnation() {
    return incarnation;
  }

  /** The number of its last heartbeat in that incarnation. */
  public long sequence() {
    return sequence;
  }

  /** A heartbeat is the newest one from now on. */
  public void advanceTo(long newIncarnation, long newSequence) {
    incarnation = newIncarnation;
    sequence = newSequence;
  }

  /** Its incarnation is known from what was replicated; none of its heartbeats is. */
  public void recoverIncarnation(long knownIncarnation) {
    incarnation = knownIncarnation;
  }

  @Override
  public long lastHeartbeatMicros() {
    return phase == Phase.BOOTING ? Long.MAX_VALUE : lastContactMicros;
  }

  /** When the last heartbeat or reply of it came, or else when it became known. */
  public long lastContactMicros() {
    return lastContactMicros;
  }

  /** A heartbeat, or a reply to a command, has come. */
  public void recordContact(long nowMicros) {
    lastContactMicros = nowMicros;
  }

  /** Whether its last heartbeat came through a peer: this node may not reach it. */
  public boolean isRelayed() {
    return relayed;
  }

  /** Records which way its heartbeat came. */
  public void setRelayed(boolean throughPeer) {
    relayed = throughPeer;
  }

  /** When our last 200 to one of its heartbeats left; its lease may run from then. */
  public long answeredMicros() {
    return answeredMicros;
  }

  /** A 200 to one of its heartbeats leaves. */
  public void recordAnswer(long nowMicros) {
    answeredMicros = nowMicros;
  }

  /** The heartbeat that waits for its answer. */
  public PendingHeartbeat pendingHeartbeat() {
    return pendingHeartbeat;
  }

  /** The fencing token of commands to this machine. */
  public FencingToken fencingToken() {
    return fencingToken;
  }

  /** Invalidates older commands: the machine refuses them once it has seen the new token. */
  public void raiseFence() {
    fencingToken = fencingToken.raise();
  }

  /** What is on its way to it by command. */
  public CommandState commands() {
    return commands;
  }

  /** The tasks that failed on it. */
  public FailureHistory failures() {
    return failures;
  }

  // What may be on it.

  /** Everything that may be on the machine, or is meant for it; for reading. */
  public Collection<Attempt> attempts() {
    return attemptsView;
  }

  /**
   * The attempt of a task that may be on the machine, or is meant for it; null if there is none.
   */
  public Attempt attempt(TaskId task) {
    return attempts.get(task);
  }

  /** An attempt may be on the machine, or is meant for it, from now on. */
  public void addAttempt(Attempt attempt) {
    attempts.put(attempt.task(), attempt);
  }

  /** Removes an attempt; false if it is not here. */
  public boolean removeAttempt(Attempt attempt) {
    return attempts.remove(attempt.task(), attempt);
  }

  /** Attempts that go with the next command; resources are reserved for them. For reading. */
  public List<Attempt> plannedLaunches() {
    return plannedLaunchesView;
  }

  /** An attempt goes with the next command. */
  public void planLaunch(Attempt attempt) {
    plannedLaunches.add(attempt);
  }

  /** An attempt does not go with the next command after all. */
  public void cancelLaunch(Attempt attempt) {
    plannedLaunches.remove(attempt);
  }

  /** Takes out all attempts that go with the next command, to be sent now. */
  public List<Attempt> takeLaunches() {
    if (plannedLaunches.isEmpty()) {
      return List.of();
    }
    List<Attempt> taken = new ArrayList<>(plannedLaunches);
    plannedLaunches.clear();
    return taken;
  }

  /**
   * Attempts that wait at the leader for free resources of this machine, the most urgent first; for
   * reading.
   */
  public List<Attempt> queue() {
    return queueView;
  }

  /** An attempt waits at the leader for free resources, behind those that are as urgent. */
  public void enqueue(Attempt attempt) {
    int position = queue.size();
    while (position > 0 && queue.get(position - 1).job().isLessUrgentThan(attempt.job())) {
      position--;
    }
    queue.add(position, attempt);
  }

  /** An attempt does not wait any more. */
  public void dequeue(Attempt attempt) {
    queue.remove(attempt);
  }

  /** Tasks that the last heartbeat contained and no attempt is known for, with what kills them. */
  public Collection<Order.Kill> untrackedTasks() {
    return untrackedTasksView;
  }

  /** The machine holds a task that no attempt is known for. */
  public void addUntrackedTask(Order.Kill kill) {
    untrackedTasks.put(kill.task(), kill);
  }

  /**
   * Ended tasks of the last heartbeat that the machine may forget: their outcome is durable, or
   * needs no record.
   */
  public Collection<Order.Acknowledge> acknowledgements() {
    return acknowledgementsView;
  }

  /** The machine may forget an ended task. */
  public void acknowledge(Order.Acknowledge order) {
    acknowledgements.put(order.task(), order);
  }

  /** Forgets the entries of the last heartbeat that no attempt is known for. */
  public void clearReportedTasks() {
    untrackedTasks.clear();
    acknowledgements.clear();
  }

  // Its resources.

  /** Computes the free resources anew from everything that may be on the machine. */
  public void recomputeFreeResources() {
    freeResources.reset(type);
    for (Attempt attempt : attempts.values()) {
      if (attempt.phase() != Attempt.Phase.QUEUED) {
        freeResources.reserve(attempt.spec());
      }
    }
  }

  /** Reserves resources for a task. */
  public void reserve(JobSpec spec) {
    freeResources.reserve(spec);
  }

  /** Releases the resources of a task. */
  public void release(JobSpec spec) {
    freeResources.release(spec);
  }

  /**
   * Whether a task fits beside what is there. None does while there are untracked tasks, since
   * nobody knows what they use.
   */
  public boolean fits(JobSpec spec) {
    return untrackedTasks.isEmpty() && freeResources.fits(spec);
  }

  /** Whether anything at all fits. */
  public boolean hasFreeResources() {
    return untrackedTasks.isEmpty() && freeResources.isAny();
  }

  /** Free processors; never negative. */
  public double freeCpus() {
    return Math.max(0, freeResources.cpus());
  }

  /** Whether a job's constraints and size allow this machine. */
  public boolean allows(JobSpec spec) {
    return spec.allows(typeName, zone, spot) && type.fits(spec);
  }

  /** Whether it is expected to have the image cached. */
  public boolean hasImage(JobSpec spec) {
    return images.contains(spec);
  }

  /** A task that uses an image is here or comes here. */
  public void useImage(JobSpec spec) {
    images.use(spec, type);
  }

  /** Its images are not known any more. */
  public void forgetImages() {
    images.clear();
  }
}
