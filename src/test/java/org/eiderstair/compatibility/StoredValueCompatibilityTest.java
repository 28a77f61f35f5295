package org.eiderstair.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.provisioning.RentalRequest;
import org.eiderstair.core.record.CatalogRecord;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.LeaderRecord;
import org.eiderstair.core.record.ProgressRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.StoreMessages;

/**
 * Guards against changes to the encoding of stored values. Version 0.1.0 must be able to read the
 * values of this version, and this version the values of 0.1.0. Every value must be encoded to the
 * bytes that version 0.1.0 wrote, and be decoded from them.
 */
class StoredValueCompatibilityTest {
  private static final RecordedBytes RECORDED = RecordedBytes.load("stored-values.hex");
  private static final long WALL_CLOCK_MICROS = 1_764_670_000_000_000L;
  private static final List<MachineType> CATALOG =
      List.of(
          new MachineType("g8", 8, 4, 32.5, 10, 0.4, 1.25, 0.3, 30_000_000, List.of("a", "b")),
          new MachineType("c4", 64, 0, 256, 100, 1, 3, 0, 0, List.of()));

  private static byte[] encode(Request.Write write) {
    return StoreMessages.encodeTransaction(new Request.StoreTransaction(List.of(), List.of(write)));
  }

  /**
   * Returns two transactions of a leader's state writer. The first has every kind of write that the
   * state writer makes, and its reply is lost. The second is sent after the loss.
   */
  private static List<Request.StoreTransaction> leaderTransactions() {
    LeaderFixture fixture = new LeaderFixture();
    StateWriter.Listener listener =
        new StateWriter.Listener() {
          @Override
          public void jobFinished(Job job) {}

          @Override
          public void workerRegistered(String machine) {}
        };
    StateWriter writer =
        new StateWriter(
            fixture.settings, fixture.sink, fixture.replica, LeaderFixture.TERM, listener);
    Job finished = fixture.job("red", JobSpec.Priority.NORMAL, 7, 1);
    finished.advanceProgressTo(4);
    writer.writeFinished(finished);
    Job progressed = fixture.job("red", JobSpec.Priority.NORMAL, 10, 1);
    for (int index : new int[] {0, 1, 2, 3, 4, 5, 9}) {
      progressed.markCompleted(index);
    }
    writer.writeProgress(progressed);
    Job scattered = fixture.job("red", JobSpec.Priority.NORMAL, 1000, 1);
    for (int i = 0; i < 1000; i += 2) {
      scattered.markCompleted(i);
    }
    writer.writeProgress(scattered);
    writer.writeProgress(fixture.job("red", JobSpec.Priority.NORMAL, 2, 1));
    for (boolean spot : new boolean[] {true, false}) {
      Machine machine =
          new Machine(spot ? "i-1" : "i-2", LeaderFixture.TERM, Machine.Phase.CONFIRMED, 0);
      machine.describe("10.0.0.1:80", "t", spot ? "a" : null, spot);
      writer.register(machine);
    }
    List<Request.StoreTransaction> transactions = new ArrayList<>();
    fixture.effects.clear();
    writer.tick(10_000_000);
    Effect.Call lost = (Effect.Call) fixture.effects.remove(0);
    transactions.add((Request.StoreTransaction) lost.request());
    fixture.sink.replied(lost.callId(), new Reply.NoResponse("timeout"));
    writer.tick(11_000_000);
    transactions.add(
        (Request.StoreTransaction) ((Effect.Call) fixture.effects.remove(0)).request());
    return transactions;
  }

  private static List<Request.Write> samples() {
    List<Request.Write> writes = new ArrayList<>();
    writes.add(
        new Request.Write(StateKeys.LEADER, new LeaderRecord("n1", 1L << 40, "run-7"), 1L << 40));
    writes.add(new Request.Write(StateKeys.CATALOG, new CatalogRecord(CATALOG), 0));
    writes.add(new Request.Write(StateKeys.CATALOG, new CatalogRecord(List.of()), 0));
    for (JobSpec spec : specs()) {
      String key = StateKeys.job(spec.id());
      writes.add(Request.Write.put(key, JobRecord.open(spec, 0)));
      writes.add(Request.Write.put(key, JobRecord.cancelled(spec, 2, WALL_CLOCK_MICROS)));
    }
    writes.add(
        new Request.Write("e/prog/job-1", ProgressRecord.of(new BitSet(), Integer.MAX_VALUE), 0));
    return writes;
  }

  private static List<JobSpec> specs() {
    return List.of(
        SampleSpecs.plain("job-1"),
        SampleSpecs.full("job-2"),
        SampleSpecs.extreme("job-3", JobSpec.Priority.HIGH, List.of(), "a"),
        SampleSpecs.extreme("job-4", JobSpec.Priority.LOW, List.of("t"), null));
  }

  private static Map<String, byte[]> encodeAll() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    int number = 0;
    for (Request.Write write : samples()) {
      all.put("sample-" + ++number + ":" + write.key(), encode(write));
    }
    Request.Write created = CreatedJob.write(SampleSpecs.full("job-9"));
    all.put("created:" + created.key(), encode(created));
    number = 0;
    for (Request.StoreTransaction transaction : leaderTransactions()) {
      all.put("transaction-" + ++number, StoreMessages.encodeTransaction(transaction));
    }
    number = 0;
    for (Request.Write write : ProvisioningWrites.writes()) {
      all.put("provisioning-" + ++number + ":" + write.key(), encode(write));
    }
    number = 0;
    for (Request.Write write : StandbyWrites.writes()) {
      all.put("standby-" + ++number + ":" + write.key(), encode(write));
    }
    return all;
  }

  @Example
  void everyStoredValueIsEncodedInTheRecordedBytes() {
    RECORDED.assertSameBytes(encodeAll());
  }

  /**
   * Decodes the values of a recorded transaction, in a page of the form that the state service
   * returns.
   */
  private static List<Reply.Item> decodeRecorded(String name, long version)
      throws MalformedMessageException {
    List<Object> entries = new ArrayList<>();
    for (Object write : (List<?>) MessagePackCodec.readMap(RECORDED.get(name)).get("Writes")) {
      Map<?, ?> fields = (Map<?, ?>) write;
      if (fields.get("Put") != null) {
        entries.add(Map.of("K", fields.get("Put"), "Data", fields.get("Data"), "Stamp", version));
      }
    }
    byte[] page =
        MessagePackCodec.write(
            Map.of("Entries", entries, "LedgerRev", version, "Truncated", false));
    return ((Reply.Listed) StoreMessages.decodeListed(MessagePackCodec.readMap(page))).items();
  }

  @Example
  void everyRecordedValueDecodesToTheRecordThatWasWritten() throws MalformedMessageException {
    int compared = 0;
    List<Request.Write> writes = new ArrayList<>(samples());
    writes.add(CreatedJob.write(SampleSpecs.full("job-9")));
    leaderTransactions().forEach(transaction -> writes.addAll(transaction.writes()));
    writes.addAll(ProvisioningWrites.writes());
    writes.addAll(StandbyWrites.writes());
    List<StoredValue> written =
        writes.stream().map(Request.Write::value).filter(value -> value != null).toList();
    for (String name : RECORDED.names()) {
      for (Reply.Item item : decodeRecorded(name, 11)) {
        assertEquals(written.get(compared++), item.value(), name);
      }
    }
    assertEquals(written.size(), compared);
  }

  private static Replica replicaOf(String... names) throws MalformedMessageException {
    Replica replica = new LeaderFixture().replica;
    long version = 10;
    for (String name : names) {
      decodeRecorded(name, ++version).forEach(replica::apply);
    }
    return replica;
  }

  @Example
  void leaderAndCatalogAreDecoded() throws MalformedMessageException {
    Replica replica = replicaOf("sample-1:e/leader", "sample-3:e/catalog", "sample-2:e/catalog");
    assertEquals(new Replica.Leader("n1", "run-7", 1L << 40, 11), replica.leader());
    assertEquals(CATALOG, replica.catalog());
    assertEquals(13, replica.catalogVersion());
    assertEquals(List.of(), replicaOf("sample-3:e/catalog").catalog());
  }

  @Example
  void openAndCancelledJobsAreDecoded() throws MalformedMessageException {
    int number = 4;
    for (JobSpec spec : specs()) {
      String open = "sample-" + number++ + ":e/job/" + spec.id();
      String cancelled = "sample-" + number++ + ":e/job/" + spec.id();
      Job job = replicaOf(open).job(spec.id());
      assertEquals(Job.State.OPEN, job.state());
      assertEquals(spec, job.spec());
      assertEquals(spec.tasks(), job.tasks());
      assertEquals(11, job.version());
      Job ended = replicaOf(open, cancelled).job(spec.id());
      assertEquals(Job.State.CANCELLED, ended.state());
      assertEquals(2, ended.finalDoneCount());
      assertEquals(spec.tasks(), ended.tasks());
    }
  }

  @Example
  void submissionTimeOfAJobIsDecoded() throws MalformedMessageException {
    LeaderFixture fixture = new LeaderFixture();
    fixture.replica.advanceTo(5_000_000);
    decodeRecorded("created:e/job/job-9", 11).forEach(fixture.replica::apply);
    Job job = fixture.replica.job("job-9");
    assertEquals(SampleSpecs.full("job-9"), job.spec());
    assertEquals(CreatedJob.SUBMITTED_MICROS, job.submittedMicros());
  }

  @Example
  void finishedJobsProgressAndWorkersAreDecoded() throws MalformedMessageException {
    LeaderFixture fixture = new LeaderFixture();
    Job finished = fixture.job("red", JobSpec.Priority.NORMAL, 7, 1);
    Job progressed = fixture.job("red", JobSpec.Priority.NORMAL, 10, 1);
    Job scattered = fixture.job("red", JobSpec.Priority.NORMAL, 1000, 1);
    decodeRecorded("transaction-1", 11).forEach(fixture.replica::apply);
    assertEquals(Job.State.DONE, finished.state());
    assertEquals(7, finished.tasks());
    assertEquals("{0, 1, 2, 3, 4, 5, 9}", progressed.durablyCompletedTasks().toString());
    assertEquals(500, scattered.durablyCompletedTasks().cardinality());
    assertEquals(1000 - 1, scattered.durablyCompletedTasks().length());
    assertEquals(
        new Replica.RegisteredWorker("i-1", "10.0.0.1:80", "t", "a", true, 11),
        fixture.replica.registeredWorker("i-1"));
    assertEquals(
        new Replica.RegisteredWorker("i-2", "10.0.0.1:80", "t", null, false, 11),
        fixture.replica.registeredWorker("i-2"));
    decodeRecorded("transaction-2", 12).forEach(fixture.replica::apply);
    assertEquals(12, fixture.replica.coordinationRecord("e/duty/barrier").version());
  }

  @Example
  void newLeaderResumesRentalsAndReleases() throws MalformedMessageException {
    ProvisioningWrites.Host host = new ProvisioningWrites.Host();
    ProvisioningController controller = new ProvisioningController(host, 90, 1, WALL_CLOCK_MICROS);
    TreeMap<String, Reply.Item> items = new TreeMap<>();
    for (String name : ProvisioningWrites.RECORDED_NAMES) {
      for (Reply.Item item : decodeRecorded(name, 11)) {
        items.put(item.key(), item);
      }
    }
    ProvisioningWrites.resume(controller, items, 0);
    assertEquals(List.of(), host.errors);
    assertEquals("rentals=2 releases=1", controller.summary());
    assertEquals(
        List.of(new RentalRequest("r-70-2", ProvisioningWrites.RELIABLE, 1)),
        controller.pendingRentals());
    assertEquals(List.of("m-2", "m-3"), host.bootingMachines);
    assertTrue(controller.isReleasing("m-8"));
    assertFalse(controller.isReleasing("m-7"));
  }

  @Example
  void standbyRecordIsDecoded() throws MalformedMessageException {
    assertTrue(
        Standby.namesAnyNode(
            StandbyWrites.value(decodeRecorded("standby-1:e/duty/standby", 11).get(0))));
    assertFalse(
        Standby.namesAnyNode(
            StandbyWrites.value(decodeRecorded("standby-2:e/duty/standby", 11).get(0))));
    assertTrue(StandbyWrites.endsTerm(decodeRecorded("standby-3:e/duty/standby", 11).get(0)));
    assertFalse(StandbyWrites.endsTerm(decodeRecorded("standby-1:e/duty/standby", 11).get(0)));
    StandbyWrites.Follower follower = new StandbyWrites.Follower();
    Reply.Item named = decodeRecorded("standby-1:e/duty/standby", 11).get(0);
    assertEquals(1, follower.recover(named).orElseThrow().size());
    assertEquals(
        Optional.empty(),
        new StandbyWrites.Follower()
            .recover(decodeRecorded("standby-2:e/duty/standby", 11).get(0)));
  }
}
