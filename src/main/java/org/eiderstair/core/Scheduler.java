package org.eiderstair.core;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.capacity.CapacityManager;
import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.placement.Placement;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.record.StandbyRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.RecordRead;
import org.eiderstair.core.standby.RecordWrite;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;
import org.eiderstair.core.workers.AvailableMachines;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Everything that a leader does in one term. A new term starts with a new one: nothing is carried
 * over.
 */
final class Scheduler implements StateWriter.Listener {
  private static final long PASS_GAP_MICROS = 30_000;
  private static final long BUSY_MICROS = 60_000;
  private static final long QUIET_PASS_MICROS = 1_000_000;
  private static final long SUMMARY_EVERY_MICROS = 10_000_000;
  private static final long REACH_EVERY_MICROS = 500_000;

  /** Fewer may be machines that have just come up, and went to any node. */
  private static final int HANDED_OVER = 3;

  private final Settings settings;
  private final Standby standby;
  private final Membership membership;
  private final EffectSink sink;
  private final Leadership leadership;
  private final Replica replica;
  private final StateWriter stateWriter;
  private final AvailableMachines availableMachines;
  private final WorkerManager workers;
  private final Placement placement;
  private final CapacityManager capacity;
  private final long term;
  private boolean started;
  private long electedMicros;
  private long nextReachMicros;
  private long nextSummaryMicros;
  private long lastPassMicros = Long.MIN_VALUE / 2;
  private long now;

  Scheduler(
      Settings settings,
      EffectSink sink,
      Replica replica,
      Leadership leadership,
      Membership membership,
      Standby standby,
      long term,
      IntUnaryOperator random) {
    this.settings = settings;
    this.standby = standby;
    this.membership = membership;
    this.sink = sink;
    this.leadership = leadership;
    this.replica = replica;
    this.term = term;
    this.stateWriter = new StateWriter(settings, sink, replica, term, this);
    this.availableMachines = new AvailableMachines(settings.tuning().tokenListSize());
    TeamQuotas teams = new TeamQuotas(settings);
    this.workers =
        new WorkerManager(
            settings,
            sink,
            replica,
            leadership,
            stateWriter,
            availableMachines,
            teams,
            standby,
            term);
    Demand demand = new Demand(settings, replica);
    this.placement =
        new Placement(
            settings, sink, replica, workers, availableMachines, teams, term, demand, random);
    this.capacity =
        new CapacityManager(
            settings, sink, replica, workers, leadership, stateWriter, demand, membership, term);
  }

  void close() {
    stateWriter.close();
    workers.close();
    // After the fleet: launches that the standby withholds now are told that the term is over.
    standby.endTerm();
    capacity.close();
  }

  void reported(long exchange, Heartbeat report, boolean relayed, long nowMicros) {
    if (started) {
      workers.reported(exchange, report, relayed, nowMicros);
    } else {
      sink.respond(exchange, new Answer.Failure(503, "taking over", 0));
    }
  }

  void jobChanged(Job job) {
    if (started) {
      if (!job.open()) {
        workers.jobOver(job);
      }
      workers.noteChange();
    }
  }

  void tick(long nowMicros) {
    now = nowMicros;
    electedMicros = electedMicros == 0 ? now : electedMicros;
    if (!started) {
      // What an earlier term wrote last must be in the picture, above all its roster and its newest
      // jobs.
      if (replica.revision() < term) {
        return;
      }
      started = true;
      replica.jobs.values().forEach(Job::forgetPlaces);
      recoverState();
      capacity.takeOver(now);
      membership.startTerm(now);
    }
    // Passes are due soon after every event: one that is late says that there is more to do than
    // can be done.
    workers.tick(now, now > passDueMicros() + BUSY_MICROS);
    if (now >= nextReachMicros) {
      nextReachMicros = now + REACH_EVERY_MICROS;
      if (workers.reach().outOfReach()) {
        leadership.resign("most machines have not been heard for a while");
        return;
      }
    }
    boolean unreached = workers.reach().unreached();
    membership.tick(unreached || capacity.missesMachines(), now);
    int heardByPeers = unreached ? workers.reach().heardBy(membership) : 0;
    if (heardByPeers >= HANDED_OVER) {
      // Whoever stands next hears them: sooner than by this node's patience, which is for machines
      // that are dead.
      leadership.resign(
          "no machine reaches this node while peers hear "
              + heardByPeers
              + " of them: "
              + membership.evidence());
      return;
    }
    if (now >= nextSummaryMicros) {
      nextSummaryMicros = now + SUMMARY_EVERY_MICROS;
      sink.info(
          "leading, term="
              + term
              + ": "
              + placement.summary(now)
              + "; "
              + capacity.summary()
              + "; standby "
              + standby.summary());
    }
    standby.tick(now);
    capacity.tick(now);
    if (now >= passDueMicros()) {
      pass();
    }
    stateWriter.tick(now);
  }

  /**
   * Begins with what this node holds as the standby of the last term, if all checks hold; else
   * every machine is asked.
   */
  private void recoverState() {
    Replica.StoredStandby record = replica.standby();
    workers.takeOver(
        electedMicros,
        standby
            .recover(term, replica.revision(), record == null ? null : record.value())
            .orElse(null),
        now);
    if (record != null || settings.keepsStandby()) {
      standby.startTerm(
          new StandbyHost(),
          term,
          settings.keepsStandby() ? inOtherZonesFirst() : List.of(),
          record == null ? 0 : record.version());
    }
  }

  /** A zone that is cut off should not take the leader and its standby at once. */
  private List<String> inOtherZonesFirst() {
    Map<String, String> zones = settings.nodeZones();
    String own = zones.getOrDefault(settings.node(), "");
    return settings.peers().stream()
        .sorted(Comparator.comparing((String peer) -> own.equals(zones.get(peer))))
        .toList();
  }

  /** What the standby's replication needs: this leader's state, the peer link, and the record. */
  private final class StandbyHost implements Standby.Host {
    @Override
    public boolean hasCompleteState() {
      return workers.unconfirmed().isEmpty();
    }

    @Override
    public void snapshot(Consumer<ReplicationBatch.Change> each) {
      workers.snapshot(each);
    }

    @Override
    public void send(
        String peer, ReplicationBatch batch, Consumer<Optional<ReplicationBatch.Ack>> callback) {
      sink.call(
          new Request.PeerReplicate(peer, batch),
          reply ->
              callback.accept(
                  reply instanceof Reply.ReplicationAck acked
                      ? Optional.of(acked.ack())
                      : Optional.empty()));
    }

    @Override
    public void write(long version, StandbyRecord record, Consumer<RecordWrite> callback) {
      sink.call(
          new Request.StoreTxn(
              List.of(
                  new Request.Condition(StateKeys.LEADER, term),
                  new Request.Condition(StateKeys.STANDBY, version)),
              List.of(new Request.Write(StateKeys.STANDBY, record, 0))),
          reply -> {
            if (reply instanceof Reply.Applied applied) {
              replica.apply(new Reply.Item(StateKeys.STANDBY, record, applied.revision()));
              callback.accept(new RecordWrite.Written(applied.revision()));
            } else {
              callback.accept(
                  reply instanceof Reply.Refused
                      ? new RecordWrite.NotWritten()
                      : new RecordWrite.Uncertain());
            }
          });
    }

    @Override
    public void read(Consumer<RecordRead> callback) {
      sink.call(
          new Request.StoreGet(StateKeys.STANDBY),
          reply -> {
            if (reply instanceof Reply.Found found) {
              Reply.Item item = found.item();
              callback.accept(
                  item == null
                      ? new RecordRead.Absent()
                      : new RecordRead.Found(item.version(), (StandbyRecord) item.value()));
            } else {
              callback.accept(new RecordRead.Unknown());
            }
          });
    }

    @Override
    public void termTakenOver() {
      leadership.deposed("its standby has taken over the term");
    }

    @Override
    public void info(String text) {
      sink.info(text);
    }
  }

  /**
   * When the next pass is to be made: soon after something changed, and now and then for what time
   * alone changes.
   */
  long passDueMicros() {
    return lastPassMicros
        + (workers.changed() || workers.hasPendingAnswers() ? PASS_GAP_MICROS : QUIET_PASS_MICROS);
  }

  /** Places what can be placed for all events at hand, and tells the machines. */
  private void pass() {
    boolean due = workers.changed() || now >= lastPassMicros + QUIET_PASS_MICROS;
    lastPassMicros = now;
    if (due && leadership.mayLaunch(now)) {
      workers.clearChange();
      placement.place(now);
    }
    workers.flush(now);
    standby.tick(now);
  }

  @Override
  public void jobFinished(Job job) {
    workers.noteChange();
  }

  @Override
  public void workerRegistered(String machine) {
    workers.registered(machine);
    capacity.registered(machine);
  }
}
