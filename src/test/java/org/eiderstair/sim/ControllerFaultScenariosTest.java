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
  private static final long SECOND_MICROS = 1_000_000;
  private static final long FAULT_AT_MICROS = 80 * SECOND_MICROS;

  /** More room than the work of the day ever asks for. */
  private static final ClusterSize AMPLE = new ClusterSize(5, 900, 240, 900, 160, 60);

  private final List<String> logs = new ArrayList<>();

  /**
   * @param fault happens while all machines are busy
   */
  private SimulatedCluster play(ClusterSize size, Consumer<SimulatedCluster> fault) {
    return play(5, size, fault);
  }

  private SimulatedCluster play(long seed, ClusterSize size, Consumer<SimulatedCluster> fault) {
    SimulatedCluster day = SimulatedDay.prepare(seed, size);
    day.logListener = logs::add;
    day.clock.after(FAULT_AT_MICROS, () -> fault.accept(day));
    day.clock.runUntil(320 * SECOND_MICROS);
    day.recordCompletedShare(SimulatedDay.COUNTED_UNTIL_MICROS);
    day.clock.runUntil(480 * SECOND_MICROS);
    assertEquals(List.of(), day.rules.violations());
    assertEquals(List.of(), day.users.unfinishedJobs());
    assertTrue(day.completedShare() >= 0.5, "completed share " + day.completedShare());
    return day;
  }

  private long countLogs(String text) {
    return logs.stream().filter(l -> l.contains(text)).count();
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
  void aLeaderPartitionedFromItsWorkersResignsAndReleasesFewLiveMachines() {
    int[] machines = new int[1];
    SimulatedCluster day =
        play(
            ClusterSize.fleet(3),
            cluster -> {
              machines[0] = cluster.cloud.machineCount();
              cluster.outages.partitionNodeFromWorkers(cluster.leader(), 40 * SECOND_MICROS);
            });
    assertTrue(machines[0] > 1000, "machines " + machines[0]);
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
    assertEquals(1, countLogs("no machine reaches this node while peers receive heartbeats of"));
  }

  @Example
  void aLeaderPartitionedFromItsPeersKeepsLeading() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            cluster ->
                cluster.outages.partitionNodeFromPeers(cluster.leader(), 40 * SECOND_MICROS));
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
    assertEquals(0, leadershipLosses(), "a leader gives way for its machines, not for its peers");
  }

  @Example
  void aLeaderPartitionedFromWorkersAndPeersReleasesFewLiveMachines() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            cluster -> {
              int leader = cluster.leader();
              cluster.outages.partitionNodeFromWorkers(leader, 40 * SECOND_MICROS);
              cluster.outages.partitionNodeFromPeers(leader, 40 * SECOND_MICROS);
            });
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
  }

  /**
   * Rentals of a leader that the cloud does not answer are settled by the next, under their names.
   */
  @Example
  void pendingRentalsOfALeaderPartitionedFromTheCloudAreResolvedByItsSuccessor() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            cluster -> {
              int leader = cluster.leader();
              cluster.outages.partitionNodeFromCloud(leader, 60 * SECOND_MICROS);
              cluster.clock.after(
                  20 * SECOND_MICROS, () -> cluster.outages.crash(leader, 3 * SECOND_MICROS));
            });
    assertTrue(
        countLogs("provisioning RECOVERING, term=") >= 2, "both leaders recover provisioning");
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
  }

  /** Nobody rents where nobody sees, while there is room elsewhere. */
  @Example
  void aPartitionedZoneIsDetectedAndNoMachinesAreRentedThere() {
    String[] zone = new String[1];
    int[] rented = new int[2];
    play(
        AMPLE,
        cluster -> {
          int cut = (cluster.leader() + 1) % 3;
          zone[0] = String.valueOf("abc".charAt(cut));
          cluster.outages.partitionZone(cut, 70 * SECOND_MICROS);
          // So that machines are asked for during the cut.
          cluster.clock.after(12 * SECOND_MICROS, () -> cluster.cloud.killMachines(60));
          cluster.clock.after(
              9 * SECOND_MICROS, () -> rented[0] = cluster.cloud.rentedInZoneCount(zone[0]));
          cluster.clock.after(
              69 * SECOND_MICROS, () -> rented[1] = cluster.cloud.rentedInZoneCount(zone[0]));
        });
    assertEquals(1, countLogs("zone=" + zone[0] + " -> PARTITIONED"));
    assertEquals(1, countLogs("zone=" + zone[0] + " -> REACHABLE"));
    assertEquals(rented[0], rented[1], "no machine is rented in a partitioned zone");
  }

  /**
   * How many are asked for a minute later depends on how much of the day's work is left then: of 80
   * drawn days two or three had fewer than two thirds of the machines of before, so it is the sum
   * of several days that tells.
   */
  @Example
  void machinesAreReplacedWhenHalfOfThemDieAtOnce() {
    int before = 0;
    int after = 0;
    for (long seed = 5; seed <= 8; seed++) {
      int[] machines = new int[3];
      SimulatedCluster day =
          play(
              seed,
              ClusterSize.GROWN,
              cluster -> {
                machines[0] = cluster.cloud.machineCount();
                cluster.cloud.killMachines(50);
                cluster.clock.after(
                    60 * SECOND_MICROS,
                    () -> {
                      machines[1] = cluster.cloud.aliveMachineCount();
                      machines[2] =
                          cluster.cloud.machineCount() - cluster.cloud.aliveMachineCount();
                    });
              });
      String message =
          "seed " + seed + ": alive a minute later " + machines[1] + " of " + machines[0];
      assertTrue(machines[1] > machines[0] / 2, message);
      // None that died is paid for any more.
      assertEquals(0, machines[2], "machines that died a minute ago are returned");
      assertTrue(
          day.cloud.releasedWhileAlive() < machines[0] / 50,
          "machines returned while alive: " + day.cloud.releasedWhileAlive());
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
  void aNewLeaderDoesNotReleaseMachinesASecondTime() {
    int[] released = new int[1];
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            cluster -> {
              cluster.cloud.killMachines(30);
              cluster.clock.after(
                  14 * SECOND_MICROS,
                  () -> {
                    released[0] = (int) countLogs(": unreachable: ");
                    // Back at once, so that the next leader's first list is of the time before.
                    cluster.outages.crash(cluster.leader(), SECOND_MICROS / 3);
                  });
            });
    assertTrue(
        day.cloud.releasedAsUnreachable() >= released[0],
        "machines known to be returned as unreachable: " + day.cloud.releasedAsUnreachable());
    assertTrue(released[0] > 20, "released back " + released[0]);
    List<String> returned =
        logs.stream()
            .filter(l -> l.startsWith("scaling in machine="))
            .map(l -> l.split("[=:]")[1])
            .toList();
    assertEquals(0, countLogs("found in the cloud's list"));
    assertEquals(new HashSet<>(returned).size(), returned.size(), "some were released back twice");
  }

  @Example
  void allControllersRestartedWithinASecondLoseNothing() {
    SimulatedCluster day =
        play(
            ClusterSize.fleet(5),
            cluster -> {
              for (int i = 0; i < 5; i++) {
                cluster.outages.crash(i, 300_000 + i * 150_000);
              }
            });
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
  }

  /**
   * It is paused after the acknowledgement, another leads meanwhile, and then it sends what it had
   * decided.
   */
  @Example
  void aPausedLeaderIsReplacedByItsStandbyAndBreaksNoRule() {
    long[] takeovers = new long[2];
    long[] recoveries = new long[2];
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            cluster -> {
              takeovers[0] = countLogs("takeover of term=");
              recoveries[0] = countLogs("standby recovery -> COMPLETE");
              cluster.outages.pause(cluster.leader(), 8 * SECOND_MICROS);
              cluster.clock.after(
                  4 * SECOND_MICROS,
                  () -> {
                    takeovers[1] = countLogs("takeover of term=");
                    recoveries[1] = countLogs("standby recovery -> COMPLETE");
                  });
            });
    // Before its lease could be over.
    assertEquals(1, takeovers[1] - takeovers[0]);
    assertEquals(1, recoveries[1] - recoveries[0]);
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
  }

  /**
   * Batches and acknowledgements held by a cut arrive after the election; the leader goes on,
   * without its standby.
   */
  @Example
  void aPartitionBetweenLeaderAndStandbyDoesNotEndTheLeadership() {
    play(
        ClusterSize.GROWN,
        cluster -> cluster.outages.partitionNodeFromPeers(cluster.leader(), 6 * SECOND_MICROS));
    assertTrue(countLogs("IN_SYNC -> REMOVING") > 0);
    assertEquals(0, leadershipLosses());
  }

  @Example
  void threeFailoversInTenSecondsLoseNothing() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            cluster -> {
              for (int i = 0; i < 3; i++) {
                cluster.clock.after(
                    i * 3_300_000L, () -> cluster.outages.crash(cluster.leader(), SECOND_MICROS));
              }
            });
    assertTrue(countLogs("standby recovery -> ELECTED") >= 4);
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
  }

  /** Nobody can take over or be elected then; and nobody launches. */
  @Example
  void aStateServiceOutageDuringAFailoverLosesNothing() {
    SimulatedCluster day =
        play(
            ClusterSize.GROWN,
            cluster -> {
              cluster.outages.crash(cluster.leader(), 3 * SECOND_MICROS);
              cluster.outages.stateServiceOutage(12 * SECOND_MICROS);
            });
    assertTrue(countLogs("standby recovery -> ELECTED") >= 2);
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
  }

  /**
   * A part of a day with 4,000 machines: all have come up when the leader ends, and its successor
   * goes on. Whole days by hand: {@code WholeDayTest} with {@code -Dsim.full}.
   */
  @Example
  void aFailoverAtTheFullSizeKeepsEveryRule() {
    ClusterSize size = ClusterSize.full(5);
    SimulatedCluster day = SimulatedDay.prepare(1, size);
    day.logListener = logs::add;
    day.clock.after(
        3 * SECOND_MICROS,
        () -> day.faults.start(FaultInjector.Kind.OVERLOAD, 100 * SECOND_MICROS));
    day.clock.runUntil(41 * SECOND_MICROS);
    assertEquals(size.machines(), day.cloud.machineCount(), "all machines have come up");
    int leader = day.leader();
    int started = day.tasks.startCount();
    day.outages.crash(leader, 3 * SECOND_MICROS);
    day.clock.runUntil(53 * SECOND_MICROS);
    assertEquals(List.of(), day.rules.violations());
    assertTrue(day.leader() != leader, "another controller leads");
    assertEquals(2, countLogs("standby recovery -> ELECTED"), "terms that began by an election");
    assertTrue(
        day.cloud.releasedWhileAlive() < 20,
        "machines returned while alive: " + day.cloud.releasedWhileAlive());
    int startedSince = day.tasks.startCount() - started;
    assertTrue(startedSince > 4_000, "tasks started since the failover: " + startedSince);
  }
}
