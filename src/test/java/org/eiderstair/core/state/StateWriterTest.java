package org.eiderstair.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.record.LeaderRecord;
import org.eiderstair.core.record.ReleaseRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;

/** Tests the order of a leader's writes, repeated writes, and transactions without an answer. */
class StateWriterTest {
  private final LeaderFixture leader = new LeaderFixture();
  private final List<String> finished = new ArrayList<>();
  private final StateWriter stateWriter =
      new StateWriter(
          leader.settings,
          leader.sink,
          leader.replica,
          LeaderFixture.TERM,
          new StateWriter.Listener() {
            @Override
            public void jobFinished(Job job) {
              finished.add(job.id());
            }

            @Override
            public void workerRegistered(String machine) {}
          });
  private long now = 1_000_000;

  private static StoredValue release(long term) {
    return new ReleaseRecord(term, List.of("i-1"));
  }

  /** Lets the next transaction succeed and returns its writes. */
  private List<Request.Write> applyNextTransaction() {
    leader.effects.clear();
    now += 1_000_000;
    stateWriter.tick(now);
    Effect.Call call = (Effect.Call) leader.effects.get(0);
    Request.StoreTransaction txn = (Request.StoreTransaction) call.request();
    assertEquals(
        new Request.Condition(StateKeys.LEADER, LeaderFixture.TERM), txn.conditions().get(0));
    leader.sink.replied(call.callId(), new Reply.Applied(++leader.lastVersion));
    return txn.writes();
  }

  @Example
  void hundredsOfProvisioningRecordsNeitherDelayCompletionsNorWaitForThem() {
    int[] durable = new int[1];
    for (int i = 0; i < 300; i++) {
      stateWriter.putProvisioningRecord(
          StateKeys.rental("r-1-" + i), release(1), () -> durable[0]++);
    }
    for (int i = 0; i < 3; i++) {
      stateWriter.writeFinished(leader.job("red", JobSpec.Priority.NORMAL, 1, 1));
    }
    List<Request.Write> first = applyNextTransaction();
    assertEquals(3, finished.size());
    assertEquals(leader.settings.stateServiceLimits().maxWritesPerTransaction() / 4, durable[0]);
    assertTrue(first.size() <= leader.settings.stateServiceLimits().maxWritesPerTransaction());
  }

  /**
   * Answers the next request of any kind with the result of {@code reply}, and returns the request.
   * Runs a tick first when no request is pending.
   */
  private Request answerNext(Function<Request, Reply> reply) {
    if (leader.effects.isEmpty()) {
      now += 1_000_000;
      stateWriter.tick(now);
    }
    Effect.Call call = (Effect.Call) leader.effects.remove(0);
    leader.sink.replied(call.callId(), reply.apply(call.request()));
    return call.request();
  }

  /**
   * Guards against a restored registration of a terminated machine. A transaction that registers a
   * worker gets no answer, and is executed long after the worker was registered again and
   * unregistered. The transaction must fail once the barrier has been written again.
   */
  @Example
  void aCreationWithoutAnAnswerFailsOnceTheBarrierIsRenewed() {
    Machine machine = new Machine("i-1", LeaderFixture.TERM, Machine.Phase.CONFIRMED, now);
    stateWriter.register(machine);
    Request.StoreTransaction lost =
        (Request.StoreTransaction) answerNext(r -> new Reply.NoResponse("timeout"));
    assertTrue(lost.conditions().contains(new Request.Condition(StateKeys.worker("i-1"), 0)));
    long before =
        lost.conditions().stream()
            .filter(c -> c.key().equals(StateKeys.BARRIER))
            .findFirst()
            .orElseThrow()
            .version();
    Request.StoreTransaction barrier =
        (Request.StoreTransaction) answerNext(r -> new Reply.Applied(++leader.lastVersion));
    assertEquals(StateKeys.BARRIER, barrier.writes().get(0).key());
    assertTrue(barrier.conditions().contains(new Request.Condition(StateKeys.BARRIER, before)));
    assertTrue(
        barrier.conditions().contains(new Request.Condition(StateKeys.LEADER, LeaderFixture.TERM)));
    // The keys are read only after the barrier, when no earlier transaction can change them.
    while (!leader.effects.isEmpty()) {
      Request read =
          answerNext(
              r ->
                  ((Request.StoreGet) r).key().equals(StateKeys.LEADER)
                      ? new Reply.Found(
                          new Reply.Item(
                              StateKeys.LEADER,
                              new LeaderRecord("n0", 1, "run"),
                              LeaderFixture.TERM))
                      : new Reply.Absent(leader.lastVersion));
      assertTrue(read instanceof Request.StoreGet);
    }
    Request.StoreTransaction again =
        (Request.StoreTransaction) answerNext(r -> new Reply.Applied(++leader.lastVersion));
    assertTrue(
        again.conditions().stream()
            .anyMatch(c -> c.key().equals(StateKeys.BARRIER) && c.version() > before));
  }

  @Example
  void onlyTheLatestPendingValueIsWrittenAndEveryCallbackRuns() {
    List<String> durable = new ArrayList<>();
    String key = StateKeys.release("1-1");
    stateWriter.putProvisioningRecord(key, release(1), () -> durable.add("first"));
    stateWriter.putProvisioningRecord(key, release(2), () -> durable.add("second"));
    assertEquals(release(2), applyNextTransaction().get(0).value());
    assertEquals(List.of("first", "second"), durable);
    // The callback of a value added while another value is in flight waits for its own value.
    stateWriter.putProvisioningRecord(key, release(3), () -> durable.add("third"));
    leader.effects.clear();
    now += 1_000_000;
    stateWriter.tick(now);
    stateWriter.removeProvisioningRecord(key, () -> durable.add("removed"));
    leader.sink.replied(
        ((Effect.Call) leader.effects.get(0)).callId(), new Reply.Applied(++leader.lastVersion));
    assertEquals(List.of("first", "second", "third"), durable);
    assertEquals(null, applyNextTransaction().get(0).value());
    assertEquals(List.of("first", "second", "third", "removed"), durable);
  }

  private static boolean holds(Request.Condition condition, Map<String, Long> versions) {
    return versions.getOrDefault(condition.key(), Request.Condition.ABSENT) == condition.version();
  }

  /** Commits a transaction to the versions if its conditions hold; returns whether they do. */
  private boolean commit(Request.StoreTransaction txn, Map<String, Long> versions) {
    if (!txn.conditions().stream().allMatch(condition -> holds(condition, versions))) {
      return false;
    }
    leader.lastVersion++;
    for (Request.Write write : txn.writes()) {
      versions.put(
          write.key(), write.value() == null ? Request.Condition.ABSENT : leader.lastVersion);
    }
    return true;
  }

  /** Commits the next transaction of the writer and returns it. */
  private Request.StoreTransaction commitNext(Map<String, Long> versions) {
    return (Request.StoreTransaction)
        answerNext(
            request -> {
              assertTrue(commit((Request.StoreTransaction) request, versions));
              return new Reply.Applied(leader.lastVersion);
            });
  }

  @Example
  void copyOfAnAnsweredCreationDoesNotRestoreARemovedKey() {
    Map<String, Long> versions = new HashMap<>(Map.of(StateKeys.LEADER, LeaderFixture.TERM));
    String release = StateKeys.release("1-1");
    stateWriter.register(new Machine("i-1", LeaderFixture.TERM, Machine.Phase.CONFIRMED, now));
    Request.StoreTransaction registration = commitNext(versions);
    stateWriter.putProvisioningRecord(release, release(1), () -> {});
    Request.StoreTransaction creation = commitNext(versions);
    stateWriter.unregister("i-1");
    stateWriter.removeProvisioningRecord(release, () -> {});
    commitNext(versions);
    assertEquals(Request.Condition.ABSENT, versions.get(release));
    assertFalse(commit(registration, versions), "the registration passes again");
    assertFalse(commit(creation, versions), "the record's creation passes again");
  }

  @Example
  void fullBatchOfCreationsStaysWithinTheLimitOfWrites() {
    int limit = leader.settings.stateServiceLimits().maxWritesPerTransaction();
    Map<String, Long> versions = new HashMap<>(Map.of(StateKeys.LEADER, LeaderFixture.TERM));
    for (int i = 0; i < 2 * limit; i++) {
      stateWriter.register(new Machine("i-" + i, LeaderFixture.TERM, Machine.Phase.CONFIRMED, now));
    }
    assertEquals(limit, commitNext(versions).writes().size());
  }
}
