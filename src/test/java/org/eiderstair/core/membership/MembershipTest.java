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
 * Tests the reports between controllers of the machines that they reach, and the classification of
 * silent machines.
 */
class MembershipTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long HEARTBEAT_MICROS = 5 * SECOND_MICROS;
  private static final long TIMEOUT_MICROS = 10 * SECOND_MICROS;

  private record Query(String peer, String run, long after, Consumer<PeerAnswer> callback) {}

  private record TestMachine(
      String machine, String zone, long lastHeartbeatMicros, boolean unconfirmed)
      implements MonitoredMachine {}

  private final List<Query> queries = new ArrayList<>();
  private final List<String> logs = new ArrayList<>();
  private final Membership leader = node("n0", "run");

  private Membership node(String name, String run) {
    return new Membership(
        name,
        List.of("n1", "n2"),
        Map.of("n0", "a", "n1", "b", "n2", "c"),
        run,
        HEARTBEAT_MICROS,
        (peer, of, after, callback) -> queries.add(new Query(peer, of, after, callback)),
        logs::add);
  }

  private static List<TestMachine> machines(int count, String zone, long lastHeartbeatMicros) {
    List<TestMachine> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(new TestMachine(zone + i, zone, lastHeartbeatMicros, false));
    }
    return all;
  }

  private void answer(Membership peer, String name, long nowMicros) {
    for (Query a : List.copyOf(queries)) {
      if (a.peer().equals(name)) {
        queries.remove(a);
        a.callback().accept(new PeerAnswer.Digest(peer.digestAfter(a.run(), a.after(), nowMicros)));
      }
    }
  }

  /**
   * Guards against a leader whose view of a peer's machines diverges through lost answers, restarts
   * of the peer or paged digests. Once the peer has reported, both must agree.
   */
  @Property(tries = 100, seed = "5")
  void leaderKnowsTheMachinesThatAPeerReported(@ForAll long seed) {
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 3);
    Membership peer = node("n1", "p0");
    Set<String> reachable = new HashSet<>();
    long now = SECOND_MICROS;
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
        // The queries fail.
        queries.stream()
            .filter(a -> a.peer().equals("n1"))
            .toList()
            .forEach(a -> a.callback().accept(new PeerAnswer.NoAnswer()));
        queries.removeIf(a -> a.peer().equals("n1"));
      } else {
        answer(peer, "n1", now);
      }
    }
    for (int i = 0; i < 10; i++) {
      now += SECOND_MICROS;
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

  /** 1,600 machines that keep sending heartbeats are reported once; later digests are empty. */
  @Example
  void unchangedMachinesAreNotReportedAgain() {
    Membership peer = node("n1", "p");
    for (int i = 0; i < 1600; i++) {
      peer.heartbeatReceived("m" + i, SECOND_MICROS);
    }
    long changes = 0;
    HeartbeatDigest h = peer.digestAfter("", 0, SECOND_MICROS);
    for (; h.more(); h = peer.digestAfter(h.runId(), h.lastSequence(), SECOND_MICROS)) {
      changes += h.changes().size();
      assertTrue(h.changes().size() <= 400);
    }
    assertEquals(1600, changes + h.changes().size());
    for (int i = 0; i < 1600; i++) {
      peer.heartbeatReceived("m" + i, 4 * SECOND_MICROS);
    }
    assertEquals(0, peer.digestAfter("p", h.lastSequence(), 5 * SECOND_MICROS).changes().size());
    assertEquals(
        1600,
        peer.digestAfter("another run", h.lastSequence(), 30 * SECOND_MICROS).lastSequence()
            - h.lastSequence(),
        "all have gone silent");
  }

  @Example
  void machineReachedByPeerIsNotUnreachable() {
    Membership peer = node("n1", "p");
    peer.heartbeatReceived("b1", 19 * SECOND_MICROS);
    leader.tick(true, 20 * SECOND_MICROS);
    answer(peer, "n1", 20 * SECOND_MICROS);
    List<TestMachine> all = machines(2, "b", 9 * SECOND_MICROS);
    all.addAll(machines(20, "a", 20 * SECOND_MICROS));
    ReachabilityClassifier classifier =
        leader.classify(all, false, TIMEOUT_MICROS, TIMEOUT_MICROS, 21 * SECOND_MICROS);
    assertEquals(
        ReachabilityClassifier.Verdict.REACHABLE_BY_PEER, classifier.verdictOf(all.get(1)));
    assertEquals(ReachabilityClassifier.Verdict.UNREACHABLE, classifier.verdictOf(all.get(0)));
    // The report expires when the peer answers no longer.
    leader.tick(false, 40 * SECOND_MICROS);
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader
            .classify(all, false, TIMEOUT_MICROS, TIMEOUT_MICROS, 40 * SECOND_MICROS)
            .verdictOf(all.get(1)));
  }

  /**
   * Guards against a late answer with only the latest changes that is taken for the peer's whole
   * state after the earlier report has expired. The peer's other machines would seem silent.
   */
  @Example
  void lateChangesAreNotAppliedToADiscardedReport() {
    Membership peer = node("n1", "p");
    peer.heartbeatReceived("b0", 10 * SECOND_MICROS);
    leader.tick(true, 10 * SECOND_MICROS);
    answer(peer, "n1", 10 * SECOND_MICROS);
    leader.tick(true, 11 * SECOND_MICROS);
    peer.heartbeatReceived("b1", 13 * SECOND_MICROS);
    leader.tick(false, 14 * SECOND_MICROS);
    answer(peer, "n1", 14 * SECOND_MICROS);
    assertFalse(leader.isReachableByPeer("b1"), "without b0, which is reachable as well");
    leader.tick(true, 15 * SECOND_MICROS);
    answer(peer, "n1", 15 * SECOND_MICROS);
    assertTrue(leader.isReachableByPeer("b0") && leader.isReachableByPeer("b1"));
  }

  /**
   * Guards against a new leader that takes a partitioned zone for reachable. The previous leader
   * may have released all machines of that zone, so that only its controllers can show its state.
   */
  @Example
  void newTermQueriesPeersBeforeItDecidesOnZones() {
    leader.startTerm(SECOND_MICROS);
    leader.tick(false, SECOND_MICROS);
    assertFalse(leader.hasConsultedPeers(SECOND_MICROS));
    answer(node("n2", "p"), "n2", SECOND_MICROS + 10_000);
    leader.tick(false, SECOND_MICROS + 100_000);
    assertFalse(leader.hasConsultedPeers(SECOND_MICROS + 100_000), "n1 may yet answer");
    leader.tick(false, 3 * SECOND_MICROS);
    assertTrue(leader.hasConsultedPeers(3 * SECOND_MICROS));
    assertTrue(leader.isPartitioned("b"));
    assertFalse(leader.isPartitioned("a") || leader.isPartitioned("c"));
    leader.classify(
        machines(1, "b", 4 * SECOND_MICROS),
        false,
        TIMEOUT_MICROS,
        TIMEOUT_MICROS,
        4 * SECOND_MICROS);
    assertFalse(leader.isPartitioned("b"), "one of its machines reports");
  }

  @Example
  void leaderIsIsolatedWhenMostMachinesAreSilent() {
    List<TestMachine> all = machines(8, "a", 9 * SECOND_MICROS);
    all.addAll(machines(5, "b", 20 * SECOND_MICROS));
    leader.tick(true, 18 * SECOND_MICROS);
    TestMachine one = all.get(0);
    assertEquals(
        ReachabilityClassifier.Verdict.LEADER_ISOLATED,
        leader
            .classify(all, false, TIMEOUT_MICROS, TIMEOUT_MICROS, 21 * SECOND_MICROS)
            .verdictOf(one));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader
            .classify(all, false, TIMEOUT_MICROS, TIMEOUT_MICROS, 40 * SECOND_MICROS)
            .verdictOf(one));
    // No machine reaches this node any more: these are only the first to time out.
    List<TestMachine> first = machines(8, "a", 9 * SECOND_MICROS);
    first.addAll(machines(50, "b", 20 * SECOND_MICROS));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader
            .classify(first, false, TIMEOUT_MICROS, TIMEOUT_MICROS, 21 * SECOND_MICROS)
            .verdictOf(first.get(0)));
    assertEquals(
        ReachabilityClassifier.Verdict.LEADER_ISOLATED,
        leader
            .classify(first, true, TIMEOUT_MICROS, TIMEOUT_MICROS, 21 * SECOND_MICROS)
            .verdictOf(first.get(0)));
  }

  @Example
  void partitionedZoneIsDistinguishedFromDeadMachines() {
    List<TestMachine> all = machines(8, "b", 9 * SECOND_MICROS);
    all.addAll(machines(20, "a", 20 * SECOND_MICROS));
    leader.tick(true, 18 * SECOND_MICROS);
    TestMachine one = all.get(0);
    assertEquals(
        ReachabilityClassifier.Verdict.ZONE_PARTITIONED,
        leader
            .classify(all, false, TIMEOUT_MICROS, 60 * SECOND_MICROS, 21 * SECOND_MICROS)
            .verdictOf(one));
    assertTrue(leader.isPartitioned("b"));
    assertEquals(1, logs.size());
    // The zone's controller answers, so the zone is not cut off and its machines are dead.
    answer(node("n1", "p"), "n1", 22 * SECOND_MICROS);
    assertFalse(leader.isPartitioned("b"));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader
            .classify(all, false, TIMEOUT_MICROS, 60 * SECOND_MICROS, 22 * SECOND_MICROS)
            .verdictOf(one));
  }

  @Example
  void peerWithoutSupportForQueriesIsNotWaitedFor() {
    List<TestMachine> all = machines(1, "b", 9 * SECOND_MICROS);
    all.addAll(machines(20, "a", 20 * SECOND_MICROS));
    leader.tick(true, 19 * SECOND_MICROS);
    ReachabilityClassifier asking =
        leader.classify(all, false, TIMEOUT_MICROS, TIMEOUT_MICROS, 19 * SECOND_MICROS + 100_000);
    assertEquals(ReachabilityClassifier.Verdict.SUSPECTED, asking.verdictOf(all.get(0)));
    queries.forEach(a -> a.callback().accept(new PeerAnswer.Unsupported()));
    assertEquals(
        ReachabilityClassifier.Verdict.UNREACHABLE,
        leader
            .classify(all, false, TIMEOUT_MICROS, TIMEOUT_MICROS, 19 * SECOND_MICROS + 200_000)
            .verdictOf(all.get(0)));
  }
}
