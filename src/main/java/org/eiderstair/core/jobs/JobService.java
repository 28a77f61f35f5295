package org.eiderstair.core.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Serves users on every node. Final states never change and are told from the replica; anything
 * else is first confirmed to be current, many requests by one compare-only transaction. Nothing
 * waits for an outage to end: what cannot be stored or confirmed is answered 503 at once, with when
 * to come back.
 */
public final class JobService {
  private static final int RETRY_AFTER_S = 1;

  private record Waiting(String id, Consumer<Job> current, Runnable unavailable) {}

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final TeamQuotas limits;
  private final Consumer<Cancellation> committed;
  private List<Waiting> waiting = new ArrayList<>();
  private boolean confirming;
  private long nextConfirmMicros;
  private long now;

  /**
   * @param committed is told of each cancellation that this node has committed
   */
  public JobService(
      Settings settings, EffectSink sink, Replica replica, Consumer<Cancellation> committed) {
    this.committed = committed;
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.limits = new TeamQuotas(settings);
  }

  /** A user asks for the state of a job. */
  public void poll(long exchange, String id) {
    if (!replica.loaded()) {
      unavailable(exchange, "starting");
      return;
    }
    Job known = replica.job(id);
    if (known != null && !known.open()) {
      sink.respond(exchange, view(known, 200));
      return;
    }
    confirm(
        id,
        job ->
            sink.respond(
                exchange, job == null ? new Answer.Failure(404, "no such job", 0) : view(job, 200)),
        () -> unavailable(exchange, "cannot confirm"));
  }

  /**
   * A user submits a job; {@code spec} is null and {@code fault} set when its body is malformed.
   */
  public void submit(long exchange, String id, JobSpec spec, String fault) {
    if (!replica.loaded()) {
      // Also where the rest cannot be read: the id may be that of an accepted job.
      unavailable(exchange, "starting");
      return;
    }
    Job known = replica.job(id);
    if (known != null) {
      if (!known.open()) {
        sink.respond(exchange, view(known, 200));
      } else {
        confirm(
            id,
            job -> sink.respond(exchange, view(job, 200)),
            () -> unavailable(exchange, "cannot confirm"));
      }
      return;
    }
    int status = spec == null ? 400 : 422;
    String refusal = spec == null ? fault : refusal(spec);
    if (refusal != null) {
      // Another node may know the job, and an accepted one must never be refused, whatever a repeat
      // holds: so confirm that it is new.
      confirm(
          id,
          job ->
              sink.respond(
                  exchange, job == null ? new Answer.Failure(status, refusal, 0) : view(job, 200)),
          () -> unavailable(exchange, "cannot confirm"));
      return;
    }
    if (replica.catalog().isEmpty()) {
      unavailable(exchange, "machine types not known yet");
      return;
    }
    create(exchange, spec);
  }

  private String refusal(JobSpec spec) {
    if (!settings.teams().containsKey(spec.team())) {
      return "unknown team " + spec.team();
    }
    if (!limits.limitAllowsAtAll(spec)) {
      return "more than the team's limit";
    }
    if (spec.zone() != null && !settings.zones().contains(spec.zone())) {
      return "unknown zone " + spec.zone();
    }
    if (replica.catalog().isEmpty()) {
      return null;
    }
    for (MachineType type : replica.catalog()) {
      boolean allowed = spec.machineTypes() == null || spec.machineTypes().contains(type.name());
      if (allowed
          && type.fits(spec)
          && (spec.zone() == null || type.zones().contains(spec.zone()))) {
        return null;
      }
    }
    return "no allowed machine type can hold a task";
  }

  private void create(long exchange, JobSpec spec) {
    JobRecord value = JobRecord.open(spec, replica.dayMicros(now));
    String key = StateKeys.job(spec.id());
    sink.call(
        new Request.StoreTxn(
            List.of(new Request.Condition(key, 0)), List.of(new Request.Write(key, value, 0))),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(key, value, applied.revision()));
            sink.info(
                "job "
                    + spec.id()
                    + " accepted: "
                    + spec.tasks()
                    + " tasks of "
                    + spec.cpus()
                    + " cpus and "
                    + spec.memoryGb()
                    + " GB, "
                    + spec.priority()
                    + ", class "
                    + spec.jobClass()
                    + " of "
                    + spec.team());
            sink.respond(exchange, view(replica.job(spec.id()), 201));
          } else if (reply instanceof Reply.Conflict) {
            read(
                spec.id(),
                job -> {
                  if (job == null) {
                    unavailable(exchange, "conflict");
                  } else {
                    sink.respond(exchange, view(job, 200));
                  }
                },
                () -> unavailable(exchange, "cannot confirm"));
          } else {
            unavailable(exchange, "cannot store");
          }
        });
  }

  /** A user cancels a job. */
  public void cancel(long exchange, String id) {
    if (!replica.loaded()) {
      unavailable(exchange, "starting");
      return;
    }
    cancel(exchange, id, 3);
  }

  private void cancel(long exchange, String id, int tries) {
    Job job = replica.job(id);
    if (job == null) {
      read(
          id,
          found -> {
            if (found == null || tries <= 0) {
              sink.respond(exchange, new Answer.Failure(404, "no such job", 0));
            } else {
              cancel(exchange, id, tries - 1);
            }
          },
          () -> unavailable(exchange, "cannot confirm"));
      return;
    }
    if (!job.open()) {
      sink.respond(exchange, view(job, 200));
      return;
    }
    String key = StateKeys.job(id);
    JobRecord value =
        JobRecord.cancelled(job.spec(), job.durablyCompleted(), replica.dayMicros(now));
    sink.call(
        new Request.StoreTxn(
            List.of(new Request.Condition(key, job.version())),
            List.of(new Request.Write(key, value, 0))),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(key, value, applied.revision()));
            sink.info("job " + id + " cancelled");
            sink.respond(exchange, view(job, 200));
            committed.accept(new Cancellation(id, applied.revision(), view(job, 200).done()));
          } else if (reply instanceof Reply.Conflict && tries > 0) {
            read(
                id,
                found -> cancel(exchange, id, tries - 1),
                () -> unavailable(exchange, "cannot confirm"));
          } else {
            unavailable(exchange, "cannot store");
          }
        });
  }

  private void unavailable(long exchange, String why) {
    sink.respond(exchange, new Answer.Failure(503, why, RETRY_AFTER_S));
  }

  private void confirm(String id, Consumer<Job> current, Runnable unavailable) {
    waiting.add(new Waiting(id, current, unavailable));
    tick(now);
  }

  /** When the next gathered question may be put; far away when there is none. */
  public long dueMicros() {
    return confirming || waiting.isEmpty() ? Long.MAX_VALUE : nextConfirmMicros;
  }

  /** Asks the state service for what was gathered, once that is due. */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (confirming || waiting.isEmpty() || now < nextConfirmMicros) {
      return;
    }
    Map<String, Long> versions = new LinkedHashMap<>();
    List<Waiting> batch = new ArrayList<>();
    List<Waiting> later = new ArrayList<>();
    int most = settings.stateTxnOps() * 4;
    for (Waiting w : waiting) {
      if (versions.size() < most || versions.containsKey(w.id())) {
        Job job = replica.job(w.id());
        versions.put(w.id(), job == null ? 0 : job.version());
        batch.add(w);
      } else {
        later.add(w);
      }
    }
    waiting = later;
    confirming = true;
    nextConfirmMicros = now + settings.gatherMicros();
    List<Request.Condition> conditions = new ArrayList<>();
    versions.forEach(
        (id, version) -> conditions.add(new Request.Condition(StateKeys.job(id), version)));
    sink.call(
        new Request.StoreTxn(conditions, List.of()),
        reply -> {
          confirming = false;
          if (reply instanceof Reply.Applied) {
            batch.forEach(w -> w.current().accept(replica.job(w.id())));
          } else if (reply instanceof Reply.Conflict conflict) {
            // Reads answer for the old ones. The others are asked again: a failed list need not be
            // complete.
            for (Waiting w : batch) {
              if (conflict.failed().contains(StateKeys.job(w.id()))) {
                read(w.id(), w.current(), w.unavailable());
              } else {
                waiting.add(w);
              }
            }
          } else {
            batch.forEach(w -> w.unavailable().run());
          }
        });
  }

  /** Reads the job's key itself; what it shows is current. */
  private void read(String id, Consumer<Job> current, Runnable unavailable) {
    String key = StateKeys.job(id);
    sink.call(
        new Request.StoreGet(key),
        reply -> {
          if (reply instanceof Reply.Found found) {
            if (found.item() != null) {
              replica.apply(found.item());
            }
            current.accept(replica.job(id));
          } else {
            unavailable.run();
          }
        });
  }

  /** A job as its user sees it. */
  private static Answer.JobView view(Job job, int status) {
    return switch (job.state()) {
      case DONE -> new Answer.JobView(status, job.id, Answer.Phase.DONE, job.tasks(), 0);
      case CANCELLED ->
          new Answer.JobView(status, job.id, Answer.Phase.CANCELLED, job.finalDone(), 0);
      case OPEN ->
          new Answer.JobView(
              status,
              job.id,
              job.durablyRunning() > 0 ? Answer.Phase.RUNNING : Answer.Phase.PENDING,
              job.durablyCompleted(),
              job.durablyRunning());
    };
  }
}
