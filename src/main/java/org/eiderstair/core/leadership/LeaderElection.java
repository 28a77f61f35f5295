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
 * Sends the requests of an election: one for a lease, then one that creates the leader key on that
 * lease by compare-and-swap. The key's revision is the term, which serves as the fencing token.
 * {@link Leadership} decides when to campaign and handles the outcome.
 */
final class LeaderElection {

  /** Receives the outcome of each request. */
  interface Listener {
    /**
     * Called when a lease was granted and the leader key is still absent.
     *
     * @param sentMicros when the request for the lease was sent
     */
    void leaseGranted(long lease, long sentMicros);

    /**
     * Called when the leader key was created for this node; the node holds the key's lease.
     *
     * @param term the revision of the new key
     * @param sentMicros when the request for the key was sent
     */
    void elected(long term, long sentMicros);

    /**
     * Called when the campaign failed: no lease was granted, another node created the leader key,
     * or there was no usable answer.
     */
    void notElected(String reason);

    /** Called when the lease of an earlier run of this node could not be revoked. */
    void revocationFailed();
  }

  private static final long NO_LEASE = 0;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final String runId;
  private final Listener listener;
  private long revokedLease = NO_LEASE;

  LeaderElection(
      Settings settings, EffectSink sink, Replica replica, String runId, Listener listener) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.runId = runId;
    this.listener = listener;
  }

  /** Requests the lease for the leader key. */
  void requestLease(long nowMicros) {
    sink.call(
        new Request.LeaseGrant(settings.tuning().leaderTtlMicros()),
        reply -> {
          if (reply instanceof Reply.LeaseGranted granted && replica.leader() == null) {
            listener.leaseGranted(granted.leaseId(), nowMicros);
          } else {
            listener.notElected("no lease granted, or a leader key exists: " + reply);
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
              listener.elected(term, nowMicros);
              return;
            }
          }
          // Without an answer, the key may still be created later. Revoking the lease deletes the
          // key and makes a late write fail.
          revoke(lease);
          listener.notElected("not elected: " + reply);
        });
  }

  /** Revokes a lease of this node. The state service then deletes the leader key on that lease. */
  void revoke(long lease) {
    sink.call(new Request.LeaseRevoke(lease), ignored -> {});
  }

  /**
   * Revokes the lease of the leader key if the key names this node. The run that created the key
   * has certainly ended, so there is no need to wait until the lease expires. Each lease is revoked
   * once; a failed revocation may be repeated.
   */
  void revokeLeaseOfEarlierRun(Replica.Leader leader) {
    if (!leader.node().equals(settings.node()) || leader.lease() == revokedLease) {
      return;
    }
    revokedLease = leader.lease();
    sink.info("revoking the lease of an earlier run of this node: term=" + leader.term());
    sink.call(
        new Request.LeaseRevoke(leader.lease()),
        reply -> {
          if (!(reply instanceof Reply.Applied)) {
            revokedLease = NO_LEASE;
            listener.revocationFailed();
          }
        });
  }
}
