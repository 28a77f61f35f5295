package org.eiderstair.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Which controller reaches which machine, reported between controllers as changes; and what silence
 * means when many are silent.
 */
class MembershipTest {
  private static final long SECOND = 1_000_000;
  private static final long HEARTBEAT = 5 * SECOND;
  private static final long TIMEOUT = 10 * SECOND;

  private record Asked(String peer, String run, long after, Consumer<PeerAnswer> callback) {}

  private record Known(String machine, String zone, long lastHeartbeatMicros, boolean unconfirmed)
      implements MonitoredMachine {}

  private final List<Asked> asked = new ArrayList<>();
  private final List<String> logs = new ArrayList<>();
  private final Membership leader = node("n0", "run");

  private Membership node(String name, String run) {
    return new Membership(
        name,
        List.of("n1", "n2"),
        Map.of("n0", "a", "n1", "b", "n2", "c"),
        run,
        HEARTBEAT,
        (peer, of, after, callback) -> asked.add(new Asked(peer, of, after, callback)),
        logs::add);
  }

  private static List<Known> machines(int count, String zone, long lastHeartbeatMicros) {
    List<Known> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(new Known(zone + i, zone, lastHeartbeatMicros, false));
    }
    return all;
  }

  private void answer(Membership peer, String name, long nowMicros) {
    for (Asked a : List.copyOf(asked)) {
      if (a.peer().equals(name)) {
        asked.remove(a);
        a.callback().accept(new PeerAnswer.Digest(peer.digestAfter(a.run(), a.after(), nowMicros)));
      }
    }
  }

  /**
   * Whatever is received, lost, restarted or paged: once reported, what the leader knows is what
   * the peer reaches.
   */
  @Property(tries = 100, seed = "5")
  void changesAddUp(@ForAll long seed) {
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 3);
    Membership peer = node("n1", "p0");
    Set<String> reachable = new HashSet<>();
    long now = SECOND;
    for (int step = 0; step < 60; step++) {
      now += random.nextInt(3_000_000);
      int count = random.nextInt(30) == 0 ? 1500 : random.nextInt(20);
      for (int i = 0; i < count; i++) {
        peer.heartbeatReceived("m" + random.nextInt(count + 10), now);
      }
      if (random.nextInt(15) == 0) {
        peer = node("n1", "p" + step);
      }
      leader.tick(true, now);
      if (random.nextInt(4) == 0) {
        // No answer came.
        asked.stream()
            .filter(a -> a.peer().equals("n1"))
            .toList()
            .forEach(a -> a.callback().accept(new PeerAnswer.NoAnswer()));
        asked.removeIf(a -> a.peer().equals("n1"));
      } else {
        answer(peer, "n1", now);
      }
    }
    for (int i = 0; i < 10; i++) {
      now += SECOND;
      leader.tick(true, now);
      answer(peer, "n1", now);
    }
    HeartbeatDigest all = peer.digestAfter("", 0, now);
    assertTrue(all.full());
    reachable.clear();
    for (HeartbeatDigest h = all; ; h = peer.digestAfter(h.runId(), h.lastSequence(), now)) {
      h.changes().stream()
          .filter(HeartbeatDigest.Change::reachable)
          .forEach(c -> reachable.add(c.machine()));
      if (!h.more()) {
        break;
      }
    }
    for (String machine : reachable) {
      assertTrue(leader.isReachableByPeer(machine), machine);
    }
    assertEquals(reachable.size(), leader.countReachableByPeers(m -> true));
  }

  /** 1,600 machines that go on reporting here are reported once; after that an answer is empty. */
  @Example
  void whatDoesNotChangeIsNotReportedAgain() {
    Membership peer = node("n1", "p");
    for (int i = 0; i < 1600; i++) {
      peer.heartbeatReceived("m" + i, SECOND);
    }
    long changes = 0;
    HeartbeatDigest h = peer.digestAfter("", 0, SECOND);
    for (; h.more(); h = peer.digestAfter(h.runId(), h.lastSequence(), SECOND)) {
      changes += h.changes().size();
      assertTrue(h.changes().size() <= 400);
    }
    assertEquals(1600, changes + h.changes().size());
    for (int i = 0; i < 1600; i++) {
      peer.heartbeatReceived("m" + i, 4 * SECOND);
    }
    assertEquals(0, peer.digestAfter("p", h.lastSequence(), 5 * SECOND).changes().size());
    assertEquals(
        1600,
        peer.digestAfter("another run", h.lastSequence(), 30 * SECOND).lastSequence()
            - h.lastSequence(),
        "all have gone silent");
  }

  @Example
  void aMachineThatAPeerReachesIsNotUnreachable() {
    Membership peer = node("n1", "p");
    peer.heartbeatReceived("b1", 19 * SECOND);
    leader.tick(true, 20 * SECOND);
    answer(peer, "n1", 20 * SECOND);
    List<Known> all = machines(2, "b", 9 * SECOND);
    all.addAll(machines(20, "a", 20 * SECOND));
    ReachabilityClassifier classifier = leader.classify(all, false, TIMEOUT, TIMEOUT, 21 * SECOND);
    assertEquals(
        ReachabilityClassifier.Verdict.REACHABLE_BY_PEER, classifier.verdictOf(all.get(1)));
    assertEquals(ReachabilityClassifier.Verdict.UNREACHABLE, classifier.verdictOf(all.get(0)));
    // What it reported is believed no longer than it goes on reporting.
    leader.tick(false, 40 * SECOND);
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(all, false, TIMEOUT, TIMEOUT, 40 * SECOND).verdictOf(all.get(1)));
  }

  /**
   * An answer that was long on its way must not stand for all of it: machines that report there
   * would seem silent.
   */
  @Example
  void changesAreNotAppliedOnTopOfWhatWasForgotten() {
    Membership peer = node("n1", "p");
    peer.heartbeatReceived("b0", 10 * SECOND);
    leader.tick(true, 10 * SECOND);
    answer(peer, "n1", 10 * SECOND);
    leader.tick(true, 11 * SECOND);
    peer.heartbeatReceived("b1", 13 * SECOND);
    leader.tick(false, 14 * SECOND);
    answer(peer, "n1", 14 * SECOND);
    assertFalse(leader.isReachableByPeer("b1"), "without b0, which is reachable as well");
    leader.tick(true, 15 * SECOND);
    answer(peer, "n1", 15 * SECOND);
    assertTrue(leader.isReachableByPeer("b0") && leader.isReachableByPeer("b1"));
  }

  /**
   * Its machines may all have been released by the leader before: then only its controllers can
   * tell of a zone.
   */
  @Example
  void aNewTermAsksBeforeItDecidesOnZones() {
    leader.startTerm(SECOND);
    leader.tick(false, SECOND);
    assertFalse(leader.hasConsultedPeers(SECOND));
    answer(node("n2", "p"), "n2", SECOND + 10_000);
    leader.tick(false, SECOND + 100_000);
    assertFalse(leader.hasConsultedPeers(SECOND + 100_000), "n1 may yet answer");
    leader.tick(false, 3 * SECOND);
    assertTrue(leader.hasConsultedPeers(3 * SECOND));
    assertTrue(leader.isPartitioned("b"));
    assertFalse(leader.isPartitioned("a") || leader.isPartitioned("c"));
    leader.classify(machines(1, "b", 4 * SECOND), false, TIMEOUT, TIMEOUT, 4 * SECOND);
    assertFalse(leader.isPartitioned("b"), "one of its machines reports");
  }

  @Example
  void whenMostAreSilentTheFaultIsLikelyOurs() {
    List<Known> all = machines(8, "a", 9 * SECOND);
    all.addAll(machines(5, "b", 20 * SECOND));
    leader.tick(true, 18 * SECOND);
    Known one = all.get(0);
    assertEquals(
        ReachabilityClassifier.Verdict.LEADER_ISOLATED,
        leader.classify(all, false, TIMEOUT, TIMEOUT, 21 * SECOND).verdictOf(one));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(all, false, TIMEOUT, TIMEOUT, 40 * SECOND).verdictOf(one));
    // None reaches this node any more: these are merely the first to time out.
    List<Known> first = machines(8, "a", 9 * SECOND);
    first.addAll(machines(50, "b", 20 * SECOND));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(first, false, TIMEOUT, TIMEOUT, 21 * SECOND).verdictOf(first.get(0)));
    assertEquals(
        ReachabilityClassifier.Verdict.LEADER_ISOLATED,
        leader.classify(first, true, TIMEOUT, TIMEOUT, 21 * SECOND).verdictOf(first.get(0)));
  }

  @Example
  void aPartitionedZoneIsToldFromOneWhoseMachinesDied() {
    List<Known> all = machines(8, "b", 9 * SECOND);
    all.addAll(machines(20, "a", 20 * SECOND));
    leader.tick(true, 18 * SECOND);
    Known one = all.get(0);
    assertEquals(
        ReachabilityClassifier.Verdict.ZONE_PARTITIONED,
        leader.classify(all, false, TIMEOUT, 60 * SECOND, 21 * SECOND).verdictOf(one));
    assertTrue(leader.isPartitioned("b"));
    assertEquals(1, logs.size());
    // Its controller answers: the zone is not cut off, so its machines are dead.
    answer(node("n1", "p"), "n1", 22 * SECOND);
    assertFalse(leader.isPartitioned("b"));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(all, false, TIMEOUT, 60 * SECOND, 22 * SECOND).verdictOf(one));
  }

  @Example
  void aPeerOfTheVersionBeforeIsNotWaitedFor() {
    List<Known> all = machines(1, "b", 9 * SECOND);
    all.addAll(machines(20, "a", 20 * SECOND));
    leader.tick(true, 19 * SECOND);
    ReachabilityClassifier asking =
        leader.classify(all, false, TIMEOUT, TIMEOUT, 19 * SECOND + 100_000);
    assertEquals(ReachabilityClassifier.Verdict.SUSPECTED, asking.verdictOf(all.get(0)));
    asked.forEach(a -> a.callback().accept(new PeerAnswer.Unsupported()));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(all, false, TIMEOUT, TIMEOUT, 19 * SECOND + 200_000).verdictOf(all.get(0)));
  }
}
