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
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Which machines any live controller hears. Each node keeps whom it hears itself, and tells a peer
 * that asks what changed since the last time. A leader asks only while it misses machines, so on a
 * quiet day this costs nothing.
 */
public final class Membership {
  /** So many changes fit well into what a peer takes at once. */
  private static final int MAX_TOLD = 400;

  private static final long ASK_EVERY_MICROS = 500_000;

  /** What a peer told is believed for so long without word from it. */
  private static final long LIVE_MICROS = 3_000_000;

  private static final long UNABLE_MICROS = 30_000_000;

  /** A peer that has not answered for so long is taken to be out of reach. */
  private static final long ANSWER_MICROS = 1_000_000;

  private static final long SOON_MICROS = 2_000_000;
  private static final long DARK_MICROS = 120_000_000;

  /** How a peer is asked; it is told what came of it, null without an answer. */
  public interface Asker {
    /** Asks a peer for the changes after those that one of its runs has told. */
    void ask(String peer, String run, long after, Consumer<Answer> callback);
  }

  /** A peer's answer; {@code hearing} is null when it does not understand the question. */
  public record Answer(HeartbeatDigest digest) {}

  /**
   * What is known of a peer's hearing. UNKNOWN has told nothing yet, or lately; TOLD has; UNABLE is
   * of a version that does not tell.
   */
  enum PeerState {
    UNKNOWN,
    TOLD,
    UNABLE
  }

  /**
   * PARTITIONED: most of a zone's machines are silent, and none of its controllers answers;
   * REACHABLE else.
   */
  enum ZoneState {
    REACHABLE,
    PARTITIONED
  }

  private static final class Peer {
    PeerState state = PeerState.UNKNOWN;
    String run = "";
    long after;
    boolean asking;
    long nextAskMicros;
    long askedMicros;

    /** When the question left whose answer is the latest: what it tells is no older. */
    long toldMicros = Long.MIN_VALUE / 2;

    final Set<String> hears = new HashSet<>();
  }

  private final Consumer<String> log;
  private final String node;
  private final Map<String, String> nodeZones;
  private final Asker asker;
  private final String run;
  private final HeartbeatTracker ear;
  private final Map<String, Peer> peers = new LinkedHashMap<>();

  /** How many peers hear a machine. */
  private final Map<String, Integer> heardBy = new HashMap<>();

  /** Zones that nobody sees, and since when. */
  private final Map<String, Long> darkZones = new HashMap<>();

  private long beganMicros;
  private boolean beginning;
  private long now;

  /**
   * @param nodeZones the zone of each node, this one included, as far as it is known
   * @param run differs for every run of this node
   * @param reportMicros how often a machine reports: one that has not for half as long again is not
   *     heard
   */
  public Membership(
      String node,
      List<String> peers,
      Map<String, String> nodeZones,
      String run,
      long reportMicros,
      Asker asker,
      Consumer<String> log) {
    this.log = log;
    this.node = node;
    this.nodeZones = nodeZones;
    this.run = run;
    this.asker = asker;
    this.ear = new HeartbeatTracker(reportMicros * 3 / 2 + SOON_MICROS);
    peers.forEach(p -> this.peers.put(p, new Peer()));
  }

  /**
   * A new term judges anew: it asks all peers, so that it knows which zones it sees before it
   * decides anything on them.
   */
  public void startTerm(long nowMicros) {
    darkZones.clear();
    beganMicros = nowMicros;
    beginning = true;
  }

  /** Whether peers have answered since the term began, or could have. */
  public boolean hasConsultedPeers(long nowMicros) {
    return !beginning && nowMicros >= beganMicros;
  }

  /**
   * Seen on the bench: a leader that took over during a zone's cut rented 125 machines there, in
   * its first tenth of a second.
   */
  private void endOfBeginning() {
    if (mayYetTell(beganMicros) && now < beganMicros + ANSWER_MICROS) {
      return;
    }
    beginning = false;
    boolean someAnswer = peers.values().stream().anyMatch(p -> p.state != PeerState.UNKNOWN);
    for (String zone : new HashSet<>(nodeZones.values())) {
      if (someAnswer && !zone.isEmpty() && !reached(zone)) {
        become(zone, ZoneState.PARTITIONED, "none of its controllers answers");
      }
    }
  }

  /** A machine has reported to this node, not through a peer. */
  public void heartbeatReceived(String machine, long nowMicros) {
    ear.heard(machine, nowMicros);
  }

  /** What a peer that knows changes of a run up to a number is told. */
  public HeartbeatDigest digestAfter(String ofRun, long after, long nowMicros) {
    return ear.digestAfter(run, run.equals(ofRun) ? after : -1, MAX_TOLD, nowMicros);
  }

  /**
   * @param missed whether machines are missed, so that peers are asked for them
   */
  public void tick(boolean missed, long nowMicros) {
    now = nowMicros;
    for (Map.Entry<String, Peer> e : peers.entrySet()) {
      Peer p = e.getValue();
      if (p.state == PeerState.TOLD && now > p.toldMicros + LIVE_MICROS) {
        become(p, PeerState.UNKNOWN);
      }
      if ((missed || beginning || !darkZones.isEmpty()) && !p.asking && now >= p.nextAskMicros) {
        ask(e.getKey(), p);
      }
    }
    if (beginning) {
      endOfBeginning();
    }
  }

  private void ask(String name, Peer p) {
    p.asking = true;
    p.askedMicros = now;
    p.nextAskMicros = now + ASK_EVERY_MICROS;
    String knownRun = p.run;
    long knownAfter = p.after;
    asker.ask(
        name,
        p.run,
        p.after,
        answer -> {
          p.asking = false;
          // Changes after what is forgotten here by now would leave out the rest: machines heard
          // there would seem silent.
          if (answer == null || !p.run.equals(knownRun) || p.after != knownAfter) {
            return;
          }
          if (answer.digest() == null) {
            become(p, PeerState.UNABLE);
            p.nextAskMicros = now + UNABLE_MICROS;
            return;
          }
          take(p, answer.digest());
          if (answer.digest().more()) {
            p.nextAskMicros = now;
          } else {
            p.toldMicros = p.askedMicros;
            become(p, PeerState.TOLD);
            // A zone is cut off only while nobody reaches its controllers either.
            if (nodeZones.containsKey(name)) {
              become(nodeZones.get(name), ZoneState.REACHABLE, name + " answers");
            }
          }
        });
  }

  private void take(Peer p, HeartbeatDigest told) {
    if (told.whole() || !told.run().equals(p.run)) {
      forget(p);
    }
    p.run = told.run();
    p.after = told.last();
    for (HeartbeatDigest.Change c : told.changes()) {
      if (c.heard() && p.hears.add(c.machine())) {
        heardBy.merge(c.machine(), 1, Integer::sum);
      } else if (!c.heard() && p.hears.remove(c.machine())) {
        heardBy.computeIfPresent(c.machine(), (m, n) -> n == 1 ? null : n - 1);
      }
    }
  }

  private void forget(Peer p) {
    for (String machine : p.hears) {
      heardBy.computeIfPresent(machine, (m, n) -> n == 1 ? null : n - 1);
    }
    p.hears.clear();
  }

  /** The one function for every change of what is known of a peer. */
  private void become(Peer p, PeerState next) {
    if (next != PeerState.TOLD) {
      forget(p);
      p.run = "";
      p.after = 0;
    }
    p.state = next;
  }

  /**
   * Looks at all machines of a term together. Many gone silent together are one fault, this node's
   * or a zone's, more likely than many.
   *
   * @param unreached whether hardly any machine reaches this node by itself just now
   * @param patienceMicros how long a machine alone may be silent
   * @param darkMicros how long one of a zone that nobody sees may be
   */
  public ReachabilityClassifier classify(
      Iterable<? extends MonitoredMachine> machines,
      boolean unreached,
      long patienceMicros,
      long darkMicros,
      long nowMicros) {
    now = nowMicros;
    ReachabilityClassifier survey =
        new ReachabilityClassifier(
            this, machines, unreached, patienceMicros, darkMicros, nowMicros);
    survey.zones(
        (zone, dark, latestMicros) -> {
          if (dark && !reached(zone) && !darkZones.containsKey(zone)) {
            become(zone, ZoneState.PARTITIONED, survey.evidence());
          }
        });
    survey.zones(
        (zone, dark, latestMicros) -> {
          Long since = darkZones.get(zone);
          if (since != null && !dark && latestMicros > Math.max(since, now - LIVE_MICROS)) {
            become(zone, ZoneState.REACHABLE, "its machines report again");
          }
        });
    for (Map.Entry<String, Long> e : List.copyOf(darkZones.entrySet())) {
      // A zone whose machines were all given back has none that could tell that it is seen again.
      if (now > e.getValue() + DARK_MICROS) {
        become(e.getKey(), ZoneState.REACHABLE, "nothing known for long");
      }
    }
    return survey;
  }

  /** The one function for every change of what is known of a zone. */
  private void become(String zone, ZoneState next, String why) {
    if (next == ZoneState.PARTITIONED) {
      darkZones.put(zone, now);
    } else if (darkZones.remove(zone) == null) {
      return;
    }
    log.accept("zone=" + zone + " -> " + next + ": " + why);
  }

  /**
   * Whether this node or a peer that answers is in the zone: then its silent machines are dead, not
   * cut off.
   */
  private boolean reached(String zone) {
    for (Map.Entry<String, String> e : nodeZones.entrySet()) {
      Peer p = peers.get(e.getKey());
      if (zone.equals(e.getValue())
          && (e.getKey().equals(node) || p != null && p.state == PeerState.TOLD)) {
        return true;
      }
    }
    return false;
  }

  /** Whether most machines of a zone were silent lately, and none of it has been heard since. */
  public boolean isPartitioned(String zone) {
    return darkZones.containsKey(zone);
  }

  /** Whether any live controller but this one hears the machine. */
  public boolean isReachableByPeer(String machine) {
    return heardBy.containsKey(machine);
  }

  /**
   * Whether some peer has yet to say what it has heard since then, and may still: it was asked just
   * now.
   */
  boolean mayYetTell(long sinceMicros) {
    for (Peer p : peers.values()) {
      boolean told = p.state == PeerState.TOLD && p.toldMicros >= sinceMicros;
      if (!told
          && p.state != PeerState.UNABLE
          && (!p.asking || now < p.askedMicros + ANSWER_MICROS)) {
        return true;
      }
    }
    return false;
  }

  /** How many machines peers hear, of those that {@code which} names. */
  public int countReachableByPeers(Predicate<String> which) {
    int count = 0;
    for (String machine : heardBy.keySet()) {
      count += which.test(machine) ? 1 : 0;
    }
    return count;
  }

  /** For the log: how many of the peers have told lately what they hear. */
  public String evidence() {
    List<String> told = new ArrayList<>();
    peers.forEach(
        (name, p) -> {
          if (p.state == PeerState.TOLD) {
            told.add("peer=" + name + " reachable=" + p.hears.size());
          }
        });
    return told.isEmpty() ? "no peer answers" : String.join(", ", told);
  }
}
