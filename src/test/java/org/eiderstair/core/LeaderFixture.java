package org.eiderstair.core;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpecBuilder;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.placement.Placement;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StandbyRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.settings.SettingsBuilder;
import org.eiderstair.core.standby.InstantHost;
import org.eiderstair.core.standby.RecordWrite;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.IgnoringReplicaListener;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;
import org.eiderstair.core.workers.AvailableMachines;
import org.eiderstair.core.workers.OverloadMonitor;
import org.eiderstair.core.workers.WorkerManager;

/**
 * A test fixture with the components of a leader and no environment. Tests add machines and deliver
 * replies; commands to machines stay unanswered.
 */
public final class LeaderFixture {
  public static final MachineType TYPE =
      new MachineType("t", 8, 0, 32, 10, 1, 1, 0.3, 30_000_000, List.of("a", "b", "c"));
  public static final long TERM = 1;

  public final Settings settings;
  public final List<Effect> effects = new ArrayList<>();
  public final EffectSink sink = new EffectSink(effects::add);
  public final Replica replica;
  public final TeamQuotas quotas;
  final AvailableMachines availableMachines;
  public final Leadership leadership;
  public final WorkerManager workers;
  public final Standby standby = new Standby("n0", "run", text -> {});
  public final Placement placement;
  final UniformRandomProvider random = new XoRoShiRo128PlusPlus(5, 7);
  public long now = 1_000_000;

  /** The latest version (and revision) that this fixture has assigned to a stored value. */
  public long lastVersion;

  private long exchange;
  private final Map<String, Long> sequences = new LinkedHashMap<>();

  public LeaderFixture() {
    this(TERM);
  }

  public final OverloadMonitor overload;

  public LeaderFixture(long term) {
    lastVersion = term;
    settings =
        SettingsBuilder.settings()
            .zones("a", "b", "c")
            .team("red", 40, 4000)
            .team("blue", 40, 0)
            .build();
    replica = new Replica(settings, sink, new IgnoringReplicaListener(), 0);
    quotas = new TeamQuotas(settings);
    availableMachines = new AvailableMachines(settings.tuning().tokenListSize());
    StateWriter stateWriter = new StateWriter(settings, sink, replica, term, null);
    leadership =
        new Leadership(
            settings,
            sink,
            replica,
            "run",
            random::nextInt,
            new Leadership.Listener() {
              @Override
              public void campaignStarted() {}

              @Override
              public boolean anotherNodeInSync() {
                return false;
              }

              @Override
              public void leadershipGained(long term) {}

              @Override
              public void leadershipLost(String reason) {}
            });
    overload = new OverloadMonitor(settings, sink);
    workers =
        new WorkerManager(
            settings,
            sink,
            replica,
            leadership,
            stateWriter,
            availableMachines,
            quotas,
            standby,
            overload,
            term);
    Demand demand = new Demand(settings, replica);
    placement =
        new Placement(
            settings,
            sink,
            replica,
            workers,
            availableMachines,
            quotas,
            term,
            demand,
            random::nextInt);
  }

  /** Wins an election and makes the replica current, so that the leader may launch tasks. */
  public void lead() {
    load();
    leadership.tick(now);
    replyToLatestCall(new Reply.LeaseGranted(1));
    replyToLatestCall(new Reply.Applied(++lastVersion));
    // The watch reports the election, so the replica is current.
    replica.recordAnswer(now, lastVersion);
    Effect.Call watch =
        (Effect.Call)
            effects.stream()
                .filter(
                    e -> e instanceof Effect.Call c && c.request() instanceof Request.StoreWatch)
                .findFirst()
                .orElseThrow();
    sink.replied(watch.callId(), new Reply.Changed(List.of(), lastVersion));
    leadership.tick(now);
    effects.clear();
  }

  private void replyToLatestCall(Reply reply) {
    sink.replied(
        ((Effect.Call)
                effects.stream()
                    .filter(e -> e instanceof Effect.Call)
                    .reduce((earlier, later) -> later)
                    .get())
            .callId(),
        reply);
  }

  /** The acknowledgements of the standby that are not delivered yet. */
  private final List<Runnable> acknowledgements = new ArrayList<>();

  /** The completions of writes to the standby's record that are not delivered yet. */
  private final List<Runnable> recordWrites = new ArrayList<>();

  private boolean acknowledgementsDeferred;
  private boolean recordWritesDeferred;

  /** Holds back the standby's acknowledgements until {@link #deliverAcknowledgements}. */
  public void deferAcknowledgements() {
    acknowledgementsDeferred = true;
  }

  /** Holds back writes of the standby's record until {@link #completeRecordWrites}. */
  public void deferRecordWrites() {
    recordWritesDeferred = true;
  }

  /** Delivers the acknowledgements that were held back. */
  public void deliverAcknowledgements() {
    acknowledgements.forEach(Runnable::run);
  }

  /** Completes the writes of the standby's record that were held back; all succeed. */
  public void completeRecordWrites() {
    recordWrites.forEach(Runnable::run);
  }

  /** Returns the sequence number of a machine's next heartbeat. */
  public long nextSequence(Machine machine) {
    return sequences.merge(machine.id(), 1L, Long::sum);
  }

  /** Sets the sequence number of the machine's latest heartbeat. */
  public void continueSequenceFrom(String machine, long sequence) {
    sequences.put(machine, sequence);
  }

  /** Returns a new exchange number for a request. */
  public long nextExchange() {
    return ++exchange;
  }

  /**
   * Starts a standby and waits until it is in sync. Its acknowledgements arrive immediately, unless
   * they are deferred.
   */
  public void startStandby() {
    Standby follower = new Standby("n1", "run1", text -> {});
    standby.startTerm(
        new InstantHost() {

          @Override
          public void snapshot(Consumer<ReplicationBatch.Change> each) {
            workers.snapshot(each);
          }

          @Override
          public void send(
              String peer,
              ReplicationBatch batch,
              Consumer<Optional<ReplicationBatch.Ack>> callback) {
            ReplicationBatch.Ack ack = follower.receive(batch, true, now);
            if (acknowledgementsDeferred) {
              acknowledgements.add(() -> callback.accept(Optional.of(ack)));
            } else {
              callback.accept(Optional.of(ack));
            }
          }

          @Override
          public void write(long version, StandbyRecord record, Consumer<RecordWrite> callback) {
            if (recordWritesDeferred) {
              recordWrites.add(() -> callback.accept(new RecordWrite.Written(version + 1)));
            } else {
              callback.accept(new RecordWrite.Written(version + 1));
            }
          }
        },
        TERM,
        List.of("n1"),
        0);
    for (int i = 0; i < 100 && !standby.summary().endsWith("in sync"); i++) {
      standby.tick(now += 5_000_000);
    }
  }

  /**
   * Starts the term with a record that still names the standby of the previous term. The leader
   * must remove it from the record before it launches anything.
   */
  public void startWithStandbyOfPreviousTerm() {
    standby.startTerm(
        new InstantHost() {
          @Override
          public void snapshot(Consumer<ReplicationBatch.Change> each) {}

          @Override
          public void send(
              String peer,
              ReplicationBatch batch,
              Consumer<Optional<ReplicationBatch.Ack>> callback) {}

          @Override
          public void write(long version, StandbyRecord record, Consumer<RecordWrite> callback) {
            recordWrites.add(() -> callback.accept(new RecordWrite.Written(version + 1)));
          }
        },
        TERM,
        List.of(),
        5);
  }

  /** Renews the lease and shows the replica to be current, both as of now. */
  public void renew() {
    leadership.bounds().renewed(now);
    replica.recordAnswer(now, replica.revision());
  }

  /** Loads the replica from a state service without any keys. */
  void load() {
    replica.tick(now);
    Effect.Call list = (Effect.Call) effects.get(effects.size() - 1);
    sink.replied(list.callId(), new Reply.Listed(List.of(), false, lastVersion));
  }

  /** Creates a membership without peers. */
  public static Membership membershipWithoutPeers() {
    return new Membership(
        "n0",
        List.of(),
        Map.of(),
        "run",
        3_000_000,
        (peer, runId, afterSequence, callback) -> {},
        text -> {});
  }

  /** Adds confirmed machines of the default type without any tasks, named m-0, m-1 and so on. */
  public void machines(int count) {
    for (int i = 0; i < count; i++) {
      Machine machine = new Machine("m-" + i, TERM, Machine.Phase.CONFIRMED, now);
      machine.describe(machine.id(), "t", TYPE.zones().get(i % 3), false);
      machine.assignType(TYPE);
      machine.markRegistered();
      machine.recoverIncarnation(1);
      workers.add(machine);
      machine.recomputeFreeResources();
      availableMachines.offer(machine);
    }
  }

  /** Creates an open job without progress. */
  public Job job(String team, JobSpec.Priority priority, int tasks, double cpus) {
    JobSpec spec =
        JobSpecBuilder.job("job-" + lastVersion)
            .team(team)
            .priority(priority)
            .tasks(tasks)
            .cpus(cpus)
            .build();
    replica.apply(new Reply.Item(StateKeys.job(spec.id()), JobRecord.open(spec, 0), ++lastVersion));
    Job job = replica.job(spec.id());
    job.setDurableProgress(new BitSet(), 1);
    return job;
  }

  /** Returns a machine's next heartbeat with its current fencing token. */
  public Heartbeat heartbeat(Machine machine, List<Heartbeat.Entry> entries) {
    long sequence = nextSequence(machine);
    return new Heartbeat(
        machine.id(),
        "x",
        "t",
        machine.zone(),
        machine.isSpot(),
        machine.incarnation(),
        sequence,
        machine.fencingToken(),
        Heartbeat.NO_NOTICE,
        entries);
  }

  /**
   * Sends a heartbeat of the machine as if all orders had reached it. The first {@code ended} of
   * its tasks have ended, and the others are running.
   */
  public void report(Machine machine, int ended) {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    int remainingEnded = ended;
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase() == Attempt.Phase.SENT || attempt.phase() == Attempt.Phase.REPORTED) {
        boolean ends = remainingEnded-- > 0;
        entries.add(
            new Heartbeat.Entry(
                attempt.task(),
                attempt.number(),
                ends ? Heartbeat.TaskState.ENDED : Heartbeat.TaskState.RUNNING,
                ends ? Heartbeat.Exit.DONE : Heartbeat.Exit.NONE,
                false));
      }
    }
    Heartbeat heartbeat = heartbeat(machine, entries);
    now += 1_000;
    workers.receive(nextExchange(), heartbeat, false, now);
  }

  /** Delivers all planned launches to the machines, as commands and answers would. */
  void deliverPlannedLaunches() {
    for (Machine machine : workers.machines().values()) {
      // The check avoids an iterator for each machine, which would add to AllocationTest's figures.
      if (!machine.plannedLaunches().isEmpty()) {
        machine.takeLaunches(true).forEach(attempt -> attempt.markSent(Attempt.SENT_BY_COMMAND));
      }
    }
  }
}
