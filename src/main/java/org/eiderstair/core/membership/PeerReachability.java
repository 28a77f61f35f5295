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

/** Which machines the peers reach, as far as they have reported it lately. */
final class PeerReachability {
  /** A peer that has not answered for so long is taken to be out of reach. */
  static final long ANSWER_TIMEOUT_MICROS = 1_000_000;

  /** What a peer reported is believed for so long without word from it. */
  static final long REPORT_VALID_MICROS = 3_000_000;

  private static final long ASK_INTERVAL_MICROS = 500_000;
  private static final long UNSUPPORTED_RETRY_MICROS = 30_000_000;

  private enum State {
    /** It has reported nothing yet, or nothing lately. */
    UNKNOWN,
    /** It has reported all that it reaches. */
    REPORTED,
    /** It is of a version that does not know the question. */
    UNSUPPORTED
  }

  private static final class Peer {
    final String name;
    State state = State.UNKNOWN;
    String runId = "";
    long lastSequence;
    boolean asking;
    long askedMicros;
    long nextAskMicros;

    /** When the question left whose answer is the latest: what it reports is no older. */
    long reportedMicros = Long.MIN_VALUE / 2;

    final Set<String> reachable = new HashSet<>();

    Peer(String name) {
      this.name = name;
    }

    boolean hasReportedSince(long micros) {
      return state == State.REPORTED && reportedMicros >= micros;
    }
  }

  private final Membership.PeerQuery query;
  private final Consumer<String> answered;
  private final Map<String, Peer> peers = new LinkedHashMap<>();

  /** How many peers reach a machine; without an entry, none does. */
  private final Map<String, Integer> reachableBy = new HashMap<>();

  private long now;

  /**
   * @param answered gets the name of a peer whose report is complete
   */
  PeerReachability(List<String> names, Membership.PeerQuery query, Consumer<String> answered) {
    this.query = query;
    this.answered = answered;
    names.forEach(name -> peers.put(name, new Peer(name)));
  }

  void at(long nowMicros) {
    now = nowMicros;
  }

  /** Forgets what is too old, and asks again if that is wanted. */
  void refresh(boolean ask) {
    for (Peer peer : peers.values()) {
      if (peer.state == State.REPORTED && now > peer.reportedMicros + REPORT_VALID_MICROS) {
        become(peer, State.UNKNOWN);
      }
      if (ask && !peer.asking && now >= peer.nextAskMicros) {
        ask(peer);
      }
    }
  }

  /** The one function for every change of what is known of a peer. */
  private void become(Peer peer, State next) {
    if (next != State.REPORTED) {
      forget(peer);
      peer.runId = "";
      peer.lastSequence = 0;
    }
    peer.state = next;
  }

  private void ask(Peer peer) {
    peer.asking = true;
    peer.askedMicros = now;
    peer.nextAskMicros = now + ASK_INTERVAL_MICROS;
    String knownRunId = peer.runId;
    long knownSequence = peer.lastSequence;
    query.ask(
        peer.name,
        knownRunId,
        knownSequence,
        answer -> {
          peer.asking = false;
          // Changes after some that were forgotten meanwhile would leave out the rest: machines
          // that report there would seem silent.
          if (peer.runId.equals(knownRunId) && peer.lastSequence == knownSequence) {
            take(peer, answer);
          }
        });
  }

  private void take(Peer peer, PeerAnswer answer) {
    if (answer instanceof PeerAnswer.Unsupported) {
      become(peer, State.UNSUPPORTED);
      peer.nextAskMicros = now + UNSUPPORTED_RETRY_MICROS;
    } else if (answer instanceof PeerAnswer.Digest report) {
      apply(peer, report.digest());
      if (report.digest().more()) {
        peer.nextAskMicros = now;
      } else {
        peer.reportedMicros = peer.askedMicros;
        become(peer, State.REPORTED);
        answered.accept(peer.name);
      }
    }
  }

  private void apply(Peer peer, HeartbeatDigest digest) {
    if (digest.full() || !digest.runId().equals(peer.runId)) {
      forget(peer);
    }
    peer.runId = digest.runId();
    peer.lastSequence = digest.lastSequence();
    for (HeartbeatDigest.Change change : digest.changes()) {
      String machine = change.machine();
      if (change.reachable() && peer.reachable.add(machine)) {
        reachableBy.merge(machine, 1, Integer::sum);
      } else if (!change.reachable() && peer.reachable.remove(machine)) {
        countOneLess(machine);
      }
    }
  }

  private void forget(Peer peer) {
    peer.reachable.forEach(this::countOneLess);
    peer.reachable.clear();
  }

  private void countOneLess(String machine) {
    reachableBy.computeIfPresent(machine, (id, count) -> count == 1 ? null : count - 1);
  }

  /** Whether any peer reaches the machine. */
  boolean isReachable(String machine) {
    return reachableBy.containsKey(machine);
  }

  int countReachable(Predicate<String> filter) {
    int count = 0;
    for (String machine : reachableBy.keySet()) {
      count += filter.test(machine) ? 1 : 0;
    }
    return count;
  }

  /** Whether a peer of that name has reported lately. */
  boolean hasReported(String name) {
    Peer peer = peers.get(name);
    return peer != null && peer.state == State.REPORTED;
  }

  /** Whether any peer has answered at all. */
  boolean anyAnswered() {
    return peers.values().stream().anyMatch(peer -> peer.state != State.UNKNOWN);
  }

  /**
   * Whether some peer has yet to report what it reaches since then, and may still: it was asked
   * just now.
   */
  boolean mayYetReport(long sinceMicros) {
    for (Peer peer : peers.values()) {
      boolean inTime = !peer.asking || now < peer.askedMicros + ANSWER_TIMEOUT_MICROS;
      if (!peer.hasReportedSince(sinceMicros) && peer.state != State.UNSUPPORTED && inTime) {
        return true;
      }
    }
    return false;
  }

  /** For the log: how many machines each peer reaches that has reported lately. */
  String evidence() {
    List<String> reports = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.state == State.REPORTED) {
        reports.add("peer=" + peer.name + " reachable=" + peer.reachable.size());
      }
    }
    return reports.isEmpty() ? "no peer answers" : String.join(", ", reports);
  }
}
