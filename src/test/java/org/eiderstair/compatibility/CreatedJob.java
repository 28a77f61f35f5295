package org.eiderstair.compatibility;

import java.util.List;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.jobs.JobService;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.message.Submission;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.record.CatalogRecord;
import org.eiderstair.core.record.StateKeys;

/** Produces the write with which a submission creates a job. */
final class CreatedJob {
  /** The time of the submission. */
  static final long SUBMITTED_MICROS = 3_000_000;

  private static final MachineType LARGE =
      new MachineType("g8", 64, 8, 512, 10, 1, 1, 0.3, 30_000_000, List.of("a"));

  private CreatedJob() {}

  static Request.Write write(JobSpec spec) {
    LeaderFixture fixture = new LeaderFixture();
    fixture.replica.tick(fixture.now);
    Effect.Call list = (Effect.Call) fixture.effects.get(fixture.effects.size() - 1);
    Reply.Item catalog = new Reply.Item(StateKeys.CATALOG, new CatalogRecord(List.of(LARGE)), 2);
    fixture.sink.replied(list.callId(), new Reply.Listed(List.of(catalog), false, 2));
    JobService service =
        new JobService(fixture.settings, fixture.sink, fixture.replica, cancellation -> {});
    service.tick(SUBMITTED_MICROS);
    fixture.effects.clear();
    service.submit(1, new Submission.Parsed(spec));
    Effect.Call call = (Effect.Call) fixture.effects.get(0);
    return ((Request.StoreTransaction) call.request()).writes().get(0);
  }
}
