package org.eiderstair.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.core.standby.InstantHost;
import org.eiderstair.core.standby.ReplicationBatch;
import org.eiderstair.core.standby.Standby;

/** A leader's core with nothing round it: machines are made up, and commands stay unanswered. */
final class LeaderBench {
  static final MachineType TYPE =
      new MachineType("t", 8, 0, 32, 10, 1, 1, 0.3, 30_000_000, List.of("a", "b", "c"));
  static final long TERM = 1;

  final Settings settings;
  final List<Effect> effects = new ArrayList<>();
  final EffectSink sink = new EffectSink(effects::add);
  final Replica replica;
  final Teams teams;
  final TokenList tokens;
  final Leadership leadership;
  final WorkerManager workers;
  final Standby standby = new Standby("n0", "run", text -> {});
  final Placement placement;
  final UniformRandomProvider random = new XoRoShiRo128PlusPlus(5, 7);
  long now = 1_000_000;
  long versions;
  long exchange;
  final Map<String, Long> sequences = new LinkedHashMap<>();

  LeaderBench() {
    this(TERM);
  }

  LeaderBench(long term) {
    versions = term;
    settings =
        new Settings(
            "n0",
            List.of(),
            List.of("a", "b", "c"),
            Map.of(
                "red",
                new Settings.Team("red", 40, 4000, 0, 0),
                "blue",
                new Settings.Team("blue", 40, 0, 0, 0)),
            List.of(),
            3_000_000,
            20_000_000,
            40_000_000,
            100,
            50,
            16,
            5,
            Settings.Tuning.defaults());
    replica =
        new Replica(
            settings,
            sink,
            new Replica.Listener() {
              @Override
              public void leaderChanged() {}

              @Override
              public void jobChanged(Job job, boolean isNew) {}

              @Override
              public void loaded() {}
            },
            0);
    teams = new Teams(settings);
    tokens = new TokenList(settings.tuning().tokenListSize());
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
              public void stands() {}

              @Override
              public boolean anotherInSync() {
                return false;
              }

              @Override
              public void tookOffice(long term) {}

              @Override
              public void leftOffice(String why) {}
            });
    workers =
        new WorkerManager(
            settings, sink, replica, leadership, stateWriter, tokens, teams, standby, term);
    Demand demand = new Demand(settings, replica);
    placement =
        new Placement(
            settings, sink, replica, workers, tokens, teams, term, demand, random::nextInt);
  }

  /** The leadership believes that it leads. */
  void lead() {
    load();
    leadership.tick(now);
    reply(new Reply.LeaseGranted(1));
    reply(new Reply.Applied(++versions));
    // The watch has brought the election, so the picture is current.
    replica.proves(now, versions);
    Effect.Call watch =
        (Effect.Call)
            effects.stream()
                .filter(
                    e -> e instanceof Effect.Call c && c.request() instanceof Request.StoreWatch)
                .findFirst()
                .orElseThrow();
    sink.replied(watch.call(), new Reply.Changed(List.of(), versions));
    leadership.tick(now);
    effects.clear();
  }

  private void reply(Reply reply) {
    sink.replied(
        ((Effect.Call)
                effects.stream().filter(e -> e instanceof Effect.Call).reduce((a, b) -> b).get())
            .call(),
        reply);
  }

  /**
   * What the standby has acknowledged and the state service has written, once somebody lets this
   * leader know.
   */
  final List<Runnable> acknowledgements = new ArrayList<>();

  final List<Runnable> records = new ArrayList<>();
  boolean defersAcknowledgements;
  boolean defersRecords;

  /** A standby in sync that answers at once, unless its acknowledgements are deferred. */
  void keepStandby() {
    Standby other = new Standby("n1", "run1", text -> {});
    standby.leads(
        new InstantHost() {

          @Override
          public void snapshot(Consumer<ReplicationBatch.Change> each) {
            workers.snapshot(each);
          }

          @Override
          public void send(
              String peer, ReplicationBatch batch, Consumer<ReplicationBatch.Ack> then) {
            ReplicationBatch.Ack ack = other.take(batch, true, now);
            if (defersAcknowledgements) {
              acknowledgements.add(() -> then.accept(ack));
            } else {
              then.accept(ack);
            }
          }

          @Override
          public void write(long version, Map<String, Object> record, LongConsumer then) {
            if (defersRecords) {
              records.add(() -> then.accept(version + 1));
            } else {
              then.accept(version + 1);
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
   * The record of an earlier term names a standby: it must name nobody before anything is launched.
   */
  void standbyOfTheTermBefore() {
    standby.leads(
        new InstantHost() {
          @Override
          public void snapshot(Consumer<ReplicationBatch.Change> each) {}

          @Override
          public void send(
              String peer, ReplicationBatch batch, Consumer<ReplicationBatch.Ack> then) {}

          @Override
          public void write(long version, Map<String, Object> record, LongConsumer then) {
            records.add(() -> then.accept(version + 1));
          }
        },
        TERM,
        List.of(),
        5);
  }

  /** The lease was renewed and the picture shown to be current just now. */
  void renew() {
    leadership.bounds().renewed(now);
    replica.proves(now, replica.revision());
  }

  /** The replica has read the state service's keys, of which there are none. */
  void load() {
    replica.tick(now);
    Effect.Call list = (Effect.Call) effects.get(effects.size() - 1);
    sink.replied(list.call(), new Reply.Listed(List.of(), false, versions));
  }

  void machines(int count) {
    for (int i = 0; i < count; i++) {
      Machine m = new Machine("m-" + i, TERM, Machine.Phase.HEARD, now);
      m.type = TYPE;
      m.typeName = "t";
      m.address = "x";
      m.zone = TYPE.zones().get(i % 3);
      m.rostered = true;
      m.session = 1;
      workers.add(m);
      m.measureRoom();
      tokens.offer(m);
    }
  }

  Job job(String team, JobSpec.Priority priority, int tasks, double cpus) {
    JobSpec spec =
        new JobSpec(
            "job-" + versions,
            "c",
            team,
            JobSpec.Shape.ARRAY,
            priority,
            tasks,
            cpus,
            0,
            1,
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            20_000_000,
            0,
            0,
            JobSpec.NO_DEADLINE);
    replica.apply(new Reply.Item(Records.jobKey(spec.id()), Records.openJob(spec), ++versions));
    Job job = replica.jobs.get(spec.id());
    job.shownRunning = 1;
    return job;
  }

  /** A machine's next account of itself, with the token of this term. */
  MachineReport account(Machine m, List<MachineReport.Entry> entries) {
    long sequence = sequences.merge(m.id, 1L, Long::sum);
    return new MachineReport(
        m.id,
        "x",
        "t",
        m.zone,
        m.spot,
        m.session,
        sequence,
        m.token(),
        MachineReport.NO_NOTICE,
        entries);
  }

  /**
   * The machine tells what is on it as if all orders had reached it; {@code ended} of its tasks are
   * over.
   */
  void report(Machine m, int ended) {
    List<MachineReport.Entry> entries = new ArrayList<>();
    int over = ended;
    for (Attempt a : m.attempts.values()) {
      if (a.phase == Attempt.Phase.SENT || a.phase == Attempt.Phase.SEEN) {
        boolean ends = over-- > 0;
        entries.add(
            new MachineReport.Entry(
                a.task(),
                a.number,
                ends ? MachineReport.TaskState.ENDED : MachineReport.TaskState.RUNNING,
                ends ? MachineReport.Exit.DONE : MachineReport.Exit.NONE,
                false));
      }
    }
    MachineReport account = account(m, entries);
    now += 1_000;
    workers.reported(++exchange, account, false, now);
  }

  /** Stands for the commands and answers that bring what was planned to the machines. */
  void deliver() {
    for (Machine m : workers.machines().values()) {
      for (Attempt a : m.toLaunch) {
        a.phase = Attempt.Phase.SENT;
      }
      m.toLaunch.clear();
    }
  }
}
