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
  private final LeaderFixture bench = new LeaderFixture();
  private final Membership membership = LeaderFixture.membershipWithoutPeers();
  private StateWriter stateWriter;
  private CapacityManager capacity;

  private void startTerm() {
    bench.lead();
    bench.replica.apply(
        new Reply.Item(StateKeys.CATALOG, new CatalogRecord(List.of(LeaderFixture.TYPE)), 50));
    stateWriter =
        new StateWriter(bench.settings, bench.sink, bench.replica, LeaderFixture.TERM, null);
    capacity =
        new CapacityManager(
            bench.settings,
            bench.sink,
            bench.replica,
            bench.workers,
            bench.leadership,
            stateWriter,
            new Demand(bench.settings, bench.replica),
            membership,
            LeaderFixture.TERM);
    capacity.takeOver(bench.now);
    membership.startTerm(bench.now);
    membership.tick(false, bench.now);
  }

  private void reply(Class<? extends Request> kind, Reply reply) {
    for (Effect effect : List.copyOf(bench.effects)) {
      if (effect instanceof Effect.Call call && kind.isInstance(call.request())) {
        bench.effects.remove(effect);
        bench.sink.replied(call.callId(), reply);
        return;
      }
    }
    throw new AssertionError("no " + kind.getSimpleName() + " in " + bench.effects);
  }

  private long releasesOfSilentMachines() {
    return bench.effects.stream()
        .filter(e -> e instanceof Effect.Log log && log.text().contains(": unreachable: "))
        .count();
  }

  /**
   * Guards against an overloaded leader releasing healthy machines. 4,000 machines have sent no
   * heartbeat for a minute. A leader that has no free sockets or a full queue must keep them.
   */
  @Example
  void anOverloadedLeaderReleasesNoMachineForMissingHeartbeats() {
    bench.machines(4_000);
    bench.now += 60_000_000;
    startTerm();
    bench.overload.recordOverload(new Event.Overloaded(505, 0), bench.now);
    bench.workers.tick(bench.now, false);
    capacity.tick(bench.now += 1_000_000);
    assertEquals(0, releasesOfSilentMachines());
  }

  /** Without overload, a leader must treat machines without heartbeats as dead. */
  @Example
  void aLeaderThatIsNotOverloadedReleasesSilentMachines() {
    bench.machines(4_000);
    bench.now += 60_000_000;
    startTerm();
    bench.workers.tick(bench.now, false);
    capacity.tick(bench.now += 1_000_000);
    assertTrue(releasesOfSilentMachines() > 0);
  }

  /**
   * Guards against an accumulation of placeholder machines. Each rental option may be refused every
   * 15 s, with up to 50 placeholders per refusal, so a refusal must remove its placeholders.
   */
  @Example
  void aRefusedRentalNoLongerCountsAsBootingMachines() {
    startTerm();
    Job job = bench.job("blue", JobSpec.Priority.NORMAL, 10, 1);
    capacity.tick(bench.now += 1_000_000);
    bench.replica.apply(
        new Reply.Item(StateKeys.job(job.id()), JobRecord.done(job.tasks()), ++bench.lastVersion));
    assertTrue(bench.replica.openJobs().isEmpty());
    capacity.tick(bench.now += 1_000_000);
    assertEquals(1, capacity.pendingRentalCount());
    stateWriter.tick(bench.now);
    reply(Request.StoreTransaction.class, new Reply.Applied(60));
    capacity.tick(bench.now);
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
    bench.replica.apply(
        new Reply.Item(key, new RentalIntentRecord("gone", "a", true, 5, 0, 0, null), 40));
    startTerm();
    bench.job("blue", JobSpec.Priority.NORMAL, 10, 1);
    capacity.tick(bench.now += 1_000_000);
    assertEquals(
        1,
        bench.effects.stream()
            .filter(e -> e instanceof Effect.Call c && c.request() instanceof Request.CloudRent)
            .count(),
        "the old rental is requested under its id");
    assertTrue(
        capacity.summary().startsWith("rentals=2 "),
        "a new rental is decided: " + capacity.summary());
  }
}
