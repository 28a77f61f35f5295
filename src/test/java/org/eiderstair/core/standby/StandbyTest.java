package org.eiderstair.core.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.record.StandbyRecord;

/**
 * Tests the replication to the standby. A search over the orders of record writes, acknowledgements
 * and elections guards against lost launches: a node that recovers the state of the last term must
 * recover every launch that may still be on a machine.
 */
class StandbyTest {
  private static final int LAUNCHES = 3;
  private static final int MAX_STEPS = 16;

  /**
   * Two nodes, a state service, and messages that are delivered only when the search chooses them.
   * Each path of the search starts with a new model.
   */
  private static final class ClusterModel {
    final List<String> violations = new ArrayList<>();
    final List<Runnable> messages = new ArrayList<>();
    final List<String> names = new ArrayList<>();

    /** Late copies of batches that were sent, which may arrive at any time. */
    final TreeMap<String, Runnable> copies = new TreeMap<>();

    int copiesMade;
    long revision;
    String leader;
    long leaderTerm;
    StandbyRecord record;
    long recordVersion;
    final Set<String> launched = new HashSet<>();
    final Node[] nodes = {new Node(this, "a"), new Node(this, "b")};
    int launches;
    int elections;
    int restarts;

    void send(String name, Runnable deliver) {
      names.add(name);
      messages.add(deliver);
    }

    Node node(String name) {
      return nodes["ab".indexOf(name)];
    }

    /** Returns the possible next steps by name. */
    SortedMap<String, Runnable> choices() {
      SortedMap<String, Runnable> all = new TreeMap<>();
      for (int i = 0; i < messages.size(); i++) {
        int index = i;
        String name = names.get(i);
        all.putIfAbsent(
            "deliver " + name,
            () -> {
              names.remove(index);
              messages.remove(index).run();
            });
        if (name.startsWith("batch")) {
          all.putIfAbsent(
              "lose " + name,
              () -> {
                names.remove(index);
                messages.remove(index);
              });
        }
      }
      if (!copies.isEmpty()) {
        all.put("copy of " + copies.firstKey(), () -> copies.pollFirstEntry().getValue().run());
      }
      for (Node n : nodes) {
        if (n.term > 0 && launches < LAUNCHES) {
          all.put("launch by " + n.name, () -> n.launch("t" + ++launches));
        }
        if (n.term > 0) {
          all.put("slow at " + n.name, () -> n.tick(500_000));
        }
        if (n.term == 0 && elections < 3) {
          // Either the current leader's lease has expired and that leader has stopped by itself, or
          // a
          // takeover has revoked the lease without that leader's knowledge.
          all.put(
              "elect " + n.name,
              () -> {
                if (leader != null) {
                  node(leader).mayLaunch = false;
                }
                n.elected();
              });
        }
        if (n.term == 0 && leader != null && elections < 3) {
          all.put("begin takeover by " + n.name, n::takeOver);
        }
        if (restarts < 1) {
          all.put("restart " + n.name, n::restart);
        }
      }
      return all;
    }

    String state() {
      StringBuilder s = new StringBuilder();
      s.append(leader)
          .append(leaderTerm)
          .append(record)
          .append(new TreeMap<>(Map.of("l", launched)))
          .append(launches)
          .append(elections)
          .append(restarts)
          .append(new java.util.TreeSet<>(names))
          .append(copies.keySet())
          .append(copiesMade);
      for (Node n : nodes) {
        s.append('|')
            .append(n.term)
            .append(n.run)
            .append(n.standby.summary())
            .append(n.knownTasks)
            .append(n.inSyncState())
            .append(n.campaigning)
            .append(n.mayLaunch);
      }
      return s.toString();
    }
  }

  private static final class Node implements Standby.Host {
    final ClusterModel cluster;
    final String name;
    int runs = 1;
    String run;
    Standby standby;
    long term;
    long now;
    boolean campaigning;

    /** Whether the node may launch according to its own clock. */
    boolean mayLaunch;

    /** The tasks that may be on a machine, as this node knows while it leads. */
    final Set<String> knownTasks = new HashSet<>();

    Node(ClusterModel cluster, String name) {
      this.cluster = cluster;
      this.name = name;
      startRun();
    }

    private void startRun() {
      run = name + runs;
      standby = new Standby(name, run, text -> {});
      term = 0;
      knownTasks.clear();
      campaigning = false;
    }

    void restart() {
      cluster.restarts++;
      runs++;
      startRun();
    }

    String inSyncState() {
      return standby.isInSync(cluster.record) ? "named" : "";
    }

    void elected() {
      cluster.elections++;
      standby.stopFollowing();
      mayLaunch = true;
      cluster.leader = name;
      cluster.leaderTerm = ++cluster.revision;
      term = cluster.leaderTerm;
      Optional<Map<String, RecoveredMachine>> recovered =
          standby.recover(term, cluster.revision, cluster.record);
      knownTasks.clear();
      if (recovered.isPresent()) {
        recovered.get().values().forEach(machine -> knownTasks.addAll(machine.attempts().keySet()));
        if (!knownTasks.containsAll(cluster.launched)) {
          cluster.violations.add(name + " recovered " + knownTasks + " of " + cluster.launched);
        }
      } else {
        // The state of every machine is queried, and the machines are fenced.
        knownTasks.addAll(cluster.launched);
      }
      standby.startTerm(
          this,
          term,
          List.of(name.equals("a") ? "b" : "a"),
          cluster.record == null ? 0 : cluster.recordVersion);
      tick(10_000_000);
    }

    void takeOver() {
      if (cluster.record != null
          && standby.isInSync(cluster.record)
          && cluster.record.term() == cluster.leaderTerm) {
        standby.stopFollowing();
        cluster.record = cluster.record.withTakeover();
        cluster.recordVersion = ++cluster.revision;
        // The old leader's lease is revoked soon, but its own clock still allows it to launch, even
        // after the next election.
        long takenOver = cluster.leaderTerm;
        cluster.send(
            "end lease " + takenOver,
            () -> {
              if (cluster.leaderTerm == takenOver) {
                cluster.leader = null;
              }
            });
      }
    }

    void launch(String task) {
      long termAtSend = term;
      String runAtSend = run;
      knownTasks.add(task);
      standby.replicate(new ReplicationBatch.Change(true, "m", 1, task, 0, termAtSend));
      standby.launch(
          () -> {
            if (run.equals(runAtSend) && mayLaunch) {
              cluster.launched.add(task);
              Node latest = cluster.leader == null ? null : cluster.node(cluster.leader);
              if (latest != null && latest != this && !latest.knownTasks.contains(task)) {
                cluster.violations.add(
                    name
                        + " launched "
                        + task
                        + " that the leader "
                        + latest.name
                        + " does not know");
              }
            }
          },
          () -> {});
      tick(0);
    }

    void tick(long micros) {
      now += micros;
      standby.tick(now);
    }

    @Override
    public boolean hasCompleteState() {
      return true;
    }

    @Override
    public void snapshot(Consumer<ReplicationBatch.Change> each) {
      knownTasks.forEach(t -> each.accept(new ReplicationBatch.Change(true, "m", 1, t, 0, 1)));
    }

    @Override
    public void send(
        String peer, ReplicationBatch batch, Consumer<Optional<ReplicationBatch.Ack>> callback) {
      String runAtSend = run;
      if (!batch.changes().isEmpty() && cluster.copiesMade < 2) {
        cluster.copiesMade++;
        cluster.copies.put(
            name + batch.term() + "." + batch.snapshot() + "." + batch.firstSequence(),
            () -> {
              Node to = cluster.node(peer);
              to.standby.receive(batch, to.term == 0, 0);
            });
      }
      cluster.send(
          "batch "
              + name
              + batch.term()
              + "."
              + batch.snapshot()
              + "."
              + batch.firstSequence()
              + "+"
              + batch.changes().size(),
          () -> {
            Node to = cluster.node(peer);
            ReplicationBatch.Ack ack = to.standby.receive(batch, to.term == 0, 0);
            cluster.send(
                "ack "
                    + name
                    + batch.term()
                    + "."
                    + batch.snapshot()
                    + "."
                    + batch.firstSequence()
                    + ack.accepted(),
                () -> {
                  if (run.equals(runAtSend)) {
                    callback.accept(Optional.of(ack));
                    tick(1);
                  }
                });
          });
    }

    @Override
    public void write(long version, StandbyRecord value, Consumer<RecordWrite> callback) {
      String runAtSend = run;
      long termAtSend = term;
      cluster.send(
          "write " + name + termAtSend + (value == null ? "drop" : "put") + version,
          () -> {
            boolean holds =
                name.equals(cluster.leader)
                    && cluster.leaderTerm == termAtSend
                    && (cluster.record == null ? 0 : cluster.recordVersion) == version;
            if (holds) {
              cluster.record = value;
              cluster.recordVersion = ++cluster.revision;
            }
            RecordWrite result =
                holds
                    ? new RecordWrite.Written(cluster.recordVersion)
                    : new RecordWrite.Uncertain();
            cluster.send(
                "written " + name + termAtSend,
                () -> {
                  if (run.equals(runAtSend)) {
                    callback.accept(result);
                    tick(200_000);
                  }
                });
          });
    }

    @Override
    public void read(Consumer<RecordRead> callback) {
      String runAtSend = run;
      long termAtSend = term;
      cluster.send(
          "read " + name + termAtSend,
          () -> {
            RecordRead result =
                cluster.record == null
                    ? new RecordRead.Absent()
                    : new RecordRead.Found(cluster.recordVersion, cluster.record);
            cluster.send(
                "found " + name + termAtSend,
                () -> {
                  if (run.equals(runAtSend)) {
                    callback.accept(result);
                    tick(200_000);
                  }
                });
          });
    }

    @Override
    public void termTakenOver() {
      standby.endTerm();
      term = 0;
    }

    @Override
    public void info(String text) {}
  }

  private static ClusterModel replay(List<String> path) {
    ClusterModel cluster = new ClusterModel();
    for (String choice : path) {
      cluster.choices().get(choice).run();
    }
    return cluster;
  }

  /**
   * Searches the orders of events, with lost batches and late copies, of two nodes with three
   * launches, three elections and one restart. The search starts from an empty cluster, from a
   * standby in sync, and from a takeover.
   */
  @Example
  void everyLaunchIsRecoveredInAllOrdersOfASmallCase() {
    List<String> inSync = new ArrayList<>(List.of("elect a"));
    while (replay(inSync).record == null
        || !replay(inSync).nodes[0].standby.summary().endsWith("in sync")) {
      ClusterModel cluster = replay(inSync);
      inSync.add(
          cluster.choices().keySet().stream()
              .filter(c -> c.startsWith("deliver"))
              .findFirst()
              .orElse("slow at a"));
    }
    assertTrue(explore(List.of(), true) > 100, "in sync");
    assertTrue(explore(inSync, true) > 100, "in sync");
    // The leader does not know of the takeover. It cannot remove the standby from the record, and
    // must detect the reason.
    inSync.add("begin takeover by b");
    explore(inSync, false);
  }

  /**
   * Explores the orders after a path, and returns in how many states node a had a standby in sync.
   */
  private static int explore(List<String> start, boolean withCopies) {
    ArrayDeque<List<String>> open = new ArrayDeque<>();
    Set<String> seen = new HashSet<>();
    open.add(start);
    int inSync = 0;
    while (!open.isEmpty() && seen.size() < MAX_STATES) {
      List<String> path = open.poll();
      ClusterModel cluster = replay(path);
      assertEquals(List.of(), cluster.violations, () -> String.join("\n", path));
      inSync += cluster.nodes[0].standby.summary().endsWith("in sync") ? 1 : 0;
      if (!withCopies) {
        cluster.copies.clear();
        cluster.copiesMade = 0;
      }
      if (path.size() == start.size() + MAX_STEPS || !seen.add(cluster.state())) {
        continue;
      }
      for (String choice : cluster.choices().keySet()) {
        if (!withCopies && choice.startsWith("copy")) {
          continue;
        }
        List<String> next = new ArrayList<>(path);
        next.add(choice);
        open.add(next);
      }
    }
    return inSync;
  }

  private static final int MAX_STATES = Integer.getInteger("standby.states", 40_000);

  private final StandbyReplica replica = new StandbyReplica();

  private static ReplicationBatch batch(
      long term,
      long snapshot,
      long first,
      boolean incomplete,
      ReplicationBatch.Change... changes) {
    return new ReplicationBatch(term, snapshot, first, incomplete, List.of(changes));
  }

  private static ReplicationBatch.Change presentChange(String job) {
    return new ReplicationBatch.Change(true, "m", 1, job, 0, 5);
  }

  @Example
  void batchAfterGapIsRejectedAndDuplicateChangesNothing() {
    assertTrue(replica.receive(batch(3, 1, 1, true, presentChange("a"), presentChange("b"))));
    assertEquals(StandbyReplica.State.RECEIVING_SNAPSHOT, replica.state());
    assertTrue(replica.receive(batch(3, 1, 3, false, presentChange("c"))));
    assertEquals(StandbyReplica.State.FOLLOWING, replica.state());
    assertTrue(
        replica.receive(batch(3, 1, 1, true, presentChange("a"), presentChange("b"))), "late copy");
    assertEquals(3, replica.recoveredMachines().get("m").attempts().size());
    assertEquals(StandbyReplica.State.FOLLOWING, replica.state());
    assertFalse(replica.receive(batch(3, 1, 5, false, presentChange("e"))));
    assertEquals(StandbyReplica.State.EMPTY, replica.state());
    assertFalse(replica.receive(batch(3, 1, 1, false, presentChange("a"))), "an earlier snapshot");
    assertTrue(replica.receive(batch(3, 2, 1, false)));
    assertEquals(StandbyReplica.State.FOLLOWING, replica.state());
    assertFalse(replica.receive(batch(2, 9, 1, false)), "an earlier term");
  }

  @Example
  void frozenReplicaRejectsItsSnapshotAndAcceptsNewerTerm() {
    assertTrue(replica.receive(batch(3, 1, 1, false, presentChange("a"))));
    replica.freeze();
    assertFalse(replica.receive(batch(3, 1, 2, false, presentChange("b"))));
    assertEquals(1, replica.recoveredMachines().get("m").attempts().size());
    assertTrue(replica.receive(batch(4, 1, 1, false)), "a newer term");
  }

  /** The snapshot has 100,000 tasks on 1,600 machines, and changes are made while it is sent. */
  @Example
  void largeSnapshotWithConcurrentChangesIsRecoveredInFull() {
    Standby standby = new Standby("b", "b1", text -> {});
    Map<String, Map<String, Long>> expectedAttempts = new HashMap<>();
    List<ReplicationBatch> batches = new ArrayList<>();
    List<Consumer<Optional<ReplicationBatch.Ack>>> acks = new ArrayList<>();
    Standby leader = new Standby("a", "a1", text -> {});
    for (int i = 0; i < 100_000; i++) {
      expectedAttempts
          .computeIfAbsent("m" + i % 1600, m -> new HashMap<>())
          .put("job-" + i, (long) i);
    }
    leader.startTerm(
        new InstantHost() {

          @Override
          public void snapshot(Consumer<ReplicationBatch.Change> each) {
            expectedAttempts.forEach(
                (m, jobs) ->
                    jobs.forEach(
                        (j, a) -> each.accept(new ReplicationBatch.Change(true, m, 1, j, 0, a))));
          }

          @Override
          public void send(
              String peer,
              ReplicationBatch batch,
              Consumer<Optional<ReplicationBatch.Ack>> callback) {
            batches.add(batch);
            acks.add(callback);
          }
        },
        3,
        List.of("b"),
        0);
    long now = 10_000_000;
    leader.tick(now);
    for (int i = 0; !leader.summary().endsWith("in sync"); i++) {
      assertTrue(i < 1000, leader.summary());
      assertTrue(batches.get(0).changes().size() <= 400);
      ReplicationBatch.Ack ack = standby.receive(batches.remove(0), true, now);
      String machine = "m" + i % 1600;
      expectedAttempts.get(machine).put("new-" + i, 9L);
      leader.replicate(new ReplicationBatch.Change(true, machine, 1, "new-" + i, 0, 9));
      Long endedAttempt = expectedAttempts.get(machine).remove("job-" + i % 1600);
      if (endedAttempt != null) {
        leader.replicate(
            new ReplicationBatch.Change(false, machine, 1, "job-" + i % 1600, 0, endedAttempt));
      }
      acks.remove(0).accept(Optional.of(ack));
      leader.tick(++now);
    }
    while (!batches.isEmpty()) {
      ReplicationBatch.Ack ack = standby.receive(batches.remove(0), true, now);
      acks.remove(0).accept(Optional.of(ack));
      leader.tick(++now);
    }
    standby.stopFollowing();
    StandbyRecord record = new StandbyRecord(3, "b", "b1");
    Map<String, RecoveredMachine> recovered = standby.recover(9, 9, record).orElseThrow();
    expectedAttempts.forEach(
        (machine, jobs) ->
            assertEquals(jobs.keySet(), recovered.get(machine).attempts().keySet(), machine));
    assertEquals(Optional.empty(), standby.recover(10, 10, record), "succeeds only once");
  }

  /**
   * Guards against a record without a run ID: with an empty snapshot, the leader once wrote the
   * record before the peer had answered.
   */
  @Example
  void recordIsNotWrittenBeforePeerHasAnswered() {
    ClusterModel cluster = new ClusterModel();
    cluster.nodes[0].elected();
    for (int i = 0; i < 5; i++) {
      cluster.nodes[0].tick(10_000);
    }
    assertEquals(1, cluster.messages.size(), "a batch and no record write: " + cluster.names);
    for (int i = 0; cluster.record == null; i++) {
      assertTrue(i < 20, cluster.nodes[0].standby.summary());
      if (!cluster.messages.isEmpty()) {
        cluster.names.remove(0);
        cluster.messages.remove(0).run();
      }
      cluster.nodes[0].tick(10_000);
    }
    assertEquals("b1", cluster.record.runId());
  }

  @Example
  void recoveryIsRefusedWhenACheckFails() {
    List<String> logLines = new ArrayList<>();
    Standby standby = new Standby("b", "b1", logLines::add);
    StandbyRecord record = new StandbyRecord(3, "b", "b1");
    assertEquals(Optional.empty(), standby.recover(5, 5, record), "no replicated state");
    standby.receive(batch(3, 1, 1, true, presentChange("a")), true, 1);
    standby.stopFollowing();
    assertEquals(Optional.empty(), standby.recover(5, 5, record), "incomplete snapshot");
    standby.receive(batch(3, 2, 1, false, presentChange("a")), true, 1);
    assertEquals(
        Optional.empty(), standby.recover(5, 4, record), "replica is older than the election");
    assertEquals(Optional.empty(), standby.recover(5, 5, null), "no record");
    assertEquals(
        Optional.empty(), standby.recover(5, 5, new StandbyRecord(3, "b", "b0")), "an earlier run");
    assertFalse(standby.isInSync(new StandbyRecord(3, "b", "b0")), "an earlier run");
    assertTrue(standby.isInSync(record));
    assertEquals(
        Optional.empty(), standby.recover(5, 5, new StandbyRecord(3, "c", "b1")), "another node");
    assertEquals(
        Optional.empty(), standby.recover(5, 5, new StandbyRecord(2, "b", "b1")), "another term");
    assertEquals(Set.of("m"), standby.recover(5, 5, record).orElseThrow().keySet());
    assertTrue(logLines.get(logLines.size() - 1).contains("standby recovery -> COMPLETE"));
  }
}
