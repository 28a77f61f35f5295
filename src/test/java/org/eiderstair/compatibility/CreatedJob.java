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

/** The write with which a submission creates its job. */
final class CreatedJob {
  static final long AT_MICROS = 3_000_000;

  private static final MachineType LARGE =
      new MachineType("g8", 64, 8, 512, 10, 1, 1, 0.3, 30_000_000, List.of("a"));

  private CreatedJob() {}

  static Request.Write write(JobSpec spec) {
    LeaderFixture bench = new LeaderFixture();
    bench.replica.tick(bench.now);
    Effect.Call list = (Effect.Call) bench.effects.get(bench.effects.size() - 1);
    Reply.Item catalog = new Reply.Item(StateKeys.CATALOG, new CatalogRecord(List.of(LARGE)), 2);
    bench.sink.replied(list.callId(), new Reply.Listed(List.of(catalog), false, 2));
    JobService service = new JobService(bench.settings, bench.sink, bench.replica, told -> {});
    service.tick(AT_MICROS);
    bench.effects.clear();
    service.submit(1, new Submission.Parsed(spec));
    Effect.Call call = (Effect.Call) bench.effects.get(0);
    return ((Request.StoreTransaction) call.request()).writes().get(0);
  }
}
