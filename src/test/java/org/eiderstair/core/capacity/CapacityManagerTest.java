package org.eiderstair.core.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.record.CatalogRecord;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.RentalIntentRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.state.StateWriter;

/** Tests the releases of silent machines and the rentals of the current and earlier terms. */
class CapacityManagerTest {
  private final LeaderFixture leader = new LeaderFixture();
  private final Membership membership = LeaderFixture.membershipWithoutPeers();
  private StateWriter stateWriter;
  private CapacityManager capacity;

  private void startTerm() {
    leader.lead();
    leader.replica.apply(
        new Reply.Item(StateKeys.CATALOG, new CatalogRecord(List.of(LeaderFixture.TYPE)), 50));
    stateWriter =
        new StateWriter(leader.settings, leader.sink, leader.replica, LeaderFixture.TERM, null);
    capacity =
        new CapacityManager(
            leader.settings,
            leader.sink,
            leader.replica,
            leader.workers,
            leader.leadership,
            stateWriter,
            new Demand(leader.settings, leader.replica),
            membership,
            LeaderFixture.TERM);
    capacity.takeOver(leader.now);
    membership.startTerm(leader.now);
    membership.tick(false, leader.now);
  }

  private void reply(Class<? extends Request> kind, Reply reply) {
    for (Effect effect : List.copyOf(leader.effects)) {
      if (effect instanceof Effect.Call call && kind.isInstance(call.request())) {
        leader.effects.remove(effect);
        leader.sink.replied(call.callId(), reply);
        return;
      }
    }
    throw new AssertionError("no " + kind.getSimpleName() + " in " + leader.effects);
  }

  private long releasesOfSilentMachines() {
    return leader.effects.stream()
        .filter(e -> e instanceof Effect.Log log && log.text().contains(": unreachable: "))
        .count();
  }

  /**
   * Guards against an overloaded leader releasing healthy machines. 4,000 machines have sent no
   * heartbeat for a minute. A leader that has no free sockets or a full queue must keep them.
   */
  @Example
  void anOverloadedLeaderReleasesNoMachineForMissingHeartbeats() {
    leader.machines(4_000);
    leader.now += 60_000_000;
    startTerm();
    leader.overload.recordOverload(new Event.Overloaded(505, 0), leader.now);
    leader.workers.tick(leader.now, false);
    capacity.tick(leader.now += 1_000_000);
    assertEquals(0, releasesOfSilentMachines());
  }

  /** Without overload, a leader must treat machines without heartbeats as dead. */
  @Example
  void aLeaderThatIsNotOverloadedReleasesSilentMachines() {
    leader.machines(4_000);
    leader.now += 60_000_000;
    startTerm();
    leader.workers.tick(leader.now, false);
    capacity.tick(leader.now += 1_000_000);
    assertTrue(releasesOfSilentMachines() > 0);
  }

  /**
   * Guards against an accumulation of placeholder machines. Each rental option may be refused every
   * 15 s, with up to 50 placeholders per refusal, so a refusal must remove its placeholders.
   */
  @Example
  void aRefusedRentalNoLongerCountsAsBootingMachines() {
    startTerm();
    Job job = leader.job("blue", JobSpec.Priority.NORMAL, 10, 1);
    capacity.tick(leader.now += 1_000_000);
    leader.replica.apply(
        new Reply.Item(StateKeys.job(job.id()), JobRecord.done(job.tasks()), ++leader.lastVersion));
    assertTrue(leader.replica.openJobs().isEmpty());
    capacity.tick(leader.now += 1_000_000);
    assertEquals(1, capacity.pendingRentalCount());
    stateWriter.tick(leader.now);
    reply(Request.StoreTransaction.class, new Reply.Applied(60));
    capacity.tick(leader.now);
    reply(Request.CloudRent.class, new Reply.Refused(503));
    assertEquals(0, capacity.pendingRentalCount());
  }

  /**
   * A rental record names a type that the catalog no longer contains. An exception would stop every
   * successive leader, so the leader must continue the old rental and decide new ones.
   */
  @Example
  void aRentalOfATypeMissingFromTheCatalogDoesNotStopTheLeader() {
    String key = StateKeys.rental("r-0-1");
    leader.replica.apply(
        new Reply.Item(key, new RentalIntentRecord("gone", "a", true, 5, 0, 0, null), 40));
    startTerm();
    leader.job("blue", JobSpec.Priority.NORMAL, 10, 1);
    capacity.tick(leader.now += 1_000_000);
    assertEquals(
        1,
        leader.effects.stream()
            .filter(e -> e instanceof Effect.Call c && c.request() instanceof Request.CloudRent)
            .count(),
        "the old rental is requested under its id");
    assertTrue(
        capacity.summary().startsWith("rentals=2 "),
        "a new rental is decided: " + capacity.summary());
  }
}
