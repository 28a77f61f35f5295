package org.eiderstair.core.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Tracks which machines reach any live controller. Each node records the machines that send their
 * heartbeats to it, and answers the queries of its peers with the changes since the last answer. A
 * leader sends queries only when its term begins, while machines are missing and while a zone is
 * partitioned. A healthy cluster therefore has no such traffic.
 */
public final class Membership {
  /** A digest of this size is well below the size limit of a message between controllers. */
  private static final int MAX_DIGEST_CHANGES = 400;

  /** A heartbeat may be late by this much plus half its interval. */
  private static final long HEARTBEAT_GRACE_MICROS = 2_000_000;

  /** Sends the query which machines a peer reaches. */
  public interface PeerQuery {
    /**
     * Queries a peer for its changes after a sequence number.
     *
     * @param runId the run of the peer to which the number belongs; empty if none is known
     */
    void query(String peer, String runId, long afterSequence, Consumer<PeerAnswer> callback);
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
   * @param node the name of this controller
   * @param peers the names of the other controllers
   * @param nodeZones the zone of each controller, this one included, as far as it is known
   * @param runId identifies this run of the node; each run has another
   * @param heartbeatMicros the interval of a machine's heartbeats; a machine without a heartbeat
   *     for one and a half intervals and a grace period is silent
   * @param query sends a query to a peer
   * @param log receives the lines to log
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
   * Starts a term of this node as the leader. All peers are queried first, so that the leader knows
   * which zones are partitioned before it decides anything about them.
   */
  public void startTerm(long nowMicros) {
    partitions.clear();
    termStartMicros = nowMicros;
    consultingPeers = true;
  }

  /** Returns whether the peers have answered since the term began, or have had the time to. */
  public boolean hasConsultedPeers(long nowMicros) {
    return !consultingPeers && nowMicros >= termStartMicros;
  }

  /**
   * Marks the zones as partitioned whose controllers do not answer, once all peers have answered or
   * the time for it has passed. Without this, a leader that took over during a zone's partition
   * rented 125 machines in that zone within 0.1 seconds.
   */
  private void finishConsultation() {
    if (peers.isReportPending(termStartMicros)
        && now < termStartMicros + PeerReachability.ANSWER_TIMEOUT_MICROS) {
      return;
    }
    consultingPeers = false;
    boolean anyAnswered = peers.anyAnswered();
    for (String zone : new HashSet<>(nodeZones.values())) {
      if (anyAnswered && !zone.isEmpty() && !hasLiveController(zone)) {
        partitions.add(zone, "no controller in the zone answers", now);
      }
    }
  }

  /**
   * Ends the partition of the peer's zone: a zone with a controller that answers is not cut off.
   */
  private void peerReported(String peer) {
    if (nodeZones.containsKey(peer)) {
      partitions.remove(nodeZones.get(peer), "controller answers, peer=" + peer, now);
    }
  }

  /** Records a heartbeat that a machine sent to this node directly, not through a peer. */
  public void heartbeatReceived(String machine, long nowMicros) {
    tracker.heartbeatReceived(machine, nowMicros);
  }

  /**
   * Returns the answer to the query of a peer.
   *
   * @param ofRunId the run of this node whose changes the peer knows; empty if none
   * @param sequence the number up to which the peer knows that run's changes
   */
  public HeartbeatDigest digestAfter(String ofRunId, long sequence, long nowMicros) {
    long known = runId.equals(ofRunId) ? sequence : -1;
    return tracker.digestAfter(runId, known, MAX_DIGEST_CHANGES, nowMicros);
  }

  /**
   * Sends the queries that are due, discards expired reports, and ends the consultation of the
   * peers at the beginning of a term.
   *
   * @param machinesMissing whether machines are missing, so that the peers are queried
   */
  public void tick(boolean machinesMissing, long nowMicros) {
    setNow(nowMicros);
    peers.refresh(machinesMissing || consultingPeers || !partitions.isEmpty());
    if (consultingPeers) {
      finishConsultation();
    }
  }

  private void setNow(long nowMicros) {
    now = nowMicros;
    peers.setNow(nowMicros);
  }

  /**
   * Classifies all machines of a term together. If many fall silent at once, the cause is more
   * likely one fault of this node or of a zone than many separate ones.
   *
   * @param reachedByFew whether hardly any machine reaches this node directly at present
   * @param unreachableTimeoutMicros how long a single machine may be silent (setting {@code
   *     unheard_delete_s})
   * @param partitionedTimeoutMicros how long a machine in a partitioned zone may be silent (setting
   *     {@code dark_delete_s})
   */
  public ReachabilityClassifier classify(
      Iterable<? extends MonitoredMachine> machines,
      boolean reachedByFew,
      long unreachableTimeoutMicros,
      long partitionedTimeoutMicros,
      long nowMicros) {
    setNow(nowMicros);
    ReachabilityClassifier classifier =
        new ReachabilityClassifier(
            this,
            machines,
            reachedByFew,
            unreachableTimeoutMicros,
            partitionedTimeoutMicros,
            nowMicros);
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
            partitions.heartbeatReceived(zone, latestMicros, now);
          }
        });
    partitions.expire(now);
  }

  /**
   * Returns whether this node or a peer with a valid report is in the zone. If so, the zone is not
   * cut off, and its silent machines are dead.
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

  /**
   * Returns whether a zone is considered cut off from all controllers that this node reaches. That
   * ends when a machine or a controller of the zone is heard again, and after two minutes.
   */
  public boolean isPartitioned(String zone) {
    return partitions.contains(zone);
  }

  /** Returns whether a peer with a valid report reaches the machine. */
  public boolean isReachableByPeer(String machine) {
    return peers.isReachable(machine);
  }

  /** Returns how many machines that pass the filter are reached by any peer. */
  public int countReachableByPeers(Predicate<String> filter) {
    return peers.countReachable(filter);
  }

  /** Returns whether a peer may still report that it has reached a machine since the given time. */
  boolean isReportPending(long sinceMicros) {
    return peers.isReportPending(sinceMicros);
  }

  /** Returns, for the log, how many machines each peer with a valid report reaches. */
  public String evidence() {
    return peers.evidence();
  }
}
