package org.eiderstair.core.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A machine as the leader of one term knows it: what may be on it, and how sure that is. */
public final class Machine implements MonitoredMachine {

  /**
   * BOOTING was rented and has not reported. UNCONFIRMED may hold work of earlier terms. RECOVERED
   * has not been heard in this term, but holds no more than what this node was told as the standby
   * of the last. CONFIRMED has shown our token. FENCING got a command whose fate is unknown.
   * LEASE_EXPIRED has had no answer for so long that its lease is over, so nothing is on it.
   * TERMINATED is deleted.
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

  /** What the leader wants of it. */
  public enum Plan {
    ACTIVE,
    DRAIN,
    TERMINATE
  }

  public final String id;
  public String address;
  public MachineType type;
  public String typeName;
  public String zone;
  public boolean spot;
  public Phase phase;
  public Plan plan = Plan.ACTIVE;

  public long incarnation;
  public long sequence;
  private FencingToken fencingToken;

  /** Everything that may be on the machine, or is meant for it, by task. */
  public final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();

  /** Room is taken for these; they go with the next command. */
  public final List<Attempt> toLaunch = new ArrayList<>();

  /** Waiting at the leader for room on this machine, the most urgent first. */
  public final List<Attempt> queue = new ArrayList<>();

  /** Entries to be killed or forgotten that no attempt stands for. */
  public final Map<TaskId, Order> untrackedTasks = new HashMap<>();

  /** Ended entries that may be forgotten: their outcome is durable, or needs no record. */
  public final Map<TaskId, Order.Acknowledge> acknowledgements = new HashMap<>();

  /**
   * The images it should have, with their size, the one used longest ago first: it keeps only the
   * latest.
   */
  private final Map<String, Double> images = new LinkedHashMap<>();

  private double imagesGb;

  public boolean commandInFlight;
  public boolean killsPending;

  /** A command that only kills is on its way, beside whatever else is. */
  public boolean killInFlight;

  public long nextKillMicros;
  public long nextProbeMicros;
  public long sinceMicros;
  public long lastHeartbeatMicros;

  /** When our last 200 to a report of this machine left; its lease may run from then. */
  public long answeredMicros;

  public long holdUntilMicros;
  public long idleSinceMicros;
  public boolean registered;

  /** Its release was decided only because it had been silent for too long. */
  public boolean presumedDead;

  /** Silent, in a zone that is partitioned from all controllers. */
  public boolean partitioned;

  /** Its last report came through a peer: this node may not reach it. */
  public boolean relayed;

  /** Beyond the demand: placed on last, so that it becomes idle and can be scaled in. */
  public boolean excess;

  /**
   * An on-demand machine beyond the demand at hand: work that may run on spot machines is not
   * placed on it, so that it can be scaled in.
   */
  public boolean reservedForOnDemand;

  public final PendingHeartbeat pendingHeartbeat = new PendingHeartbeat();

  /** Where its token stands in the list; -1 when it has none. */
  public int availableIndex = -1;

  /**
   * Where it stands among the machines that may be given waiting attempts; -1 when it is not among
   * them.
   */
  public int queueableIndex = -1;

  public int errorsInRow;
  public final Set<String> failedJobs = new HashSet<>();

  public Machine(String id, long term, Phase phase, long nowMicros) {
    this.id = id;
    this.fencingToken = FencingToken.first(term);
    this.phase = phase;
    this.sinceMicros = nowMicros;
    this.idleSinceMicros = nowMicros;
    this.lastHeartbeatMicros = nowMicros;
  }

  @Override
  public String machine() {
    return id;
  }

  @Override
  public String zone() {
    return zone;
  }

  @Override
  public long lastHeartbeatMicros() {
    return phase == Phase.BOOTING ? Long.MAX_VALUE : lastHeartbeatMicros;
  }

  @Override
  public boolean unconfirmed() {
    return phase == Phase.UNCONFIRMED;
  }

  /** The fencing token of commands to this machine. */
  public FencingToken fencingToken() {
    return fencingToken;
  }

  /** Older commands die at the machine as soon as it has seen the new token. */
  public void raiseFence() {
    fencingToken = fencingToken.raise();
  }

  /** Whether it may be given work now. */
  public boolean usable(long nowMicros) {
    return known()
        && plan == Plan.ACTIVE
        && registered
        && type != null
        && nowMicros >= holdUntilMicros;
  }

  /** Whether all that may be on it and its session are known, so that it can be given work. */
  public boolean known() {
    return phase == Phase.CONFIRMED || phase == Phase.RECOVERED && incarnation > 0;
  }

  private double freeCpus;
  private double freeAccelerators;
  private double freeMemory;

  /** Works out the room that is left beside everything that may be here. */
  public void recomputeFreeResources() {
    freeCpus = type == null ? 0 : type.cpus();
    freeAccelerators = type == null ? 0 : type.accelerators();
    freeMemory = type == null ? 0 : type.memoryGb();
    for (Attempt attempt : attempts.values()) {
      if (attempt.phase != Attempt.Phase.QUEUED) {
        reserve(attempt.spec);
      }
    }
  }

  /** Takes room for a task. */
  public void reserve(JobSpec spec) {
    freeCpus -= spec.cpus();
    freeAccelerators -= spec.accelerators();
    freeMemory -= spec.memoryGb();
  }

  /** Gives back the room of a task. */
  public void release(JobSpec spec) {
    freeCpus += spec.cpus();
    freeAccelerators += spec.accelerators();
    freeMemory += spec.memoryGb();
  }

  /** None does while something unknown is here, since nobody knows what room that takes. */
  public boolean fits(JobSpec spec) {
    return untrackedTasks.isEmpty()
        && spec.cpus() <= freeCpus + 1e-6
        && spec.accelerators() <= freeAccelerators + 1e-6
        && spec.memoryGb() <= freeMemory + 1e-6;
  }

  /** Whether it is expected to have the image cached. */
  public boolean hasImage(JobSpec spec) {
    return images.containsKey(spec.image());
  }

  /**
   * A task that uses an image is here or comes here: the machine drops what it has not used for
   * longest.
   */
  public void useImage(JobSpec spec) {
    Double known = images.remove(spec.image());
    imagesGb += spec.imageGb() - (known == null ? 0 : known);
    images.put(spec.image(), spec.imageGb());
    while (type != null && imagesGb > type.cacheGb() && images.size() > 1) {
      imagesGb -= images.remove(images.keySet().iterator().next());
    }
  }

  /** Its images are not known any more. */
  public void forgetImages() {
    images.clear();
    imagesGb = 0;
  }

  /** Free processors; never negative. */
  public double freeCpus() {
    return Math.max(0, freeCpus);
  }

  double freeAccelerators() {
    return Math.max(0, freeAccelerators);
  }

  double freeMemory() {
    return Math.max(0, freeMemory);
  }

  /** Whether anything at all fits. */
  public boolean hasFreeResources() {
    return untrackedTasks.isEmpty() && freeCpus > 1e-6 && freeMemory > 1e-6;
  }

  /** Whether a job's constraints and size allow this machine. */
  public boolean allows(JobSpec spec) {
    return spec.allows(typeName, zone, spot) && type.fits(spec);
  }
}
