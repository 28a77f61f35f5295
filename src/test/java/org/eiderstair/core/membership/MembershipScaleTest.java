package org.eiderstair.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.core.membership.ReachabilityClassifier.Verdict;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Tests the membership in a cluster of 4,000 machines with three controllers. Use {@code
 * -Dmembership.machines=8000 -Dmembership.seconds=600} for a larger and longer run.
 */
class MembershipScaleTest {
  private static final int MACHINES = Integer.getInteger("membership.machines", 4_000);
  private static final int SECONDS = Integer.getInteger("membership.seconds", 60);
  private static final int MAX_DIGEST_CHANGES = 400;
  private static final int MAX_CONSECUTIVE_LOSSES = 2;
  private static final long SECOND_MICROS = 1_000_000;
  private static final long HEARTBEAT_MICROS = 5 * SECOND_MICROS;
  private static final long TIMEOUT_MICROS = 10 * SECOND_MICROS;
  private static final long STEP_MICROS = 50_000;
  private static final Map<String, String> ZONES = Map.of("n0", "a", "n1", "b", "n2", "c");

  private static final class Machine implements MonitoredMachine {
    final String id;
    final String zone;

    /** The controller that the machine sends heartbeats to; null when the machine is dead. */
    String controller;

    long lastHeartbeatMicros;

    Machine(int number) {
      id = "i-" + number;
      zone = "abc".substring(number % 3, number % 3 + 1);
      controller = "n" + number % 3;
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
      return lastHeartbeatMicros;
    }

    @Override
    public boolean unconfirmed() {
      return false;
    }
  }

  private record TimedEvent(long atMicros, long order, Runnable action) {}

  private final UniformRandomProvider random = new XoRoShiRo128PlusPlus(5, 17);
  private final PriorityQueue<TimedEvent> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros() == b.atMicros()
                  ? Long.compare(a.order(), b.order())
                  : Long.compare(a.atMicros(), b.atMicros()));
  private final Map<String, Membership> controllers = new LinkedHashMap<>();
  private final List<Machine> machines = new ArrayList<>();
  private long now = SECOND_MICROS;
  private long order;
  private int queries;

  /** One in this many queries is lost; 0 when none is. */
  private int queriesPerLoss;

  private final Map<String, Integer> consecutiveLosses = new HashMap<>();

  private MembershipScaleTest() {
    for (String name : List.of("n0", "n1", "n2")) {
      List<String> peers = new ArrayList<>(List.of("n0", "n1", "n2"));
      peers.remove(name);
      controllers.put(
          name,
          new Membership(
              name, peers, ZONES, name + "-run", HEARTBEAT_MICROS, this::query, text -> {}));
    }
    for (int i = 0; i < MACHINES; i++) {
      Machine machine = new Machine(i);
      machine.lastHeartbeatMicros = now;
      machines.add(machine);
    }
  }

  private Membership leader() {
    return controllers.get("n0");
  }

  private void after(long micros, Runnable action) {
    events.add(new TimedEvent(now + micros, order++, action));
  }

  /**
   * Sends a query; the query and its answer take up to 20 ms each. At most two queries in a row to
   * one peer are lost. After three losses the peer and the machines that only it reaches count as
   * out of reach, by design.
   */
  private void query(String peer, String runId, long after, Consumer<PeerAnswer> callback) {
    queries++;
    if (isLost(peer)) {
      after(SECOND_MICROS, () -> callback.accept(new PeerAnswer.NoAnswer()));
      return;
    }
    after(
        random.nextInt(20_000),
        () -> {
          HeartbeatDigest digest = controllers.get(peer).digestAfter(runId, after, now);
          assertTrue(digest.changes().size() <= MAX_DIGEST_CHANGES);
          after(random.nextInt(20_000), () -> callback.accept(new PeerAnswer.Digest(digest)));
        });
  }

  private boolean isLost(String peer) {
    boolean lost =
        queriesPerLoss > 0
            && random.nextInt(queriesPerLoss) == 0
            && consecutiveLosses.getOrDefault(peer, 0) < MAX_CONSECUTIVE_LOSSES;
    consecutiveLosses.put(peer, lost ? consecutiveLosses.getOrDefault(peer, 0) + 1 : 0);
    return lost;
  }

  /** Starts the machine's heartbeats to its controller, the first within one interval. */
  private void startHeartbeats(Machine machine) {
    after(
        random.nextInt((int) HEARTBEAT_MICROS),
        () -> {
          heartbeat(machine);
          scheduleNextHeartbeat(machine);
        });
  }

  private void scheduleNextHeartbeat(Machine machine) {
    after(
        HEARTBEAT_MICROS,
        () -> {
          heartbeat(machine);
          scheduleNextHeartbeat(machine);
        });
  }

  /**
   * Delivers a heartbeat to the machine's controller. Nothing is relayed, so the leader learns of
   * the machines at a follower only by queries.
   */
  private void heartbeat(Machine machine) {
    if (machine.controller == null) {
      return;
    }
    controllers.get(machine.controller).heartbeatReceived(machine.id, now);
    if (machine.controller.equals("n0")) {
      machine.lastHeartbeatMicros = now;
    }
  }

  private void runDueEvents() {
    while (!events.isEmpty() && events.peek().atMicros() <= now) {
      events.poll().action().run();
    }
  }

  private ReachabilityClassifier step(boolean reachedByFew) {
    now += STEP_MICROS;
    runDueEvents();
    ReachabilityClassifier classifier =
        leader().classify(machines, reachedByFew, TIMEOUT_MICROS, TIMEOUT_MICROS, now);
    leader().tick(reachedByFew || classifier.hasMissingMachines(), now);
    return classifier;
  }

  private void assertNoLiveMachineIsUnreachable(ReachabilityClassifier classifier) {
    for (Machine machine : machines) {
      if (machine.controller != null) {
        assertNotEquals(
            Verdict.UNREACHABLE, classifier.verdictOf(machine), () -> classifier.evidence(machine));
      }
    }
  }

  /** All machines reach one peer, whose pages of 400 changes must be fetched without a pause. */
  @Example
  void reportOfAPeerNeedsOneAnswerPerPage() {
    Membership peer = controllers.get("n1");
    machines.forEach(machine -> peer.heartbeatReceived(machine.id, now));
    int pages = (MACHINES + MAX_DIGEST_CHANGES - 1) / MAX_DIGEST_CHANGES;
    // One step for a query, one for its answer.
    long end = now + (2 * pages + 1) * STEP_MICROS;
    while (leader().countReachableByPeers(id -> true) < MACHINES) {
      step(true);
      assertTrue(now <= end, leader().evidence());
    }
    // The other peer has nothing to report, and is queried twice a second.
    assertTrue(queries >= pages && queries <= 2 * pages, queries + " queries");
    assertEquals("peer=n1 reachable=" + MACHINES, leader().evidence().split(", ")[0]);
  }

  /**
   * Guards against a peer that drops a live machine because many others have left: the leader would
   * never learn of the live machine's later silence.
   */
  @Example
  void silenceIsReportedAfterManyMachinesHaveComeAndGone() {
    Membership peer = controllers.get("n1");
    Machine machine = machines.get(0);
    for (int left = 1; left < HeartbeatTracker.MAX_SILENT_MACHINES; left++) {
      now += 100_000;
      peer.heartbeatReceived(machine.id, now);
      peer.heartbeatReceived("left-" + left, now);
      leader().tick(true, now);
      runDueEvents();
    }
    assertTrue(leader().isReachableByPeer(machine.id));
    for (int left = 0; left < MACHINES / 2; left++) {
      peer.heartbeatReceived("later-" + left, now);
    }
    for (long end = now + 30 * SECOND_MICROS; now < end; ) {
      step(true);
    }
    assertFalse(leader().isReachableByPeer(machine.id), "it has sent no heartbeat for 30 s");
  }

  /**
   * Guards against live machines that are judged unreachable, and dead ones that are not. Each
   * controller receives the heartbeats of a third of the machines. Some machines move to another
   * controller, some die, and for ten seconds none reaches the leader.
   */
  @Example
  void deadMachinesAreUnreachableAndLiveOnesNever() {
    queriesPerLoss = 10;
    machines.forEach(this::startHeartbeats);
    long end = now + SECONDS * SECOND_MICROS;
    long isolationStartMicros = now + 20 * SECOND_MICROS;
    long isolationEndMicros = isolationStartMicros + 10 * SECOND_MICROS;
    for (long nextChange = now + 10 * SECOND_MICROS; now < end; ) {
      boolean leaderIsolated = now >= isolationStartMicros && now < isolationEndMicros;
      if (now >= nextChange) {
        nextChange = now + SECOND_MICROS;
        moveAndKillMachines(leaderIsolated);
      }
      ReachabilityClassifier classifier = step(leaderIsolated);
      if (now > 10 * SECOND_MICROS && now % SECOND_MICROS < STEP_MICROS) {
        assertNoLiveMachineIsUnreachable(classifier);
      }
    }
    long last = now + 3 * TIMEOUT_MICROS + HEARTBEAT_MICROS;
    while (now < last) {
      assertNoLiveMachineIsUnreachable(step(false));
    }
    ReachabilityClassifier classifier = step(false);
    int dead = 0;
    for (Machine machine : machines) {
      if (machine.controller == null) {
        dead++;
        assertEquals(
            Verdict.UNREACHABLE, classifier.verdictOf(machine), () -> classifier.evidence(machine));
      }
    }
    assertTrue(dead > 0 && dead < MACHINES / 2, dead + " dead");
    assertFalse(leader().isPartitioned("a") || leader().isPartitioned("b"));
  }

  /**
   * Moves one in a hundred machines to another controller and lets one in a thousand die. While the
   * leader is isolated, all its machines move to the other controllers.
   */
  private void moveAndKillMachines(boolean leaderIsolated) {
    for (Machine machine : machines) {
      if (machine.controller == null) {
        continue;
      }
      if (random.nextInt(1_000) == 0) {
        machine.controller = null;
      } else if ((leaderIsolated && machine.controller.equals("n0")) || random.nextInt(100) == 0) {
        machine.controller = "n" + (leaderIsolated ? 1 + random.nextInt(2) : random.nextInt(3));
      }
    }
  }
}
