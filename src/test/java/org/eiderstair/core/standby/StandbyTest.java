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
 * The record, the acknowledgements and the election, in every order: whoever recovers the state of
 * the term before recovers all that was ever launched and may still be somewhere.
 */
class StandbyTest {
  private static final int LAUNCHES = 3;
  private static final int MAX_STEPS = 16;

  /**
   * Two or three nodes, a state service, and messages that wait until they are chosen; all of it
   * made anew for each path.
   */
  private static final class World {
    final List<String> broken = new ArrayList<>();
    final List<Runnable> messages = new ArrayList<>();
    final List<String> names = new ArrayList<>();

    /** Batches that were sent: late copies of them may arrive at any time. */
    final TreeMap<String, Runnable> copies = new TreeMap<>();

    int copied;
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

    /** What can happen next, each by its name. */
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
          // The lease of another has expired, by which that one has stopped; or a takeover has
          // revoked it, of which it knows nothing.
          all.put(
              "elect " + n.name,
              () -> {
                if (leader != null) {
                  node(leader).authority = false;
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
          .append(copied);
      for (Node n : nodes) {
        s.append('|')
            .append(n.term)
            .append(n.run)
            .append(n.standby.summary())
            .append(n.known)
            .append(n.held())
            .append(n.campaigning)
            .append(n.authority);
      }
      return s.toString();
    }
  }

  private static final class Node implements Standby.Host {
    final World world;
    final String name;
    int runs = 1;
    String run;
    Standby standby;
    long term;
    long now;
    boolean campaigning;

    /** Whether its own clock still allows it to launch. */
    boolean authority;

    /** What this node knows may be somewhere, while it leads. */
    final Set<String> known = new HashSet<>();

    Node(World world, String name) {
      this.world = world;
      this.name = name;
      begin();
    }

    private void begin() {
      run = name + runs;
      standby = new Standby(name, run, text -> {});
      term = 0;
      known.clear();
      campaigning = false;
    }

    void restart() {
      world.restarts++;
      runs++;
      begin();
    }

    String held() {
      return standby.namesThisNode(world.record) ? "named" : "";
    }

    void elected() {
      world.elections++;
      standby.stopFollowing();
      authority = true;
      world.leader = name;
      world.leaderTerm = ++world.revision;
      term = world.leaderTerm;
      Optional<Map<String, RecoveredMachine>> recovered =
          standby.recover(term, world.revision, world.record);
      known.clear();
      if (recovered.isPresent()) {
        recovered.get().values().forEach(machine -> known.addAll(machine.attempts().keySet()));
        if (!known.containsAll(world.launched)) {
          world.broken.add(name + " recovered " + known + " of " + world.launched);
        }
      } else {
        // Every machine is asked, and fenced.
        known.addAll(world.launched);
      }
      standby.startTerm(
          this,
          term,
          List.of(name.equals("a") ? "b" : "a"),
          world.record == null ? 0 : world.recordVersion);
      tick(10_000_000);
    }

    void takeOver() {
      if (world.record != null
          && standby.namesThisNode(world.record)
          && world.record.term() == world.leaderTerm) {
        standby.stopFollowing();
        world.record = world.record.withTakeover();
        world.recordVersion = ++world.revision;
        // Its lease is revoked soon; whoever is elected next, the old leader's clock still allows
        // it everything.
        long takenOver = world.leaderTerm;
        world.send(
            "end lease " + takenOver,
            () -> {
              if (world.leaderTerm == takenOver) {
                world.leader = null;
              }
            });
      }
    }

    void launch(String task) {
      long ofTerm = term;
      String ofRun = run;
      known.add(task);
      standby.replicate(new ReplicationBatch.Change(true, "m", 1, task, 0, ofTerm));
      standby.launch(
          () -> {
            if (run.equals(ofRun) && authority) {
              world.launched.add(task);
              Node latest = world.leader == null ? null : world.node(world.leader);
              if (latest != null && latest != this && !latest.known.contains(task)) {
                world.broken.add(
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
      known.forEach(t -> each.accept(new ReplicationBatch.Change(true, "m", 1, t, 0, 1)));
    }

    @Override
    public void send(
        String peer, ReplicationBatch batch, Consumer<Optional<ReplicationBatch.Ack>> callback) {
      String ofRun = run;
      if (!batch.changes().isEmpty() && world.copied < 2) {
        world.copied++;
        world.copies.put(
            name + batch.term() + "." + batch.snapshot() + "." + batch.firstSequence(),
            () -> {
              Node to = world.node(peer);
              to.standby.receive(batch, to.term == 0, 0);
            });
      }
      world.send(
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
            Node to = world.node(peer);
            ReplicationBatch.Ack ack = to.standby.receive(batch, to.term == 0, 0);
            world.send(
                "ack "
                    + name
                    + batch.term()
                    + "."
                    + batch.snapshot()
                    + "."
                    + batch.firstSequence()
                    + ack.accepted(),
                () -> {
                  if (run.equals(ofRun)) {
                    callback.accept(Optional.of(ack));
                    tick(1);
                  }
                });
          });
    }

    @Override
    public void write(long version, StandbyRecord value, Consumer<RecordWrite> callback) {
      String ofRun = run;
      long ofTerm = term;
      world.send(
          "write " + name + ofTerm + (value == null ? "drop" : "put") + version,
          () -> {
            boolean holds =
                name.equals(world.leader)
                    && world.leaderTerm == ofTerm
                    && (world.record == null ? 0 : world.recordVersion) == version;
            if (holds) {
              world.record = value;
              world.recordVersion = ++world.revision;
            }
            RecordWrite result =
                holds ? new RecordWrite.Written(world.recordVersion) : new RecordWrite.Uncertain();
            world.send(
                "written " + name + ofTerm,
                () -> {
                  if (run.equals(ofRun)) {
                    callback.accept(result);
                    tick(200_000);
                  }
                });
          });
    }

    @Override
    public void read(Consumer<RecordRead> callback) {
      String ofRun = run;
      long ofTerm = term;
      world.send(
          "read " + name + ofTerm,
          () -> {
            RecordRead result =
                world.record == null
                    ? new RecordRead.Absent()
                    : new RecordRead.Found(world.recordVersion, world.record);
            world.send(
                "found " + name + ofTerm,
                () -> {
                  if (run.equals(ofRun)) {
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

  private static World replay(List<String> path) {
    World world = new World();
    for (String choice : path) {
      world.choices().get(choice).run();
    }
    return world;
  }

  /**
   * All orders, with loss and late copies, of two nodes, three launches, three elections and a
   * restart; from the start, and from being in sync.
   */
  @Example
  void everyOrderOfASmallCase() {
    List<String> inSync = new ArrayList<>(List.of("elect a"));
    while (replay(inSync).record == null
        || !replay(inSync).nodes[0].standby.summary().endsWith("in sync")) {
      World world = replay(inSync);
      inSync.add(
          world.choices().keySet().stream()
              .filter(c -> c.startsWith("deliver"))
              .findFirst()
              .orElse("slow at a"));
    }
    assertTrue(explore(List.of(), true) > 100, "in sync");
    assertTrue(explore(inSync, true) > 100, "in sync");
    // A takeover, and a leader that knows nothing of it: it cannot remove the standby from the
    // record, and must see why.
    inSync.add("begin takeover by b");
    explore(inSync, false);
  }

  /** How many of the states were in sync. */
  private static int explore(List<String> start, boolean withCopies) {
    ArrayDeque<List<String>> open = new ArrayDeque<>();
    Set<String> seen = new HashSet<>();
    open.add(start);
    int inSync = 0;
    while (!open.isEmpty() && seen.size() < MAX_STATES) {
      List<String> path = open.poll();
      World world = replay(path);
      assertEquals(List.of(), world.broken, () -> String.join("\n", path));
      inSync += world.nodes[0].standby.summary().endsWith("in sync") ? 1 : 0;
      if (!withCopies) {
        world.copies.clear();
        world.copied = 0;
      }
      if (path.size() == start.size() + MAX_STEPS || !seen.add(world.state())) {
        continue;
      }
      for (String choice : world.choices().keySet()) {
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

  private static ReplicationBatch.Change there(String job) {
    return new ReplicationBatch.Change(true, "m", 1, job, 0, 5);
  }

  @Example
  void aGapIsNotFollowedAndARepeatChangesNothing() {
    assertTrue(replica.receive(batch(3, 1, 1, true, there("a"), there("b"))));
    assertEquals(StandbyReplica.State.RECEIVING_SNAPSHOT, replica.state());
    assertTrue(replica.receive(batch(3, 1, 3, false, there("c"))));
    assertEquals(StandbyReplica.State.FOLLOWING, replica.state());
    assertTrue(replica.receive(batch(3, 1, 1, true, there("a"), there("b"))), "late copy");
    assertEquals(3, replica.recoveredMachines().get("m").attempts().size());
    assertEquals(StandbyReplica.State.FOLLOWING, replica.state());
    assertFalse(replica.receive(batch(3, 1, 5, false, there("e"))));
    assertEquals(StandbyReplica.State.EMPTY, replica.state());
    assertFalse(replica.receive(batch(3, 1, 1, false, there("a"))), "an earlier snapshot");
    assertTrue(replica.receive(batch(3, 2, 1, false)));
    assertEquals(StandbyReplica.State.FOLLOWING, replica.state());
    assertFalse(replica.receive(batch(2, 9, 1, false)), "an earlier term");
  }

  @Example
  void aNodeThatAsksToLeadAcknowledgesNothingOfOlderTerms() {
    assertTrue(replica.receive(batch(3, 1, 1, false, there("a"))));
    replica.freeze();
    assertFalse(replica.receive(batch(3, 1, 2, false, there("b"))));
    assertEquals(1, replica.recoveredMachines().get("m").attempts().size());
    assertTrue(replica.receive(batch(4, 1, 1, false)), "another was elected");
  }

  /** 1,600 machines with 100,000 tasks in pages, mixed with changes. */
  @Example
  void aLargeSnapshotInBatchesWithChangesBetween() {
    Standby standby = new Standby("b", "b1", text -> {});
    Map<String, Map<String, Long>> truth = new HashMap<>();
    List<ReplicationBatch> batches = new ArrayList<>();
    List<Consumer<Optional<ReplicationBatch.Ack>>> acks = new ArrayList<>();
    Standby leader = new Standby("a", "a1", text -> {});
    for (int i = 0; i < 100_000; i++) {
      truth.computeIfAbsent("m" + i % 1600, m -> new HashMap<>()).put("job-" + i, (long) i);
    }
    leader.startTerm(
        new InstantHost() {

          @Override
          public void snapshot(Consumer<ReplicationBatch.Change> each) {
            truth.forEach(
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
      truth.get(machine).put("new-" + i, 9L);
      leader.replicate(new ReplicationBatch.Change(true, machine, 1, "new-" + i, 0, 9));
      Long gone = truth.get(machine).remove("job-" + i % 1600);
      if (gone != null) {
        leader.replicate(
            new ReplicationBatch.Change(false, machine, 1, "job-" + i % 1600, 0, gone));
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
    truth.forEach(
        (machine, jobs) ->
            assertEquals(jobs.keySet(), recovered.get(machine).attempts().keySet(), machine));
    assertEquals(Optional.empty(), standby.recover(10, 10, record), "once");
  }

  /**
   * Seen on the bench: with nothing to tell, the record was written before any answer, and named no
   * run.
   */
  @Example
  void nobodyIsNamedBeforeItHasAnswered() {
    World world = new World();
    world.nodes[0].elected();
    for (int i = 0; i < 5; i++) {
      world.nodes[0].tick(10_000);
    }
    assertEquals(1, world.messages.size(), "a batch, no record: " + world.names);
    for (int i = 0; world.record == null; i++) {
      assertTrue(i < 20, world.nodes[0].standby.summary());
      if (!world.messages.isEmpty()) {
        world.names.remove(0);
        world.messages.remove(0).run();
      }
      world.nodes[0].tick(10_000);
    }
    assertEquals("b1", world.record.runId());
  }

  @Example
  void eachCheckRefuses() {
    List<String> said = new ArrayList<>();
    Standby standby = new Standby("b", "b1", said::add);
    StandbyRecord record = new StandbyRecord(3, "b", "b1");
    assertEquals(Optional.empty(), standby.recover(5, 5, record), "no state");
    standby.receive(batch(3, 1, 1, true, there("a")), true, 1);
    standby.stopFollowing();
    assertEquals(Optional.empty(), standby.recover(5, 5, record), "not complete");
    standby.receive(batch(3, 2, 1, false, there("a")), true, 1);
    assertEquals(Optional.empty(), standby.recover(5, 4, record), "keys are old");
    assertEquals(Optional.empty(), standby.recover(5, 5, null), "removed");
    assertEquals(
        Optional.empty(), standby.recover(5, 5, new StandbyRecord(3, "b", "b0")), "an earlier run");
    assertFalse(standby.namesThisNode(new StandbyRecord(3, "b", "b0")), "an earlier run");
    assertTrue(standby.namesThisNode(record));
    assertEquals(
        Optional.empty(), standby.recover(5, 5, new StandbyRecord(3, "c", "b1")), "another");
    assertEquals(
        Optional.empty(), standby.recover(5, 5, new StandbyRecord(2, "b", "b1")), "another term");
    assertEquals(Set.of("m"), standby.recover(5, 5, record).orElseThrow().keySet());
    assertTrue(said.get(said.size() - 1).contains("standby recovery -> COMPLETE"));
  }
}
