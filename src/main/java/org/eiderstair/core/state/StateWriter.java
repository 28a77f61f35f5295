package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.record.BarrierRecord;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.ProgressRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.record.WorkerRecord;
import org.eiderstair.core.settings.Settings;

/**
 * The leader's durable writes: finished jobs, progress, the roster. One transaction at a time; each
 * demands the leader key of this term, the known version of every key that it changes, and that of
 * the barrier. What is still to be written is worked out anew each time, so a lost answer needs
 * only fresh versions.
 *
 * <p>A transaction without an answer may be carried out at any later time. Versions alone do not
 * stop it: one that creates a key holds again once that key was created and dropped by later ones,
 * and would bring back a machine long gone. So the barrier is written anew first; from then on all
 * earlier transactions of this term fail, and what is read is the truth.
 */
public final class StateWriter {
  private static final long PROGRESS_EVERY_MICROS = 500_000;

  /**
   * Changes that come close together go in one transaction: single ones would spend requests and
   * processor.
   */
  private static final long GATHER_MICROS = 60_000;

  private static final long RETRY_MICROS = 500_000;
  private static final int TXN_BYTES = 40_000;

  /**
   * Of a transaction: hundreds of notes at once must not hold up completions, nor wait for hundreds
   * of those.
   */
  private static final int NOTES_PART = 4;

  /**
   * IDLE may write; WRITING waits for an answer; BARRING renews the barrier after none came;
   * READING fetches versions after a conflict or the barrier.
   */
  private enum State {
    IDLE,
    WRITING,
    BARRING,
    READING
  }

  /** Who is told of completed writes. */
  public interface Listener {
    /** The job's final state is durable. */
    void jobFinished(Job job);

    /** The worker's registration is durable. */
    void workerRegistered(String machine);
  }

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final Listener listener;
  private final long term;
  private final RateBudget writes;
  private State state = State.IDLE;

  /** Keys of a transaction whose fate is unknown: nothing is written before the barrier is. */
  private List<String> doubted = List.of();

  private boolean closed;
  private long now;
  private long notBeforeMicros;
  private long lastProgressMicros;
  private int reading;
  private boolean readFailed;

  private final Map<String, Job> finished = new LinkedHashMap<>();
  private final Map<String, Job> progressed = new LinkedHashMap<>();
  private final Map<String, Machine> register = new LinkedHashMap<>();
  private final Map<String, Boolean> unregister = new LinkedHashMap<>();

  /** Single keys of the duties, written before what they announce is done. */
  private final Map<String, Note> notes = new LinkedHashMap<>();

  /** A value to be written, null to drop the key, and who waits for that. */
  private record Note(StoredValue value, List<Runnable> durable) {}

  public StateWriter(
      Settings settings, EffectSink sink, Replica replica, long term, Listener listener) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.term = term;
    this.listener = listener;
    this.writes = new RateBudget(settings.stateWriteRps() * 0.7);
  }

  /** Nothing is written any more in this term. */
  public void close() {
    closed = true;
  }

  /** All tasks of the job are done: writes its final state. */
  public void finished(Job job) {
    finished.put(job.id, job);
    progressed.remove(job.id);
  }

  /** The job has progress that is to be written. */
  public void progressed(Job job) {
    if (!finished.containsKey(job.id)) {
      progressed.put(job.id, job);
    }
  }

  /** Writes a worker's registration, before anything is launched on it. */
  public void register(Machine machine) {
    register.put(machine.id(), machine);
    unregister.remove(machine.id());
  }

  /** Removes a worker's registration: the machine is terminated. */
  public void unregister(String machine) {
    register.remove(machine);
    if (replica.isRegistered(machine)) {
      unregister.put(machine, true);
    }
  }

  /** Writes a key of the duties, or drops it when the value is null; the latest value counts. */
  public void note(String key, StoredValue value, Runnable durable) {
    Note earlier = notes.remove(key);
    List<Runnable> waiting = earlier == null ? new ArrayList<>() : earlier.durable();
    waiting.add(durable);
    notes.put(key, new Note(value, waiting));
  }

  /** Writes what is due, within the budget. */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (closed || state != State.IDLE || now < notBeforeMicros) {
      return;
    }
    if (!doubted.isEmpty()) {
      bar();
      return;
    }
    List<Request.Condition> conditions = new ArrayList<>();
    List<Request.Write> changes = new ArrayList<>();
    List<Runnable> after = new ArrayList<>();
    conditions.add(new Request.Condition(StateKeys.LEADER, term));
    conditions.add(barrier());
    notBeforeMicros = now + GATHER_MICROS;
    int room = (int) Math.min(settings.stateTxnOps(), writes.available(now));
    room = addNotes(room, conditions, changes, after);
    room = addFinished(room, conditions, changes, after);
    room = addRoster(room, conditions, changes, after);
    addProgress(room, conditions, changes, after);
    if (changes.isEmpty()) {
      return;
    }
    writes.take(changes.size());
    become(State.WRITING);
    send(conditions, changes, reply -> written(reply, conditions, changes, after));
  }

  /** The one function for every change of state. */
  private void become(State next) {
    state = next;
  }

  private void send(
      List<Request.Condition> conditions, List<Request.Write> changes, Consumer<Reply> callback) {
    long sentMicros = now;
    sink.call(
        new Request.StoreTxn(conditions, changes),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.proves(sentMicros, applied.revision());
          }
          callback.accept(reply);
        });
  }

  private Request.Condition barrier() {
    Reply.Item known = replica.dutyRecord(StateKeys.BARRIER);
    return new Request.Condition(StateKeys.BARRIER, known == null ? 0 : known.version());
  }

  /**
   * A barrier without an answer is written again under the version that it was to replace: only one
   * of the two can hold.
   */
  private void bar() {
    become(State.BARRING);
    BarrierRecord value = new BarrierRecord(term);
    send(
        List.of(new Request.Condition(StateKeys.LEADER, term), barrier()),
        List.of(new Request.Write(StateKeys.BARRIER, value, 0)),
        reply -> {
          if (closed) {
            return;
          }
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(StateKeys.BARRIER, value, applied.revision()));
            List<String> keys = doubted;
            doubted = List.of();
            refresh(keys);
            return;
          }
          notBeforeMicros = now + RETRY_MICROS;
          refresh(reply instanceof Reply.Refused ? List.of() : List.of(StateKeys.BARRIER));
        });
  }

  private int addNotes(
      int room,
      List<Request.Condition> conditions,
      List<Request.Write> changes,
      List<Runnable> after) {
    int most = Math.min(room, Math.max(1, settings.stateTxnOps() / NOTES_PART));
    for (Map.Entry<String, Note> e : new ArrayList<>(notes.entrySet())) {
      if (most < 1) {
        return room;
      }
      String key = e.getKey();
      Note note = e.getValue();
      Reply.Item known = replica.dutyRecord(key);
      if (known == null && note.value() == null) {
        notes.remove(key);
        note.durable().forEach(Runnable::run);
        continue;
      }
      conditions.add(new Request.Condition(key, known == null ? 0 : known.version()));
      changes.add(new Request.Write(key, note.value(), 0));
      most--;
      room--;
      // Those who wait for this value; who comes while it is on its way waits for the next.
      List<Runnable> waiting = new ArrayList<>(note.durable());
      after.add(
          () -> {
            if (notes.get(key) == note) {
              notes.remove(key);
            }
            note.durable().removeAll(waiting);
            waiting.forEach(Runnable::run);
          });
    }
    return room;
  }

  private int addFinished(
      int room,
      List<Request.Condition> conditions,
      List<Request.Write> changes,
      List<Runnable> after) {
    for (Job job : new ArrayList<>(finished.values())) {
      if (!job.open()) {
        finished.remove(job.id);
        continue;
      }
      if (room < 2) {
        return 0;
      }
      conditions.add(new Request.Condition(StateKeys.job(job.id), job.version()));
      changes.add(new Request.Write(StateKeys.job(job.id), JobRecord.done(job.tasks()), 0));
      if (job.progressVersion() > 0) {
        conditions.add(new Request.Condition(StateKeys.progress(job.id), job.progressVersion()));
        changes.add(new Request.Write(StateKeys.progress(job.id), null, 0));
      }
      room -= 2;
      after.add(
          () -> {
            finished.remove(job.id);
            listener.jobFinished(job);
          });
    }
    return room;
  }

  private int addRoster(
      int room,
      List<Request.Condition> conditions,
      List<Request.Write> changes,
      List<Runnable> after) {
    for (Machine m : new ArrayList<>(register.values())) {
      if (room < 1) {
        return 0;
      }
      var known = replica.registeredWorker(m.id());
      conditions.add(
          new Request.Condition(StateKeys.worker(m.id()), known == null ? 0 : known.version()));
      changes.add(
          new Request.Write(
              StateKeys.worker(m.id()),
              new WorkerRecord(m.address(), m.typeName(), m.zone(), m.isSpot()),
              0));
      room--;
      after.add(
          () -> {
            register.remove(m.id());
            listener.workerRegistered(m.id());
          });
    }
    for (String id : new ArrayList<>(unregister.keySet())) {
      var known = replica.registeredWorker(id);
      if (known == null) {
        unregister.remove(id);
        continue;
      }
      if (room < 1) {
        return 0;
      }
      conditions.add(new Request.Condition(StateKeys.worker(id), known.version()));
      changes.add(new Request.Write(StateKeys.worker(id), null, 0));
      room--;
      after.add(() -> unregister.remove(id));
    }
    return room;
  }

  private void addProgress(
      int room,
      List<Request.Condition> conditions,
      List<Request.Write> changes,
      List<Runnable> after) {
    if (progressed.isEmpty()
        || changes.isEmpty() && now < lastProgressMicros + PROGRESS_EVERY_MICROS) {
      return;
    }
    lastProgressMicros = now;
    int bytes = 0;
    for (Job job : new ArrayList<>(progressed.values())) {
      if (!job.open()) {
        progressed.remove(job.id);
        continue;
      }
      if (room < 1 || bytes > TXN_BYTES) {
        return;
      }
      BitSet done = job.completedTasks();
      int running = job.runningCount();
      ProgressRecord value = ProgressRecord.of(done, running);
      bytes += value.doneTasks().length() + 200;
      conditions.add(new Request.Condition(StateKeys.progress(job.id), job.progressVersion()));
      conditions.add(new Request.Condition(StateKeys.job(job.id), job.version()));
      changes.add(new Request.Write(StateKeys.progress(job.id), value, 0));
      room--;
      after.add(
          () -> {
            if (job.hasCompletedExactly(done)) {
              progressed.remove(job.id);
            }
          });
    }
  }

  private void written(
      Reply reply,
      List<Request.Condition> conditions,
      List<Request.Write> changes,
      List<Runnable> after) {
    become(State.IDLE);
    if (closed) {
      return;
    }
    if (reply instanceof Reply.Applied applied) {
      for (Request.Write change : changes) {
        replica.apply(new Reply.Item(change.key(), change.value(), applied.revision()));
      }
      after.forEach(Runnable::run);
    } else if (reply instanceof Reply.Conflict conflict) {
      sink.debug("ledger conflict on " + conflict.failed() + " term=" + term);
      refresh(conflict.failed());
    } else if (reply instanceof Reply.NoResponse) {
      doubted = conditions.stream().map(Request.Condition::key).toList();
    } else {
      notBeforeMicros = now + RETRY_MICROS;
    }
  }

  /** Reads what may have changed before anything is written again. */
  private void refresh(List<String> keys) {
    become(State.READING);
    reading = keys.size();
    readFailed = false;
    for (String key : keys) {
      sink.call(
          new Request.StoreGet(key),
          reply -> {
            if (closed) {
              return;
            }
            if (reply instanceof Reply.Found found) {
              if (found.item() != null) {
                replica.apply(found.item());
              } else {
                replica.missing(key, found.revision());
              }
            } else {
              readFailed = true;
            }
            if (--reading == 0) {
              become(State.IDLE);
              if (readFailed) {
                notBeforeMicros = now + RETRY_MICROS;
              }
            }
          });
    }
    if (keys.isEmpty()) {
      become(State.IDLE);
    }
  }
}
