package org.eiderstair.core.leadership;

import java.util.List;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.LeaderRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * The requests of an election: a lease, then the leader key on that lease by compare-and-swap. The
 * key's revision is the term, which serves as the fencing token. Who campaigns when, and what an
 * outcome means for the node, is for {@link Leadership} to say.
 */
final class LeaderElection {

  /** Takes the outcome of each request. */
  interface Candidate {
    /** A lease was granted to a request sent at that time, and the leader key is still absent. */
    void leaseGranted(long lease, long sentMicros);

    /** This node's key was created with the term as its revision; its lease is held. */
    void elected(long term, long sentMicros);

    /** The campaign failed: no lease, or another node's key, or no usable answer. */
    void notElected(String why);

    /** The lease of an earlier run of this node could not be revoked. */
    void revocationFailed();
  }

  private static final long NO_LEASE = 0;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final String runId;
  private final Candidate candidate;
  private long revokedLease = NO_LEASE;

  LeaderElection(
      Settings settings, EffectSink sink, Replica replica, String runId, Candidate candidate) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.runId = runId;
    this.candidate = candidate;
  }

  /** Asks for the lease that the leader key is to be created on. */
  void requestLease(long nowMicros) {
    sink.call(
        new Request.LeaseGrant(settings.tuning().leaderTtlMicros()),
        reply -> {
          if (reply instanceof Reply.LeaseGranted granted && replica.leader() == null) {
            candidate.leaseGranted(granted.leaseId(), nowMicros);
          } else {
            candidate.notElected("no lease: " + reply);
          }
        });
  }

  /** Creates the leader key if it does not exist. */
  void createLeaderKey(long lease, long nowMicros) {
    var value = new LeaderRecord(settings.node(), lease, runId);
    sink.call(
        new Request.StoreTransaction(
            List.of(Request.Condition.absent(StateKeys.LEADER)),
            List.of(new Request.Write(StateKeys.LEADER, value, lease))),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            long term = applied.revision();
            replica.recordAnswer(nowMicros, term);
            replica.apply(new Reply.Item(StateKeys.LEADER, value, term));
            if (replica.leader() != null && replica.leader().term() == term) {
              candidate.elected(term, nowMicros);
              return;
            }
          }
          // With no answer the key may yet appear: revoking the lease deletes it and makes a late
          // write fail.
          revoke(lease);
          candidate.notElected("not elected: " + reply);
        });
  }

  /** Revokes a lease of this node, and with it the leader key. */
  void revoke(long lease) {
    sink.call(new Request.LeaseRevoke(lease), ignored -> {});
  }

  /**
   * Revokes the lease of a leader key that names this node: the run that created it has certainly
   * ended, so its lease need not expire by itself.
   */
  void revokeLeaseOfEarlierRun(Replica.Leader leader) {
    if (!leader.node().equals(settings.node()) || leader.lease() == revokedLease) {
      return;
    }
    revokedLease = leader.lease();
    sink.info("revoking the lease of an earlier run of this node, term=" + leader.term());
    sink.call(
        new Request.LeaseRevoke(leader.lease()),
        reply -> {
          if (!(reply instanceof Reply.Applied)) {
            revokedLease = NO_LEASE;
            candidate.revocationFailed();
          }
        });
  }
}
