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
 * The failover that the standby in sync starts by itself when its leader sends no replication
 * batches for a while. It marks the term as taken over in the standby's record by compare-and-swap,
 * so that the leader, which launches nothing that the standby does not acknowledge, can never
 * launch again; then it revokes that leader's lease instead of waiting for its expiry. A leader
 * that is alive and merely out of this node's reach has removed it from the record by now.
 */
final class StandbyTakeover {
  private static final long RETRY_MICROS = 2_000_000;

  private final EffectSink sink;
  private final Replica replica;
  private final Leadership leadership;
  private final Standby standby;
  private final LongSupplier nowMicros;
  private boolean underWay;
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

  /** Takes the term over if this node is its standby in sync and its leader has timed out. */
  void tick() {
    long now = nowMicros.getAsLong();
    Replica.StoredStandby record = replica.standby();
    Replica.Leader leader = replica.leader();
    if (underWay
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
    underWay = true;
    standby.stopFollowing();
    sink.info(
        "taking over from leader=" + leader.node() + ", which is silent, term=" + leader.term());
    sink.call(
        new Request.StoreTransaction(
            List.of(
                new Request.Condition(StateKeys.LEADER, leader.term()),
                new Request.Condition(StateKeys.STANDBY, record.version())),
            List.of(Request.Write.put(StateKeys.STANDBY, takenOver))),
        reply -> {
          underWay = false;
          nextAttemptMicros = nowMicros.getAsLong() + RETRY_MICROS;
          sink.info("takeover of term=" + leader.term() + ": " + reply);
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(StateKeys.STANDBY, takenOver, applied.revision()));
            sink.call(new Request.LeaseRevoke(leader.lease()), ignored -> {});
          }
        });
  }
}
