package org.eiderstair.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.record.LeaderRecord;
import org.eiderstair.core.record.RentalIntentRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValueCodec;
import org.eiderstair.core.record.WorkerRecord;

/** Tests which values the replica applies, and which answers show that the replica is fresh. */
class ReplicaTest {
  private static final long SECOND = 1_000_000;
  private final LeaderFixture leader = new LeaderFixture();
  private final Replica replica = leader.replica;
  private final Deque<Effect.Call> calls = new ArrayDeque<>();
  private long now = 100 * SECOND;

  private Effect.Call call() {
    leader.effects.stream()
        .filter(e -> e instanceof Effect.Call)
        .forEach(e -> calls.add((Effect.Call) e));
    leader.effects.clear();
    return calls.poll();
  }

  private void at(long micros) {
    now = micros;
    replica.advanceTo(now);
    replica.tick(now);
  }

  private Effect.Call openWatch(long revision) {
    at(now);
    leader.sink.replied(call().callId(), new Reply.Listed(List.of(), false, revision));
    Effect.Call watch = call();
    assertTrue(watch.request() instanceof Request.StoreWatch);
    return watch;
  }

  private static Reply.Item registration(String machine, long version) {
    return new Reply.Item(
        StateKeys.worker(machine), new WorkerRecord("x", "t", "a", true), version);
  }

  /**
   * Guards against duplicate tasks after a failover. A machine is registered after a read that
   * found no registration, and the watch delivers the registration before the answer to the read
   * arrives. A node that dropped the registration would not query that machine after a failover,
   * and would start its tasks on other machines too.
   */
  @Example
  void anAbsentKeyIsRemovedOnlyUpToTheRevisionOfTheRead() {
    Effect.Call watch = openWatch(10);
    leader.sink.replied(
        watch.callId(),
        new Reply.Changed(
            List.of(
                registration("i-1", 12),
                new Reply.Item(
                    StateKeys.rental("r-1-1"),
                    new RentalIntentRecord("t", "a", true, 1, 1, 1, null),
                    12),
                new Reply.Item(StateKeys.LEADER, new LeaderRecord("n1", 3, "run"), 12)),
            12));
    for (String key :
        List.of(StateKeys.worker("i-1"), StateKeys.rental("r-1-1"), StateKeys.LEADER)) {
      replica.applyAbsence(key, 11);
    }
    assertTrue(replica.isRegistered("i-1"));
    assertNotNull(replica.coordinationRecord(StateKeys.rental("r-1-1")));
    assertEquals(12, replica.leader().term());
    for (String key :
        List.of(StateKeys.worker("i-1"), StateKeys.rental("r-1-1"), StateKeys.LEADER)) {
      replica.applyAbsence(key, 13);
    }
    assertFalse(replica.isRegistered("i-1"));
    assertNull(replica.coordinationRecord(StateKeys.rental("r-1-1")));
    assertNull(replica.leader());
    // A late list with older versions restores nothing; a new leader is applied.
    replica.apply(registration("i-1", 12));
    assertFalse(replica.isRegistered("i-1"));
    replica.apply(new Reply.Item(StateKeys.LEADER, new LeaderRecord("n2", 4, "run"), 15));
    assertEquals(15, replica.leader().term());
  }

  @Example
  void onlyAnAnswerWhoseRevisionIsReachedShowsThatTheReplicaIsFresh() {
    Effect.Call watch = openWatch(10);
    assertEquals(100 * SECOND, replica.freshAsOfMicros());
    // The answer to a transaction sent at 105 s shows a change that the watch has not delivered
    // yet.
    at(106 * SECOND);
    replica.recordAnswer(105 * SECOND, 11);
    assertEquals(100 * SECOND, replica.freshAsOfMicros());
    leader.sink.replied(watch.callId(), new Reply.Changed(List.of(registration("i-1", 11)), 11));
    assertEquals(105 * SECOND, replica.freshAsOfMicros());
    // The answer to a watch shows freshness as of the send time of the watch.
    at(107 * SECOND);
    Effect.Call next = call();
    at(110 * SECOND);
    leader.sink.replied(next.callId(), new Reply.Changed(List.of(), 11));
    assertEquals(107 * SECOND, replica.freshAsOfMicros());
    // A request without an answer shows nothing.
    at(111 * SECOND);
    leader.sink.replied(call().callId(), new Reply.NoResponse("timeout"));
    at(113 * SECOND);
    assertEquals(107 * SECOND, replica.freshAsOfMicros());
  }

  @Example
  void aWatchWithoutAnAnswerIsReplacedOnceAnotherAnswerShowsANewerRevision() {
    Effect.Call silent = openWatch(10);
    at(103 * SECOND);
    assertNull(call(), "no answer shows a newer revision");
    replica.recordAnswer(now, 12);
    at(105 * SECOND);
    Effect.Call second = call();
    assertTrue(second.request() instanceof Request.StoreWatch);
    leader.sink.replied(second.callId(), new Reply.Changed(List.of(registration("i-2", 12)), 12));
    assertEquals(105 * SECOND, replica.freshAsOfMicros());
    // A late answer to the abandoned watch changes nothing and opens no third watch.
    leader.sink.replied(silent.callId(), new Reply.Changed(List.of(), 10));
    assertEquals(105 * SECOND, replica.freshAsOfMicros());
    at(106 * SECOND);
    assertTrue(call().request() instanceof Request.StoreWatch);
    assertNull(call());
  }

  /**
   * A team's limit counts cancelled jobs until the bound. Guards against a caller with a shorter
   * bound that makes the replica drop the jobs earlier.
   */
  @Example
  void cancelledJobsAreKeptAsLongAsAnyCallerCountsThem() {
    openWatch(10);
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 3, 1);
    replica.applyCancellation(new Cancellation(job.id(), job.version() + 5, 0));
    long bound = leader.settings.workerTimings().cancelMicros() + 5 * SECOND;
    assertTrue(replica.recentlyCancelled(now + bound).contains(job));
    assertFalse(replica.recentlyCancelled(now + bound + 1).contains(job));
  }

  /** A cancellation that is not newer than the known job, or of an unknown job, changes nothing. */
  @Example
  void aCancellationFromAPeerAppliesIfItIsNewer() {
    openWatch(10);
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 3, 1);
    replica.applyCancellation(new Cancellation(job.id(), job.version(), 1));
    assertTrue(job.isOpen());
    replica.applyCancellation(new Cancellation(job.id(), job.version() + 5, 1));
    assertEquals(Job.State.CANCELLED, job.state());
    assertFalse(replica.openJobs().contains(job));
    replica.applyCancellation(new Cancellation("job-unknown", 99, 0));
    assertNull(replica.job("job-unknown"));
  }

  private static Reply.Item decoded(String key, Map<String, Object> fields, long version) {
    return new Reply.Item(key, StoredValueCodec.decode(key, fields), version);
  }

  /** The version of the value is recorded, so that the replica does not decode the change again. */
  @Example
  void anUnreadableValueIsLoggedAndKeepsTheKnownValue() {
    openWatch(10);
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 3, 1);
    replica.apply(new Reply.Item(StateKeys.LEADER, new LeaderRecord("n1", 3, "run"), 12));
    replica.apply(registration("i-1", 12));
    String progress = StateKeys.progress(job.id());
    leader.effects.clear();
    replica.apply(decoded(progress, Map.of("done", "x:1", "run", 2L), 20));
    replica.apply(decoded(progress, Map.of("run", 2L), 21));
    replica.apply(decoded(StateKeys.LEADER, Map.of("node", 1L), 22));
    replica.apply(decoded(StateKeys.worker("i-1"), Map.of("addr", 1L), 23));
    replica.apply(decoded(StateKeys.job(job.id()), Map.of("s", "later"), 24));
    replica.apply(decoded(StateKeys.CATALOG, Map.of("types", 1L), 25));
    List<String> logged =
        leader.effects.stream().map(effect -> ((Effect.Log) effect).text()).toList();
    assertEquals(6, logged.size());
    for (String line : logged) {
      assertTrue(line.startsWith("unreadable value key=e/"), line);
    }
    assertTrue(job.isOpen());
    assertEquals(0, job.durablyCompletedCount());
    assertEquals(21, job.progressVersion());
    assertEquals("n1", replica.leader().node());
    assertEquals("x", replica.registeredWorker("i-1").address());
    assertEquals(25, replica.catalogVersion());
    assertTrue(replica.catalog().isEmpty());
  }
}
