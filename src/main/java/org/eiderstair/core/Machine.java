package org.eiderstair.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.membership.ReachabilityClassifier;

/** A machine as the leader of one term knows it: what may be on it, and how sure that is. */
final class Machine implements ReachabilityClassifier.Member {

  /**
   * BOOTING was rented and has not reported. UNCONFIRMED may hold work of earlier terms. RECOVERED
   * has not been heard in this term, but holds no more than what this node was told as the standby
   * of the last. HEARD has shown our token. FENCING got a command whose fate is unknown. LOST has
   * had no answer for so long that its lease is over, so nothing is on it. GONE is deleted.
   */
  enum Phase {
    BOOTING,
    UNCONFIRMED,
    RECOVERED,
    HEARD,
    FENCING,
    LOST,
    GONE
  }

  /** What the leader wants of it. */
  enum Plan {
    USE,
    DRAIN,
    DELETE
  }

  final String id;
  String address;
  MachineType type;
  String typeName;
  String zone;
  boolean spot;
  Phase phase;
  Plan plan = Plan.USE;

  long session;
  long sequence;
  private final long baseToken;
  private long fence = 1;

  /** Everything that may be on the machine, or is meant for it, by task. */
  final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();

  /** Room is taken for these; they go with the next command. */
  final List<Attempt> toLaunch = new ArrayList<>();

  /** Waiting at the leader for room on this machine, the most urgent first. */
  final List<Attempt> queue = new ArrayList<>();

  /** Entries to be killed or forgotten that no attempt stands for. */
  final Map<TaskId, Order> orphans = new HashMap<>();

  /** Ended entries that may be forgotten: their outcome is durable, or needs no record. */
  final Map<TaskId, Order.Reap> reaps = new HashMap<>();

  /**
   * The images it should have, with their size, the one used longest ago first: it keeps only the
   * latest.
   */
  private final Map<String, Double> images = new LinkedHashMap<>();

  private double imagesGb;

  boolean commandInFlight;
  boolean killsPending;

  /** A command that only kills is on its way, beside whatever else is. */
  boolean killInFlight;

  long nextKillMicros;
  long nextAskMicros;
  long sinceMicros;
  long heardMicros;

  /** When our last 200 to a report of this machine left; its lease may run from then. */
  long answeredMicros;

  long holdUntilMicros;
  long idleSinceMicros;
  boolean rostered;

  /** To be given back for its silence alone. */
  boolean condemned;

  /** Silent, in a zone that nobody sees. */
  boolean dark;

  /** Its last report came through a peer: this node may not reach it. */
  boolean relayed;

  /** More than the demand asks for: used last, so that it falls idle and can be returned. */
  boolean surplus;

  /**
   * Dear and beyond what is at hand: it takes no more work that could go elsewhere, so it can be
   * returned.
   */
  boolean closing;

  final PendingReport pendingReport = new PendingReport();

  /** Where its token stands in the list; -1 when it has none. */
  int tokenIndex = -1;

  /**
   * Where it stands among the machines that may be given waiting attempts; -1 when it is not among
   * them.
   */
  int queueableIndex = -1;

  int errorsInRow;
  final Set<String> failedJobs = new HashSet<>();

  Machine(String id, long term, Phase phase, long nowMicros) {
    this.id = id;
    this.baseToken = Math.multiplyExact(term, 1L << 20);
    this.phase = phase;
    this.sinceMicros = nowMicros;
    this.idleSinceMicros = nowMicros;
    this.heardMicros = nowMicros;
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
  public long lastHeardMicros() {
    return phase == Phase.BOOTING ? Long.MAX_VALUE : heardMicros;
  }

  @Override
  public boolean holdsBack() {
    return phase == Phase.UNCONFIRMED;
  }

  long token() {
    return baseToken + fence;
  }

  /** Older commands die at the machine as soon as it has seen the new token. */
  void raiseFence() {
    fence++;
  }

  boolean usable(long nowMicros) {
    return known() && plan == Plan.USE && rostered && type != null && nowMicros >= holdUntilMicros;
  }

  /** Whether all that may be on it and its session are known, so that it can be given work. */
  boolean known() {
    return phase == Phase.HEARD || phase == Phase.RECOVERED && session > 0;
  }

  private double freeCpus;
  private double freeAccelerators;
  private double freeMemory;

  /** Works out the room that is left beside everything that may be here. */
  void measureRoom() {
    freeCpus = type == null ? 0 : type.cpus();
    freeAccelerators = type == null ? 0 : type.accelerators();
    freeMemory = type == null ? 0 : type.memoryGb();
    for (Attempt a : attempts.values()) {
      if (a.phase != Attempt.Phase.QUEUED) {
        take(a.spec);
      }
    }
  }

  void take(JobSpec spec) {
    freeCpus -= spec.cpus();
    freeAccelerators -= spec.accelerators();
    freeMemory -= spec.memoryGb();
  }

  void give(JobSpec spec) {
    freeCpus += spec.cpus();
    freeAccelerators += spec.accelerators();
    freeMemory += spec.memoryGb();
  }

  /** None does while something unknown is here, since nobody knows what room that takes. */
  boolean fits(JobSpec spec) {
    return orphans.isEmpty()
        && spec.cpus() <= freeCpus + 1e-6
        && spec.accelerators() <= freeAccelerators + 1e-6
        && spec.memoryGb() <= freeMemory + 1e-6;
  }

  boolean hasImage(JobSpec spec) {
    return images.containsKey(spec.image());
  }

  /**
   * A task that uses an image is here or comes here: the machine drops what it has not used for
   * longest.
   */
  void useImage(JobSpec spec) {
    Double known = images.remove(spec.image());
    imagesGb += spec.imageGb() - (known == null ? 0 : known);
    images.put(spec.image(), spec.imageGb());
    while (type != null && imagesGb > type.cacheGb() && images.size() > 1) {
      imagesGb -= images.remove(images.keySet().iterator().next());
    }
  }

  void forgetImages() {
    images.clear();
    imagesGb = 0;
  }

  double freeCpus() {
    return Math.max(0, freeCpus);
  }

  double freeAccelerators() {
    return Math.max(0, freeAccelerators);
  }

  double freeMemory() {
    return Math.max(0, freeMemory);
  }

  boolean hasRoom() {
    return orphans.isEmpty() && freeCpus > 1e-6 && freeMemory > 1e-6;
  }

  boolean allows(JobSpec spec) {
    return spec.allows(typeName, zone, spot) && type.fits(spec);
  }
}
