package org.eiderstair.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * How controllers act together when some of them are blind: days with one fault each, the dearest
 * at the fleet size.
 */
class ControllerFaultScenariosTest {
  private static final long SECOND = 1_000_000;
  private static final long FAULT = 80 * SECOND;

  /** More room than the work of the day ever asks for. */
  private static final ClusterSize ROOMY = new ClusterSize(5, 900, 240, 900, 160, 60);

  private final List<String> logs = new ArrayList<>();

  /**
   * @param fault happens while all machines are busy
   */
  private SimulatedCluster play(ClusterSize size, Consumer<SimulatedCluster> fault) {
    return play(5, size, fault);
  }

  private SimulatedCluster play(long seed, ClusterSize size, Consumer<SimulatedCluster> fault) {
    SimulatedCluster day = SimulatedDay.prepare(seed, size);
    day.logs = logs::add;
    day.clock.after(FAULT, () -> fault.accept(day));
    day.clock.runUntil(320 * SECOND);
    day.recordCompletedShare(SimulatedDay.COUNTED_UNTIL);
    day.clock.runUntil(480 * SECOND);
    assertEquals(List.of(), day.rules.violations());
    assertEquals(List.of(), day.users.unfinished());
    assertTrue(day.completedShare() >= 0.5, "completed share " + day.completedShare());
    return day;
  }

  private long logged(String what) {
    return logs.stream().filter(l -> l.contains(what)).count();
  }

  /** From whichever state of a leader. */
  private long leadershipLosses() {
    return logs.stream()
        .filter(l -> l.matches("leadership (LEADING|SUSPENDED|SYNCHRONIZING) -> FOLLOWING .*"))
        .count();
  }

  /**
   * Found on the fleet's day of cuts: within ten seconds it released half of a healthy fleet as
   * silent.
   */
  @Example
  void aLeaderCutFromItsWorkersHandsOverAndGivesBackNone() {
    int[] machines = new int[1];
    SimulatedCluster day =
        play(
            ClusterSize.fleet(3),
            d -> {
              machines[0] = d.cloud.machines();
              d.outages.cutNodeFromWorkers(d.leader(), 40 * SECOND);
            });
    assertTrue(machines[0] > 1000, "machines " + machines[0]);
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
    assertEquals(1, logged("no machine reaches this node while peers receive heartbeats of"));
  }

  @Example
  void aLeaderCutFromItsPeersGoesOn() {
    SimulatedCluster day =
        play(ClusterSize.GROWN, d -> d.outages.cutNodeFromPeers(d.leader(), 40 * SECOND));
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
    assertEquals(0, leadershipLosses(), "a leader gives way for its machines, not for its peers");
  }

  @Example
  void aLeaderCutFromWorkersAndPeersGivesBackNone() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            d -> {
              int leader = d.leader();
              d.outages.cutNodeFromWorkers(leader, 40 * SECOND);
              d.outages.cutNodeFromPeers(leader, 40 * SECOND);
            });
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
  }

  /**
   * Rentals of a leader that the cloud does not answer are settled by the next, under their names.
   */
  @Example
  void openRentalsOfALeaderCutFromTheCloudAreSettledByTheNext() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            d -> {
              int leader = d.leader();
              d.outages.cutNodeFromCloud(leader, 60 * SECOND);
              d.clock.after(20 * SECOND, () -> d.outages.crash(leader, 3 * SECOND));
            });
    assertTrue(logged("provisioning RECOVERING, term=") >= 2, "both leaders recover provisioning");
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
  }

  /** Nobody rents where nobody sees, while there is room elsewhere. */
  @Example
  void aPartitionedZoneIsNotTakenForDeadMachines() {
    String[] zone = new String[1];
    int[] there = new int[2];
    play(
        ROOMY,
        d -> {
          int cut = (d.leader() + 1) % 3;
          zone[0] = String.valueOf("abc".charAt(cut));
          d.outages.cutZone(cut, 70 * SECOND);
          // So that machines are asked for during the cut.
          d.clock.after(12 * SECOND, () -> d.cloud.killMachines(60));
          d.clock.after(9 * SECOND, () -> there[0] = d.cloud.rentedIn(zone[0]));
          d.clock.after(69 * SECOND, () -> there[1] = d.cloud.rentedIn(zone[0]));
        });
    assertEquals(1, logged("zone=" + zone[0] + " -> PARTITIONED"));
    assertEquals(1, logged("zone=" + zone[0] + " -> REACHABLE"));
    assertEquals(there[0], there[1], "no machine is rented in a partitioned zone");
  }

  /**
   * How many are asked for a minute later depends on how much of the day's work is left then: of 80
   * drawn days two or three had fewer than two thirds of the machines of before, so it is the sum
   * of several days that tells.
   */
  @Example
  void halfOfAllMachinesDeadAtOnceAreReplaced() {
    int before = 0;
    int after = 0;
    for (long seed = 5; seed <= 8; seed++) {
      int[] machines = new int[3];
      SimulatedCluster day =
          play(
              seed,
              ClusterSize.GROWN,
              d -> {
                machines[0] = d.cloud.machines();
                d.cloud.killMachines(50);
                d.clock.after(
                    60 * SECOND,
                    () -> {
                      machines[1] = d.cloud.alive();
                      machines[2] = d.cloud.machines() - d.cloud.alive();
                    });
              });
      String what = "seed " + seed + ": alive a minute later " + machines[1] + " of " + machines[0];
      assertTrue(machines[1] > machines[0] / 2, what);
      // None that died is paid for any more.
      assertEquals(0, machines[2], "machines that died a minute ago are returned");
      assertTrue(
          day.cloud.returnedAlive() < machines[0] / 50,
          "machines returned while alive: " + day.cloud.returnedAlive());
      before += machines[0];
      after += machines[1];
    }
    assertTrue(after > before * 3 / 4, "alive a minute later " + after + " of " + before);
  }

  /**
   * The cloud's lists are old: 542 machines released by one leader were found and released again by
   * the next.
   */
  @Example
  void aNewLeaderDoesNotReturnMachinesASecondTime() {
    int[] given = new int[1];
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            d -> {
              d.cloud.killMachines(30);
              d.clock.after(
                  14 * SECOND,
                  () -> {
                    given[0] = (int) logged(": unreachable: ");
                    // Back at once, so that the next leader's first list is of the time before.
                    d.outages.crash(d.leader(), SECOND / 3);
                  });
            });
    assertTrue(
        day.cloud.returnedAsUnreachable() >= given[0],
        "machines known to be returned as unreachable: " + day.cloud.returnedAsUnreachable());
    assertTrue(given[0] > 20, "given back " + given[0]);
    List<String> returned =
        logs.stream()
            .filter(l -> l.startsWith("scaling in machine="))
            .map(l -> l.split("[=:]")[1])
            .toList();
    assertEquals(0, logged("found in the cloud's list"));
    assertEquals(new HashSet<>(returned).size(), returned.size(), "some were given back twice");
  }

  @Example
  void allControllersRestartedWithinASecondLoseNothing() {
    SimulatedCluster day =
        play(
            ClusterSize.fleet(5),
            d -> {
              for (int i = 0; i < 5; i++) {
                d.outages.crash(i, 300_000 + i * 150_000);
              }
            });
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
  }

  /**
   * It is paused after the acknowledgement, another leads meanwhile, and then it sends what it had
   * decided.
   */
  @Example
  void aPausedLeaderIsReplacedByItsStandbyAndDoesNoHarm() {
    long[] takeovers = new long[2];
    long[] recoveries = new long[2];
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            d -> {
              takeovers[0] = logged("takeover of term=");
              recoveries[0] = logged("standby recovery -> COMPLETE");
              d.outages.pause(d.leader(), 8 * SECOND);
              d.clock.after(
                  4 * SECOND,
                  () -> {
                    takeovers[1] = logged("takeover of term=");
                    recoveries[1] = logged("standby recovery -> COMPLETE");
                  });
            });
    // Before its lease could be over.
    assertEquals(1, takeovers[1] - takeovers[0]);
    assertEquals(1, recoveries[1] - recoveries[0]);
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
  }

  /**
   * Batches and acknowledgements held by a cut arrive after the election; the leader goes on,
   * without its standby.
   */
  @Example
  void aCutBetweenLeaderAndStandbyCostsALeaderNothing() {
    play(ClusterSize.GROWN, d -> d.outages.cutNodeFromPeers(d.leader(), 6 * SECOND));
    assertTrue(logged("IN_SYNC -> REMOVING") > 0);
    assertEquals(0, leadershipLosses());
  }

  @Example
  void threeFailoversInTenSecondsLoseNothing() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            d -> {
              for (int i = 0; i < 3; i++) {
                d.clock.after(i * 3_300_000L, () -> d.outages.crash(d.leader(), SECOND));
              }
            });
    assertTrue(logged("standby recovery -> ELECTED") >= 4);
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
  }

  /** Nobody can take over or be elected then; and nobody launches. */
  @Example
  void aStateServiceOutageDuringAFailoverLosesNothing() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            d -> {
              d.outages.crash(d.leader(), 3 * SECOND);
              d.outages.stateService(12 * SECOND);
            });
    assertTrue(logged("standby recovery -> ELECTED") >= 2);
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
  }

  /**
   * A part of a day with 4,000 machines: all have come up when the leader ends, and its successor
   * goes on. Whole days by hand: {@code WholeDayTest} with {@code -Dsim.full}.
   */
  @Example
  void aFailoverAtTheFullSizeKeepsEveryRule() {
    ClusterSize size = ClusterSize.full(5);
    SimulatedCluster day = SimulatedDay.prepare(1, size);
    day.logs = logs::add;
    day.clock.after(3 * SECOND, () -> day.faults.begin(FaultInjector.Kind.OVERLOAD, 100 * SECOND));
    day.clock.runUntil(41 * SECOND);
    assertEquals(size.machines(), day.cloud.machines(), "all machines have come up");
    int leader = day.leader();
    int started = day.tasks.starts();
    day.outages.crash(leader, 3 * SECOND);
    day.clock.runUntil(53 * SECOND);
    assertEquals(List.of(), day.rules.violations());
    assertTrue(day.leader() != leader, "another controller leads");
    assertEquals(2, logged("standby recovery -> ELECTED"), "terms that began by an election");
    assertTrue(
        day.cloud.returnedAlive() < 20,
        "machines returned while alive: " + day.cloud.returnedAlive());
    int startedSince = day.tasks.starts() - started;
    assertTrue(startedSince > 4_000, "tasks started since the failover: " + startedSince);
  }
}
