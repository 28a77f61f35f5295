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
 * Who hears which machine, told between controllers as changes; and what silence means when many
 * are silent.
 */
class MembershipTest {
  private static final long SECOND = 1_000_000;
  private static final long REPORT = 5 * SECOND;
  private static final long PATIENCE = 10 * SECOND;

  private record Asked(String peer, String run, long after, Consumer<Membership.Answer> callback) {}

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
        REPORT,
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
        a.callback().accept(new Membership.Answer(peer.digestAfter(a.run(), a.after(), nowMicros)));
      }
    }
  }

  /**
   * Whatever is heard, lost, restarted or paged: once told, the leader's picture is what the peer
   * hears.
   */
  @Property(tries = 100, seed = "5")
  void changesAddUp(@ForAll long seed) {
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 3);
    Membership peer = node("n1", "p0");
    Set<String> heard = new HashSet<>();
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
            .forEach(a -> a.callback().accept(null));
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
    assertTrue(all.whole());
    heard.clear();
    for (HeartbeatDigest h = all; ; h = peer.digestAfter(h.run(), h.last(), now)) {
      h.changes().stream()
          .filter(HeartbeatDigest.Change::heard)
          .forEach(c -> heard.add(c.machine()));
      if (!h.more()) {
        break;
      }
    }
    for (String machine : heard) {
      assertTrue(leader.isReachableByPeer(machine), machine);
    }
    assertEquals(heard.size(), leader.countReachableByPeers(m -> true));
  }

  /** 1,600 machines that go on reporting here are told once; after that an answer is empty. */
  @Example
  void whatDoesNotChangeIsNotToldAgain() {
    Membership peer = node("n1", "p");
    for (int i = 0; i < 1600; i++) {
      peer.heartbeatReceived("m" + i, SECOND);
    }
    long told = 0;
    HeartbeatDigest h = peer.digestAfter("", 0, SECOND);
    for (; h.more(); h = peer.digestAfter(h.run(), h.last(), SECOND)) {
      told += h.changes().size();
      assertTrue(h.changes().size() <= 400);
    }
    assertEquals(1600, told + h.changes().size());
    for (int i = 0; i < 1600; i++) {
      peer.heartbeatReceived("m" + i, 4 * SECOND);
    }
    assertEquals(0, peer.digestAfter("p", h.last(), 5 * SECOND).changes().size());
    assertEquals(
        1600,
        peer.digestAfter("another run", h.last(), 30 * SECOND).last() - h.last(),
        "all have gone quiet");
  }

  @Example
  void aMachineThatAPeerHearsIsNotSilent() {
    Membership peer = node("n1", "p");
    peer.heartbeatReceived("b1", 19 * SECOND);
    leader.tick(true, 20 * SECOND);
    answer(peer, "n1", 20 * SECOND);
    List<Known> all = machines(2, "b", 9 * SECOND);
    all.addAll(machines(20, "a", 20 * SECOND));
    ReachabilityClassifier survey = leader.classify(all, false, PATIENCE, PATIENCE, 21 * SECOND);
    assertEquals(ReachabilityClassifier.Verdict.REACHABLE_BY_PEER, survey.verdictOf(all.get(1)));
    assertEquals(ReachabilityClassifier.Verdict.UNREACHABLE, survey.verdictOf(all.get(0)));
    // What it told is believed no longer than it goes on telling.
    leader.tick(false, 40 * SECOND);
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(all, false, PATIENCE, PATIENCE, 40 * SECOND).verdictOf(all.get(1)));
  }

  /**
   * An answer that was long on its way must not stand for the whole: machines heard there would
   * seem silent.
   */
  @Example
  void changesAreNotTakenOnTopOfWhatWasForgotten() {
    Membership peer = node("n1", "p");
    peer.heartbeatReceived("b0", 10 * SECOND);
    leader.tick(true, 10 * SECOND);
    answer(peer, "n1", 10 * SECOND);
    leader.tick(true, 11 * SECOND);
    peer.heartbeatReceived("b1", 13 * SECOND);
    leader.tick(false, 14 * SECOND);
    answer(peer, "n1", 14 * SECOND);
    assertFalse(leader.isReachableByPeer("b1"), "without b0, which is as much heard");
    leader.tick(true, 15 * SECOND);
    answer(peer, "n1", 15 * SECOND);
    assertTrue(leader.isReachableByPeer("b0") && leader.isReachableByPeer("b1"));
  }

  /**
   * Its machines may all have been given back by the leader before: then only its controllers can
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
    leader.classify(machines(1, "b", 4 * SECOND), false, PATIENCE, PATIENCE, 4 * SECOND);
    assertFalse(leader.isPartitioned("b"), "one of its machines is heard");
  }

  @Example
  void whenMostAreSilentTheFaultIsLikelyOurs() {
    List<Known> all = machines(8, "a", 9 * SECOND);
    all.addAll(machines(5, "b", 20 * SECOND));
    leader.tick(true, 18 * SECOND);
    Known one = all.get(0);
    assertEquals(
        ReachabilityClassifier.Verdict.LEADER_ISOLATED,
        leader.classify(all, false, PATIENCE, PATIENCE, 21 * SECOND).verdictOf(one));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(all, false, PATIENCE, PATIENCE, 40 * SECOND).verdictOf(one));
    // None reaches this node any more: these are merely the first to run out of patience.
    List<Known> first = machines(8, "a", 9 * SECOND);
    first.addAll(machines(50, "b", 20 * SECOND));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(first, false, PATIENCE, PATIENCE, 21 * SECOND).verdictOf(first.get(0)));
    assertEquals(
        ReachabilityClassifier.Verdict.LEADER_ISOLATED,
        leader.classify(first, true, PATIENCE, PATIENCE, 21 * SECOND).verdictOf(first.get(0)));
  }

  @Example
  void aZoneThatNobodySeesIsToldFromOneWhoseMachinesDied() {
    List<Known> all = machines(8, "b", 9 * SECOND);
    all.addAll(machines(20, "a", 20 * SECOND));
    leader.tick(true, 18 * SECOND);
    Known one = all.get(0);
    assertEquals(
        ReachabilityClassifier.Verdict.ZONE_PARTITIONED,
        leader.classify(all, false, PATIENCE, 60 * SECOND, 21 * SECOND).verdictOf(one));
    assertTrue(leader.isPartitioned("b"));
    assertEquals(1, logs.size());
    // Its controller answers: the zone is not cut off, so its machines are dead.
    answer(node("n1", "p"), "n1", 22 * SECOND);
    assertFalse(leader.isPartitioned("b"));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader.classify(all, false, PATIENCE, 60 * SECOND, 22 * SECOND).verdictOf(one));
  }

  @Example
  void aPeerOfTheVersionBeforeIsNotWaitedFor() {
    List<Known> all = machines(1, "b", 9 * SECOND);
    all.addAll(machines(20, "a", 20 * SECOND));
    leader.tick(true, 19 * SECOND);
    ReachabilityClassifier asking =
        leader.classify(all, false, PATIENCE, PATIENCE, 19 * SECOND + 100_000);
    assertEquals(ReachabilityClassifier.Verdict.SUSPECTED, asking.verdictOf(all.get(0)));
    asked.forEach(a -> a.callback().accept(new Membership.Answer(null)));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader
            .classify(all, false, PATIENCE, PATIENCE, 19 * SECOND + 200_000)
            .verdictOf(all.get(0)));
  }
}
