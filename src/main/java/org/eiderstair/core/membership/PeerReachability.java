package org.eiderstair.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eiderstair.core.message.HeartbeatDigest;

/** Tracks which machines the peers reach, according to their recent reports. */
final class PeerReachability {
  /** A peer that leaves a query unanswered for this long is considered out of reach. */
  static final long ANSWER_TIMEOUT_MICROS = 1_000_000;

  /** A peer's report is valid for this long without a newer answer from that peer. */
  static final long REPORT_VALID_MICROS = 3_000_000;

  private static final long QUERY_INTERVAL_MICROS = 500_000;
  private static final long UNSUPPORTED_RETRY_MICROS = 30_000_000;

  private enum State {
    /** The peer has no complete report, or only one that has expired. */
    UNKNOWN,
    /** The peer has reported all machines that it reaches. */
    REPORTED,
    /** The peer runs a version that does not support membership queries. */
    UNSUPPORTED
  }

  private static final class Peer {
    final String name;
    State state = State.UNKNOWN;
    String runId = "";
    long lastSequence;
    boolean queryInFlight;
    long querySentMicros;
    long nextQueryMicros;

    /** When the latest answered query was sent: the report is at least as recent as that. */
    long reportedMicros = Long.MIN_VALUE / 2;

    final Set<String> reachable = new HashSet<>();

    Peer(String name) {
      this.name = name;
    }

    boolean hasReportedSince(long micros) {
      return state == State.REPORTED && reportedMicros >= micros;
    }
  }

  private final Membership.PeerQuery peerQuery;
  private final Consumer<String> onReport;
  private final Map<String, Peer> peers = new LinkedHashMap<>();

  /** The number of peers that reach each machine; a machine that none reaches has no entry. */
  private final Map<String, Integer> peerCounts = new HashMap<>();

  private long now;

  /**
   * @param names the names of the peers
   * @param peerQuery sends a query to a peer
   * @param onReport receives the name of a peer whose report is complete
   */
  PeerReachability(List<String> names, Membership.PeerQuery peerQuery, Consumer<String> onReport) {
    this.peerQuery = peerQuery;
    this.onReport = onReport;
    names.forEach(name -> peers.put(name, new Peer(name)));
  }

  void setNow(long nowMicros) {
    now = nowMicros;
  }

  /**
   * Discards expired reports and sends the queries that are due.
   *
   * @param sendQueries whether peers are to be queried
   */
  void refresh(boolean sendQueries) {
    for (Peer peer : peers.values()) {
      if (peer.state == State.REPORTED && now > peer.reportedMicros + REPORT_VALID_MICROS) {
        transitionTo(peer, State.UNKNOWN);
      }
      if (sendQueries && !peer.queryInFlight && now >= peer.nextQueryMicros) {
        query(peer);
      }
    }
  }

  /** Performs every change of a peer's state. */
  private void transitionTo(Peer peer, State next) {
    if (next != State.REPORTED) {
      discardReport(peer);
      peer.runId = "";
      peer.lastSequence = 0;
    }
    peer.state = next;
  }

  private void query(Peer peer) {
    peer.queryInFlight = true;
    peer.querySentMicros = now;
    peer.nextQueryMicros = now + QUERY_INTERVAL_MICROS;
    String knownRunId = peer.runId;
    long knownSequence = peer.lastSequence;
    peerQuery.query(
        peer.name,
        knownRunId,
        knownSequence,
        answer -> {
          peer.queryInFlight = false;
          // The report that these changes extend may have been discarded since the query was sent.
          // Applied alone, they would make the peer's other machines seem silent.
          if (peer.runId.equals(knownRunId) && peer.lastSequence == knownSequence) {
            handleAnswer(peer, answer);
          }
        });
  }

  private void handleAnswer(Peer peer, PeerAnswer answer) {
    if (answer instanceof PeerAnswer.Unsupported) {
      transitionTo(peer, State.UNSUPPORTED);
      peer.nextQueryMicros = now + UNSUPPORTED_RETRY_MICROS;
    } else if (answer instanceof PeerAnswer.Digest report) {
      apply(peer, report.digest());
      if (report.digest().more()) {
        peer.nextQueryMicros = now;
      } else {
        peer.reportedMicros = peer.querySentMicros;
        transitionTo(peer, State.REPORTED);
        onReport.accept(peer.name);
      }
    }
  }

  private void apply(Peer peer, HeartbeatDigest digest) {
    if (digest.full() || !digest.runId().equals(peer.runId)) {
      discardReport(peer);
    }
    peer.runId = digest.runId();
    peer.lastSequence = digest.lastSequence();
    for (HeartbeatDigest.Change change : digest.changes()) {
      String machine = change.machine();
      if (change.reachable() && peer.reachable.add(machine)) {
        peerCounts.merge(machine, 1, Integer::sum);
      } else if (!change.reachable() && peer.reachable.remove(machine)) {
        decrementCount(machine);
      }
    }
  }

  private void discardReport(Peer peer) {
    peer.reachable.forEach(this::decrementCount);
    peer.reachable.clear();
  }

  private void decrementCount(String machine) {
    peerCounts.computeIfPresent(machine, (id, count) -> count == 1 ? null : count - 1);
  }

  /** Returns whether any peer reaches the machine. */
  boolean isReachable(String machine) {
    return peerCounts.containsKey(machine);
  }

  int countReachable(Predicate<String> filter) {
    int count = 0;
    for (String machine : peerCounts.keySet()) {
      count += filter.test(machine) ? 1 : 0;
    }
    return count;
  }

  /** Returns whether there is a peer of that name with a valid report. */
  boolean hasReported(String name) {
    Peer peer = peers.get(name);
    return peer != null && peer.state == State.REPORTED;
  }

  /** Returns whether any peer has a valid report or does not support queries. */
  boolean anyAnswered() {
    return peers.values().stream().anyMatch(peer -> peer.state != State.UNKNOWN);
  }

  /**
   * Returns whether a peer may still report what it has reached since the given time. A peer that
   * has left a query unanswered for {@link #ANSWER_TIMEOUT_MICROS} is not waited for.
   */
  boolean isReportPending(long sinceMicros) {
    for (Peer peer : peers.values()) {
      boolean mayStillAnswer =
          !peer.queryInFlight || now < peer.querySentMicros + ANSWER_TIMEOUT_MICROS;
      if (!peer.hasReportedSince(sinceMicros)
          && peer.state != State.UNSUPPORTED
          && mayStillAnswer) {
        return true;
      }
    }
    return false;
  }

  /** Returns, for the log, how many machines each peer with a valid report reaches. */
  String evidence() {
    List<String> reports = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.state == State.REPORTED) {
        reports.add("peer=" + peer.name + " reachable=" + peer.reachable.size());
      }
    }
    return reports.isEmpty() ? "no recent report of a peer" : String.join(", ", reports);
  }
}
