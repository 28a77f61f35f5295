package org.eiderstair.core.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Which machines any live controller reaches. Each node tracks whose heartbeats it gets itself, and
 * answers a peer that asks with what changed since the last time. A leader asks only while it
 * misses machines, so on a quiet day this costs nothing.
 */
public final class Membership {
  /** So many changes fit well into what a peer takes at once. */
  private static final int MAX_DIGEST_CHANGES = 400;

  /** A heartbeat may be late by so much, beside half its interval. */
  private static final long HEARTBEAT_GRACE_MICROS = 2_000_000;

  /** How a peer is asked which machines it reaches. */
  public interface PeerQuery {
    /** Asks for the changes after a sequence number of one of the peer's runs. */
    void ask(String peer, String runId, long afterSequence, Consumer<PeerAnswer> callback);
  }

  private final String node;
  private final Map<String, String> nodeZones;
  private final String runId;
  private final HeartbeatTracker tracker;
  private final PeerReachability peers;
  private final ZonePartitions partitions;
  private long termStartMicros;
  private boolean consultingPeers;
  private long now;

  /**
   * @param peers the names of the other controllers
   * @param nodeZones the zone of each node, this one included, as far as it is known
   * @param runId differs for every run of this node
   * @param heartbeatMicros how often a machine sends a heartbeat: one that has not for half as long
   *     again is silent
   * @param query asks a peer
   * @param log takes lines for the log
   */
  public Membership(
      String node,
      List<String> peers,
      Map<String, String> nodeZones,
      String runId,
      long heartbeatMicros,
      PeerQuery query,
      Consumer<String> log) {
    this.node = node;
    this.nodeZones = nodeZones;
    this.runId = runId;
    this.tracker = new HeartbeatTracker(heartbeatMicros * 3 / 2 + HEARTBEAT_GRACE_MICROS);
    this.peers = new PeerReachability(peers, query, this::peerReported);
    this.partitions = new ZonePartitions(log);
  }

  /**
   * A new term judges anew: it asks all peers, so that it knows which zones are partitioned before
   * it decides anything on them.
   */
  public void startTerm(long nowMicros) {
    partitions.clear();
    termStartMicros = nowMicros;
    consultingPeers = true;
  }

  /** Whether peers have answered since the term began, or could have. */
  public boolean hasConsultedPeers(long nowMicros) {
    return !consultingPeers && nowMicros >= termStartMicros;
  }

  /**
   * Without this a leader that took over during a zone's partition rented 125 machines there, in
   * its first tenth of a second.
   */
  private void finishConsultation() {
    if (peers.mayYetReport(termStartMicros)
        && now < termStartMicros + PeerReachability.ANSWER_TIMEOUT_MICROS) {
      return;
    }
    consultingPeers = false;
    boolean anyAnswered = peers.anyAnswered();
    for (String zone : new HashSet<>(nodeZones.values())) {
      if (anyAnswered && !zone.isEmpty() && !hasLiveController(zone)) {
        partitions.add(zone, "none of its controllers answers", now);
      }
    }
  }

  /** A zone is partitioned only while nobody reaches its controllers either. */
  private void peerReported(String peer) {
    if (nodeZones.containsKey(peer)) {
      partitions.remove(nodeZones.get(peer), peer + " answers", now);
    }
  }

  /** A machine has sent a heartbeat to this node, not through a peer. */
  public void heartbeatReceived(String machine, long nowMicros) {
    tracker.heartbeatReceived(machine, nowMicros);
  }

  /** The answer to a peer that knows the changes of a run up to a sequence number. */
  public HeartbeatDigest digestAfter(String ofRunId, long sequence, long nowMicros) {
    long known = runId.equals(ofRunId) ? sequence : -1;
    return tracker.digestAfter(runId, known, MAX_DIGEST_CHANGES, nowMicros);
  }

  /**
   * Does what time has made due.
   *
   * @param machinesMissing whether some machine is silent, so that peers are asked for it
   */
  public void tick(boolean machinesMissing, long nowMicros) {
    at(nowMicros);
    peers.refresh(machinesMissing || consultingPeers || !partitions.isEmpty());
    if (consultingPeers) {
      finishConsultation();
    }
  }

  private void at(long nowMicros) {
    now = nowMicros;
    peers.at(nowMicros);
  }

  /**
   * Judges all machines of a term together. Many gone silent at once are one fault, this node's or
   * a zone's, more likely than many.
   *
   * @param leaderUnreached whether hardly any machine reaches this node by itself just now
   * @param unreachableMicros how long a machine alone may be silent (setting {@code
   *     unheard_delete_s})
   * @param partitionedMicros how long one of a partitioned zone may be (setting {@code
   *     dark_delete_s})
   */
  public ReachabilityClassifier classify(
      Iterable<? extends MonitoredMachine> machines,
      boolean leaderUnreached,
      long unreachableMicros,
      long partitionedMicros,
      long nowMicros) {
    at(nowMicros);
    ReachabilityClassifier classifier =
        new ReachabilityClassifier(
            this, machines, leaderUnreached, unreachableMicros, partitionedMicros, nowMicros);
    updatePartitions(classifier);
    return classifier;
  }

  private void updatePartitions(ReachabilityClassifier classifier) {
    classifier.forEachZone(
        (zone, mostlySilent, latestMicros) -> {
          if (mostlySilent && !hasLiveController(zone) && !partitions.contains(zone)) {
            partitions.add(zone, classifier.evidence(), now);
          }
        });
    classifier.forEachZone(
        (zone, mostlySilent, latestMicros) -> {
          if (!mostlySilent) {
            partitions.heartbeat(zone, latestMicros, now);
          }
        });
    partitions.expire(now);
  }

  /**
   * Whether this node or a peer that answers is in the zone: then its silent machines are dead, not
   * cut off.
   */
  private boolean hasLiveController(String zone) {
    for (Map.Entry<String, String> entry : nodeZones.entrySet()) {
      String controller = entry.getKey();
      if (zone.equals(entry.getValue())
          && (controller.equals(node) || peers.hasReported(controller))) {
        return true;
      }
    }
    return false;
  }

  /** Whether most machines of a zone were silent lately, and none of it has reported since. */
  public boolean isPartitioned(String zone) {
    return partitions.contains(zone);
  }

  /** Whether any live controller but this one reaches the machine. */
  public boolean isReachableByPeer(String machine) {
    return peers.isReachable(machine);
  }

  /** How many machines peers reach, of those that pass the filter. */
  public int countReachableByPeers(Predicate<String> filter) {
    return peers.countReachable(filter);
  }

  /** Whether some peer may yet report that it has reached a machine since then. */
  boolean mayYetReport(long sinceMicros) {
    return peers.mayYetReport(sinceMicros);
  }

  /** For the log: how many machines each peer reaches that has reported lately. */
  public String evidence() {
    return peers.evidence();
  }
}
