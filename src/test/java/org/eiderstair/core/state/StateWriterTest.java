package org.eiderstair.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
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

/** In which order the leader's writes go, and what becomes of those that are written twice. */
class StateWriterTest {
  private final LeaderFixture bench = new LeaderFixture();
  private final List<String> finished = new ArrayList<>();
  private final StateWriter stateWriter =
      new StateWriter(
          bench.settings,
          bench.sink,
          bench.replica,
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

  private static StoredValue release(long epoch) {
    return new ReleaseRecord(epoch, List.of("i-1"));
  }

  /** The next transaction, carried out. */
  private List<Request.Write> next() {
    bench.effects.clear();
    now += 1_000_000;
    stateWriter.tick(now);
    Effect.Call call = (Effect.Call) bench.effects.get(0);
    Request.StoreTransaction txn = (Request.StoreTransaction) call.request();
    assertEquals(
        new Request.Condition(StateKeys.LEADER, LeaderFixture.TERM), txn.conditions().get(0));
    bench.sink.replied(call.callId(), new Reply.Applied(++bench.lastVersion));
    return txn.writes();
  }

  @Example
  void hundredsOfRecordsHoldUpNoCompletionAndWaitForNone() {
    int[] durable = new int[1];
    for (int i = 0; i < 300; i++) {
      stateWriter.putDuty(StateKeys.rental("r-1-" + i), release(1), () -> durable[0]++);
    }
    for (int i = 0; i < 3; i++) {
      stateWriter.writeFinished(bench.job("red", JobSpec.Priority.NORMAL, 1, 1));
    }
    List<Request.Write> first = next();
    assertEquals(3, finished.size());
    assertEquals(bench.settings.stateLimits().transactionOps() / 4, durable[0]);
    assertTrue(first.size() <= bench.settings.stateLimits().transactionOps());
  }

  /**
   * The next request of any kind; what is asked of the store is answered by {@code reply}, if at
   * all.
   */
  private Request answered(Function<Request, Reply> reply) {
    if (bench.effects.isEmpty()) {
      now += 1_000_000;
      stateWriter.tick(now);
    }
    Effect.Call call = (Effect.Call) bench.effects.remove(0);
    bench.sink.replied(call.callId(), reply.apply(call.request()));
    return call.request();
  }

  /**
   * A transaction that registers a worker gets no answer, is carried out long after the worker was
   * registered again and unregistered, and would bring back a machine that is terminated.
   */
  @Example
  void aCreationWithoutAnAnswerIsDeadOnceTheBarrierIsWritten() {
    Machine machine = new Machine("i-1", LeaderFixture.TERM, Machine.Phase.CONFIRMED, now);
    stateWriter.register(machine);
    Request.StoreTransaction lost =
        (Request.StoreTransaction) answered(r -> new Reply.NoResponse("timeout"));
    assertTrue(lost.conditions().contains(new Request.Condition(StateKeys.worker("i-1"), 0)));
    long before =
        lost.conditions().stream()
            .filter(c -> c.key().equals(StateKeys.BARRIER))
            .findFirst()
            .orElseThrow()
            .version();
    Request.StoreTransaction barrier =
        (Request.StoreTransaction) answered(r -> new Reply.Applied(++bench.lastVersion));
    assertEquals(StateKeys.BARRIER, barrier.writes().get(0).key());
    assertTrue(barrier.conditions().contains(new Request.Condition(StateKeys.BARRIER, before)));
    assertTrue(
        barrier.conditions().contains(new Request.Condition(StateKeys.LEADER, LeaderFixture.TERM)));
    // Read only now, when nothing of before can change it any more.
    while (!bench.effects.isEmpty()) {
      Request read =
          answered(
              r ->
                  ((Request.StoreGet) r).key().equals(StateKeys.LEADER)
                      ? new Reply.Found(
                          new Reply.Item(
                              StateKeys.LEADER,
                              new LeaderRecord("n0", 1, "run"),
                              LeaderFixture.TERM))
                      : new Reply.Absent(bench.lastVersion));
      assertTrue(read instanceof Request.StoreGet);
    }
    Request.StoreTransaction again =
        (Request.StoreTransaction) answered(r -> new Reply.Applied(++bench.lastVersion));
    assertTrue(
        again.conditions().stream()
            .anyMatch(c -> c.key().equals(StateKeys.BARRIER) && c.version() > before));
  }

  @Example
  void theLatestValueCountsAndEveryCallbackRuns() {
    List<String> durable = new ArrayList<>();
    String key = StateKeys.release("1-1");
    stateWriter.putDuty(key, release(1), () -> durable.add("first"));
    stateWriter.putDuty(key, release(2), () -> durable.add("second"));
    assertEquals(release(2), next().get(0).value());
    assertEquals(List.of("first", "second"), durable);
    // One that comes while another value is on its way waits for its own.
    stateWriter.putDuty(key, release(3), () -> durable.add("third"));
    bench.effects.clear();
    now += 1_000_000;
    stateWriter.tick(now);
    stateWriter.removeDuty(key, () -> durable.add("removed"));
    bench.sink.replied(
        ((Effect.Call) bench.effects.get(0)).callId(), new Reply.Applied(++bench.lastVersion));
    assertEquals(List.of("first", "second", "third"), durable);
    assertEquals(null, next().get(0).value());
    assertEquals(List.of("first", "second", "third", "removed"), durable);
  }
}
