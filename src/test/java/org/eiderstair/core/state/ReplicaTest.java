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

/** What makes this node's copy newer, what shows that it is current, and what does neither. */
class ReplicaTest {
  private static final long SECOND = 1_000_000;
  private final LeaderFixture bench = new LeaderFixture();
  private final Replica replica = bench.replica;
  private final Deque<Effect.Call> calls = new ArrayDeque<>();
  private long now = 100 * SECOND;

  private Effect.Call call() {
    bench.effects.stream()
        .filter(e -> e instanceof Effect.Call)
        .forEach(e -> calls.add((Effect.Call) e));
    bench.effects.clear();
    return calls.poll();
  }

  private void at(long micros) {
    now = micros;
    replica.advanceTo(now);
    replica.tick(now);
  }

  private Effect.Call watching(long revision) {
    at(now);
    bench.sink.replied(call().callId(), new Reply.Listed(List.of(), false, revision));
    Effect.Call watch = call();
    assertTrue(watch.request() instanceof Request.StoreWatch);
    return watch;
  }

  private static Reply.Item registration(String machine, long version) {
    return new Reply.Item(
        StateKeys.worker(machine), new WorkerRecord("x", "t", "a", true), version);
  }

  /**
   * A machine is registered after a read that found nothing, and the watch brings it before the
   * read's answer is here. A node that forgot it would not ask that machine after a failover, and
   * start its tasks elsewhere too.
   */
  @Example
  void whatIsMissingIsMissingAsOfARevision() {
    Effect.Call watch = watching(10);
    bench.sink.replied(
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
    assertNotNull(replica.dutyRecord(StateKeys.rental("r-1-1")));
    assertEquals(12, replica.leader().term());
    for (String key :
        List.of(StateKeys.worker("i-1"), StateKeys.rental("r-1-1"), StateKeys.LEADER)) {
      replica.applyAbsence(key, 13);
    }
    assertFalse(replica.isRegistered("i-1"));
    assertNull(replica.dutyRecord(StateKeys.rental("r-1-1")));
    assertNull(replica.leader());
    // A late list of the time before brings nothing back; a new leader is learnt again.
    replica.apply(registration("i-1", 12));
    assertFalse(replica.isRegistered("i-1"));
    replica.apply(new Reply.Item(StateKeys.LEADER, new LeaderRecord("n2", 4, "run"), 15));
    assertEquals(15, replica.leader().term());
  }

  @Example
  void onlyAnAnswerWhoseRevisionIsReachedShowsThatItIsCurrent() {
    Effect.Call watch = watching(10);
    assertEquals(100 * SECOND, replica.currentMicros());
    // A compare sent at 105 s shows a change that the watch has yet to bring.
    at(106 * SECOND);
    replica.recordAnswer(105 * SECOND, 11);
    assertEquals(100 * SECOND, replica.currentMicros());
    bench.sink.replied(watch.callId(), new Reply.Changed(List.of(registration("i-1", 11)), 11));
    assertEquals(105 * SECOND, replica.currentMicros());
    // The watch itself is as new as its sending, not its answer.
    at(107 * SECOND);
    Effect.Call next = call();
    at(110 * SECOND);
    bench.sink.replied(next.callId(), new Reply.Changed(List.of(), 11));
    assertEquals(107 * SECOND, replica.currentMicros());
    // One without an answer shows nothing.
    at(111 * SECOND);
    bench.sink.replied(call().callId(), new Reply.NoResponse("timeout"));
    at(113 * SECOND);
    assertEquals(107 * SECOND, replica.currentMicros());
  }

  @Example
  void aSilentWatchIsOpenedAnewOnceThereIsSomethingItShouldHaveTold() {
    Effect.Call silent = watching(10);
    at(103 * SECOND);
    assertNull(call(), "nothing tells of changes");
    replica.recordAnswer(now, 12);
    at(105 * SECOND);
    Effect.Call second = call();
    assertTrue(second.request() instanceof Request.StoreWatch);
    bench.sink.replied(second.callId(), new Reply.Changed(List.of(registration("i-2", 12)), 12));
    assertEquals(105 * SECOND, replica.currentMicros());
    // The one given up changes nothing when it answers at last, and opens no third.
    bench.sink.replied(silent.callId(), new Reply.Changed(List.of(), 10));
    assertEquals(105 * SECOND, replica.currentMicros());
    at(106 * SECOND);
    assertTrue(call().request() instanceof Request.StoreWatch);
    assertNull(call());
  }

  /**
   * A team's limit counts them for so long; whoever asks for less must not make them be forgotten.
   */
  @Example
  void cancelledJobsAreRememberedForAsLongAsAnybodyCountsThem() {
    watching(10);
    Job job = bench.job("red", JobSpec.Priority.NORMAL, 3, 1);
    replica.applyCancellation(new Cancellation(job.id(), job.version() + 5, 0));
    long bound = bench.settings.workerTimings().cancelMicros() + 5 * SECOND;
    assertTrue(replica.recentlyCancelled(now + bound).contains(job));
    assertFalse(replica.recentlyCancelled(now + bound + 1).contains(job));
  }

  /** Taken at once; what is older than what is known here changes nothing. */
  @Example
  void aPeersWordOfACancellationIsANewerVersion() {
    watching(10);
    Job job = bench.job("red", JobSpec.Priority.NORMAL, 3, 1);
    replica.applyCancellation(new Cancellation(job.id(), job.version(), 1));
    assertTrue(job.open());
    replica.applyCancellation(new Cancellation(job.id(), job.version() + 5, 1));
    assertEquals(Job.State.CANCELLED, job.state());
    assertFalse(replica.openJobs().contains(job));
    replica.applyCancellation(new Cancellation("job-unknown", 99, 0));
    assertNull(replica.job("job-unknown"));
  }

  private static Reply.Item read(String key, Map<String, Object> fields, long version) {
    return new Reply.Item(key, StoredValueCodec.decode(key, fields), version);
  }

  /** Its version counts, so that the same change is not looked at again; what was known stays. */
  @Example
  void aValueOfUnknownFormLeavesWhatIsKnownAndIsLogged() {
    watching(10);
    Job job = bench.job("red", JobSpec.Priority.NORMAL, 3, 1);
    replica.apply(new Reply.Item(StateKeys.LEADER, new LeaderRecord("n1", 3, "run"), 12));
    replica.apply(registration("i-1", 12));
    String progress = StateKeys.progress(job.id());
    bench.effects.clear();
    replica.apply(read(progress, Map.of("done", "x:1", "run", 2L), 20));
    replica.apply(read(progress, Map.of("run", 2L), 21));
    replica.apply(read(StateKeys.LEADER, Map.of("node", 1L), 22));
    replica.apply(read(StateKeys.worker("i-1"), Map.of("addr", 1L), 23));
    replica.apply(read(StateKeys.job(job.id()), Map.of("s", "later"), 24));
    replica.apply(read(StateKeys.CATALOG, Map.of("types", 1L), 25));
    List<String> logged =
        bench.effects.stream().map(effect -> ((Effect.Log) effect).text()).toList();
    assertEquals(6, logged.size());
    for (String line : logged) {
      assertTrue(line.startsWith("unreadable value key=e/"), line);
    }
    assertTrue(job.open());
    assertEquals(0, job.durablyCompleted());
    assertEquals(21, job.progressVersion());
    assertEquals("n1", replica.leader().node());
    assertEquals("x", replica.registeredWorker("i-1").address());
    assertEquals(25, replica.catalogVersion());
    assertTrue(replica.catalog().isEmpty());
  }
}
