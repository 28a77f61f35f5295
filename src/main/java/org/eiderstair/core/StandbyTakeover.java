package org.eiderstair.core;

import java.util.List;
import java.util.function.LongSupplier;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StandbyRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;

/**
 * Starts a failover on the standby in sync when its leader sends no replication batches for a
 * while. The takeover first marks the term as taken over in the standby's record by
 * compare-and-swap. After that, the leader can never launch a task again, because a launch needs an
 * acknowledgement that this node no longer gives. The takeover then revokes the leader's lease
 * instead of waiting until the lease expires.
 *
 * <p>A leader that is alive but cannot reach this node has removed it from the record by then. In
 * that case no takeover is attempted, or its compare-and-swap fails.
 */
final class StandbyTakeover {
  private static final long RETRY_DELAY_MICROS = 2_000_000;

  private final EffectSink sink;
  private final Replica replica;
  private final Leadership leadership;
  private final Standby standby;
  private final LongSupplier nowMicros;
  private boolean inFlight;
  private long nextAttemptMicros;

  StandbyTakeover(
      EffectSink sink,
      Replica replica,
      Leadership leadership,
      Standby standby,
      LongSupplier nowMicros) {
    this.sink = sink;
    this.replica = replica;
    this.leadership = leadership;
    this.standby = standby;
    this.nowMicros = nowMicros;
  }

  /** Takes over the term if this node is the standby in sync and the leader has timed out. */
  void tick() {
    long now = nowMicros.getAsLong();
    Replica.StoredStandby record = replica.standby();
    Replica.Leader leader = replica.leader();
    if (inFlight
        || now < nextAttemptMicros
        || record == null
        || leader == null
        || !leadership.isFollower()
        || !standby.leaderTimedOut(now)
        || !isStandbyOf(leader, record)) {
      return;
    }
    takeOver(leader, record);
  }

  private boolean isStandbyOf(Replica.Leader leader, Replica.StoredStandby record) {
    return standby.isInSync(record.value()) && record.value().term() == leader.term();
  }

  private void takeOver(Replica.Leader leader, Replica.StoredStandby record) {
    StandbyRecord takenOver = record.value().withTakeover();
    inFlight = true;
    standby.stopFollowing();
    sink.info(
        "taking over because the leader sends no replication batches: leader="
            + leader.node()
            + " term="
            + leader.term());
    sink.call(
        new Request.StoreTransaction(
            List.of(
                new Request.Condition(StateKeys.LEADER, leader.term()),
                new Request.Condition(StateKeys.STANDBY, record.version())),
            List.of(Request.Write.put(StateKeys.STANDBY, takenOver))),
        reply -> {
          inFlight = false;
          nextAttemptMicros = nowMicros.getAsLong() + RETRY_DELAY_MICROS;
          sink.info("takeover of term=" + leader.term() + " answered: reply=" + reply);
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(StateKeys.STANDBY, takenOver, applied.revision()));
            sink.call(new Request.LeaseRevoke(leader.lease()), ignored -> {});
          }
        });
  }
}
