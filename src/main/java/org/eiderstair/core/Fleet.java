package org.eiderstair.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eiderstair.core.member.Membership;
import org.eiderstair.core.standby.Batch;
import org.eiderstair.core.standby.Standby;

/**
 * The machines of one term and what may be on them. A task comes free here only on proof: a newer
 * report without it once its launch is settled, a new session, a deleted machine, or a lease that
 * has run out.
 */
final class Fleet {
  private static final long ASK_AGAIN_MICROS = 1_500_000;
  private static final long ASKING_EVERY_MICROS = 20_000;

  /** Far more than can still be on their way in late reports or lists. */
  private static final int MOST_GONE = 10_000;

  private static final int MOST_ASKS = 8;

  /** A question that has waited for so long waits for a time limit, and costs nothing meanwhile. */
  private static final long SLOW_ASK_MICROS = 200_000;

  private static final int MOST_SLOW_ASKS = 128;
  private static final long LEASE_MARGIN_MICROS = 1_500_000;
  private static final long OUT_OF_REACH_MICROS = 2_500_000;
  private static final long SAVE_MARGIN_MICROS = 1_500_000;
  private static final long UNREACHED_MICROS = 6_000_000;
  private static final long KILL_AGAIN_MICROS = 300_000;
  private static final int FEW = 3;
  private static final long QUIET_MICROS = 1_500_000;
  private static final int REPORTS = 10;
  private static final long FAILURE_PAUSE_MICROS = 1_000_000;
  private static final long LONGEST_PAUSE_MICROS = 60_000_000;

  private final Settings settings;
  private final Ports ports;
  private final Replica replica;
  private final Leadership leadership;
  private final Ledger ledger;
  private final TokenList tokens;
  private final Teams teams;
  private final Standby standby;
  private final long term;
  private long attempts;
  private boolean closed;
  private long now;
  private Predicate<String> leaving = id -> false;
  private Consumer<Job> begun = job -> {};

  /** Reports that came from machines themselves, not through a peer, since the window began. */
  private int direct;

  private long windowMicros;
  private boolean unreached;

  final Map<String, Machine> machines = new LinkedHashMap<>();
  // One report must cost one machine: what the fleet as a whole needs is kept in these as machines
  // change.
  private final Set<Machine> unheard = new LinkedHashSet<>();

  /** Not heard in this term, but known from the standby's picture. */
  private final Set<Machine> pictured = new LinkedHashSet<>();

  private final Set<Machine> fencing = new LinkedHashSet<>();

  /**
   * Machines that have shown our token, the one answered longest ago first: their leases end in
   * this order.
   */
  private final Set<Machine> leased = new LinkedHashSet<>();

  /** Machines with something to send, and those whose report waits for its answer. */
  private final Set<Machine> toSend = new LinkedHashSet<>();

  private final Set<Machine> toAnswer = new LinkedHashSet<>();

  /** Machines with waiting attempts that may have got room. */
  final Set<Machine> toServe = new LinkedHashSet<>();

  /** Machines that may be given waiting attempts. */
  final List<Machine> queueable = new ArrayList<>();

  /** Machines that are being asked, and since when, the one asked longest ago first. */
  private final Map<Machine, Long> asks = new LinkedHashMap<>();

  private int youngAsks;
  private long nextAskingMicros;
  private long takenOverMicros;
  private TakeOver takeOver;

  /** Deleted by this term: a late report or list must not bring one back. */
  final Set<String> gone = new LinkedHashSet<>();

  /** Set whenever something changed that may let a task be placed. */
  boolean changed = true;

  Fleet(
      Settings settings,
      Ports ports,
      Replica replica,
      Leadership leadership,
      Ledger ledger,
      TokenList tokens,
      Teams teams,
      Standby standby,
      long term) {
    this.standby = standby;
    this.settings = settings;
    this.ports = ports;
    this.replica = replica;
    this.leadership = leadership;
    this.ledger = ledger;
    this.tokens = tokens;
    this.teams = teams;
    this.term = term;
  }

  /**
   * Reports that were still to be answered go elsewhere: this node may not renew their leases any
   * more.
   */
  void close() {
    closed = true;
    for (Machine m : toAnswer) {
      ports.respond(m.openReport.answered(), new Answer.Redirect(null));
    }
    toAnswer.clear();
  }

  /**
   * Take-over: everything rostered may hold work of earlier terms until it has been heard, but no
   * more than what the picture shows where there is one. A machine that it does not show holds
   * nothing.
   */
  void takeOver(long electedMicros, Map<String, Standby.Held> picture, long nowMicros) {
    now = nowMicros;
    takenOverMicros = now;
    takeOver = new TakeOver(ports, term, electedMicros);
    for (Replica.RosterEntry entry : replica.roster.values()) {
      Machine.Phase phase = picture == null ? Machine.Phase.UNHEARD : Machine.Phase.PICTURED;
      Machine m = new Machine(entry.machine(), term, phase, now);
      describe(m, entry.address(), entry.type(), entry.zone(), entry.spot());
      m.rostered = true;
      add(m);
      if (picture != null && picture.containsKey(m.id)) {
        inherit(m, picture.get(m.id));
      }
    }
    takeOver.caughtUp(unheard.size() + pictured.size(), picture != null, now);
  }

  private void inherit(Machine m, Standby.Held held) {
    m.session = held.session();
    held.attempts()
        .forEach(
            (id, tasks) ->
                tasks.forEach(
                    (index, number) -> {
                      Job job = replica.jobs.get(id);
                      // What is durably done or over without a description can only be stopped,
                      // once it is shown.
                      if (job != null
                          && job.spec() != null
                          && index < job.tasks()
                          && !job.done.get(index)
                          && !job.active.containsKey(index)) {
                        attach(new Attempt(job, index, number, m, Attempt.Phase.SEEN, now));
                      }
                    }));
    m.measureRoom();
    updateQueueable(m);
    roomChanged(m);
  }

  /** Tells the standby of an attempt that may be on its machine from now on, or is not any more. */
  private void tell(Attempt a, boolean there) {
    standby.change(
        new Batch.Change(there, a.machine.id, a.machine.session, a.job.id, a.index, a.number));
  }

  /** All that a standby must know of this leader's picture. */
  void snapshot(Consumer<Batch.Change> each) {
    for (Machine m : machines.values()) {
      if (m.session > 0) {
        each.accept(new Batch.Change(true, m.id, m.session, "", 0, 0));
      }
      for (Attempt a : m.attempts.values()) {
        if (a.mayBeThere()) {
          each.accept(new Batch.Change(true, m.id, m.session, a.job.id, a.index, a.number));
        }
      }
    }
  }

  /** A machine comes into the picture. */
  void add(Machine m) {
    machines.put(m.id, m);
    enter(m);
  }

  /** The one function for a change of a machine's phase: the sets above follow it. */
  private void become(Machine m, Machine.Phase next) {
    unheard.remove(m);
    pictured.remove(m);
    fencing.remove(m);
    leased.remove(m);
    m.phase = next;
    enter(m);
    if (takeOver != null) {
      takeOver.unheard(unheard.size() + pictured.size(), now);
    }
  }

  private void enter(Machine m) {
    switch (m.phase) {
      case UNHEARD -> unheard.add(m);
      case PICTURED -> pictured.add(m);
      case FENCING -> {
        fencing.add(m);
        leased.add(m);
      }
      case HEARD -> leased.add(m);
      case BOOTING, LOST, GONE -> {}
    }
    updateQueueable(m);
  }

  private void answered(Machine m) {
    m.answeredMicros = now;
    if (leased.remove(m)) {
      leased.add(m);
    }
  }

  private void updateQueueable(Machine m) {
    boolean open = m.known() && m.plan == Machine.Plan.USE && m.rostered && m.type != null;
    if (open == m.queueableIndex >= 0) {
      return;
    }
    if (open) {
      m.queueableIndex = queueable.size();
      queueable.add(m);
    } else {
      Machine last = queueable.remove(queueable.size() - 1);
      if (last != m) {
        queueable.set(m.queueableIndex, last);
        last.queueableIndex = m.queueableIndex;
      }
      m.queueableIndex = -1;
    }
  }

  /** Who is to be told when the first task of a job is placed. */
  void begun(Consumer<Job> told) {
    begun = told;
  }

  /** What is marked as leaving, also by an earlier term: nothing may be placed on it. */
  void leaving(Predicate<String> marked) {
    leaving = marked;
  }

  Machine expect(String id, String address, String type, String zone, boolean spot) {
    Machine m = new Machine(id, term, Machine.Phase.BOOTING, now);
    describe(m, address, type, zone, spot);
    if (leaving.test(id)) {
      m.plan = Machine.Plan.DELETE;
    }
    add(m);
    return m;
  }

  private void describe(Machine m, String address, String typeName, String zone, boolean spot) {
    m.address = address;
    m.typeName = typeName;
    m.zone = zone;
    m.spot = spot;
    resolveType(m);
  }

  private void resolveType(Machine m) {
    for (MachineType type : replica.catalog()) {
      if (type.name().equals(m.typeName)) {
        m.type = type;
      }
    }
  }

  void typesChanged() {
    for (Machine m : machines.values()) {
      resolveType(m);
      m.measureRoom();
      updateQueueable(m);
    }
    changed = true;
  }

  /** Machines that may hold work of earlier terms, since they have not been heard. */
  Set<Machine> unheard() {
    return unheard;
  }

  long nextAttempt() {
    return Math.addExact(Math.multiplyExact(term, 1L << 31), ++attempts);
  }

  /**
   * A worker's report. Its answer renews the lease and carries what the machine must stop, forget
   * and, decided in the next pass, launch; so a machine whose task ended gets its next one without
   * another message.
   */
  void reported(long exchange, MachineReport report, boolean relayed, long nowMicros) {
    now = nowMicros;
    if (report.token() >> 20 > term) {
      ports.respond(exchange, new Answer.Redirect(null));
      leadership.deposed("machine " + report.machine() + " has seen token " + report.token());
      return;
    }
    if (gone.contains(report.machine())) {
      ports.respond(exchange, new Answer.Failure(503, "machine was deleted", 0));
      return;
    }
    Machine m = machines.get(report.machine());
    if (m == null) {
      ports.info("machine " + report.machine() + " appeared, term=" + term);
      m = expect(report.machine(), report.address(), report.type(), report.zone(), report.spot());
    }
    OpenReport.Standing standing =
        m.openReport.standing(report.session(), m.session, report.sequence());
    if (standing != OpenReport.Standing.OPEN) {
      // A copy, or one held on its way: its worker has given it up. It proves, renews and launches
      // nothing.
      refuse(exchange, standing.toString());
      return;
    }
    direct += relayed ? 0 : 1;
    if (m.address == null || m.typeName == null || !m.rostered) {
      describe(m, report.address(), report.type(), report.zone(), report.spot());
    }
    if (!m.rostered && m.plan != Machine.Plan.DELETE) {
      ledger.enrol(m);
    }
    m.relayed = relayed;
    absorb(m, report, true, !m.commandInFlight);
    if (m.phase == Machine.Phase.UNHEARD) {
      // The answer shows it our token, and it reports again at once: asking would only cost time.
      m.nextAskMicros = now + ASK_AGAIN_MICROS;
    }
    refuse(m.openReport.become(report.sequence(), exchange), "a newer report is here");
    toAnswer.add(m);
  }

  private void refuse(long exchange, String why) {
    if (exchange != 0) {
      ports.respond(exchange, new Answer.Failure(503, why, 0));
    }
  }

  /** Whether reports wait for their answers. */
  boolean owesAnswers() {
    return !toAnswer.isEmpty();
  }

  /**
   * Takes a machine's account of itself. {@code settles} is false while a command is on its way,
   * since the account may have been written before that command arrived. Only a report settles what
   * went with an answer to an earlier report: the body of /commands or /status may be written while
   * that answer is still on its way.
   */
  private void absorb(Machine m, MachineReport report, boolean isReport, boolean settles) {
    if (!report.newerThan(m.session, m.sequence)) {
      return;
    }
    m.heardMicros = now;
    if (report.session() > m.session && m.session > 0) {
      ports.info(
          "machine "
              + m.id
              + " lost its lease and began session "
              + report.session()
              + ", term="
              + term);
      freeAll(m, "new session");
      refuse(m.openReport.newSession(), "report of an earlier session");
      toAnswer.remove(m);
      // Found by the simulator (a leader cut from its workers): a new session has its full lease
      // from its own
      // beginning, whenever we last answered the session before.
      answered(m);
    }
    if (report.session() != m.session) {
      standby.change(new Batch.Change(true, m.id, report.session(), "", 0, 0));
    }
    m.session = report.session();
    m.sequence = report.sequence();
    if (report.noticeMicros() != MachineReport.NO_NOTICE && m.plan == Machine.Plan.USE) {
      ports.info("machine " + m.id + " has notice, term=" + term);
      drain(m);
      saveProgress(m, report.noticeMicros());
    }
    boolean truth = report.token() >= m.token();
    if (truth && m.phase != Machine.Phase.HEARD) {
      boolean fenced = m.phase == Machine.Phase.FENCING;
      become(m, Machine.Phase.HEARD);
      if (!fenced) {
        ports.info("machine " + m.id + " heard, term=" + term);
        answered(m);
        m.idleSinceMicros = now;
      }
    }
    if (!truth
        && (m.phase == Machine.Phase.UNHEARD
            || m.phase == Machine.Phase.PICTURED
            || m.phase == Machine.Phase.FENCING)) {
      // Older commands may still arrive there; what it shows proves nothing yet.
      return;
    }
    readEntries(m, report, isReport && truth, settles && truth);
    if (!truth && m.phase == Machine.Phase.BOOTING && report.token() > 0) {
      holdNoLongerThanItsLease(m);
    }
    changed = true;
  }

  /**
   * A machine that neither the roster nor a rental of this term explains shows a token of an
   * earlier term: its report was held on its way, and the machine was deleted meanwhile. No such
   * machine can hold anything, since each is in the roster from before its first launch until it is
   * gone. What the report shows counts all the same, but only until the machine's lease would be
   * over, or until it answers our question; without this it held its tasks back until it counted as
   * never booted.
   */
  private void holdNoLongerThanItsLease(Machine m) {
    ports.info("machine " + m.id + " is unknown and shows an earlier term's token, term=" + term);
    become(m, Machine.Phase.FENCING);
    answered(m);
  }

  private void readEntries(
      Machine m, MachineReport report, boolean settlesAnswers, boolean settlesCommands) {
    m.strays.clear();
    m.reaps.clear();
    Set<TaskId> shown = new HashSet<>();
    for (MachineReport.Entry entry : report.tasks()) {
      shown.add(entry.task());
      if (entry.state() == MachineReport.TaskState.ENDED) {
        ended(m, entry);
      } else {
        alive(m, entry);
      }
    }
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      boolean settled =
          switch (a.phase) {
            case QUEUED, PLANNED -> false;
            case SENT ->
                a.sentSequence < 0
                    ? settlesCommands
                    : settlesAnswers && report.sequence() > a.sentSequence;
            case SEEN -> true;
          };
      if (settled && !shown.contains(a.task())) {
        free(a, "not on the machine");
      }
    }
    if (!m.attempts.isEmpty()) {
      m.idleSinceMicros = now;
    }
    m.measureRoom();
    roomChanged(m);
  }

  /** The machine may have got room: it gets its token, and what waits for it its turn. */
  private void roomChanged(Machine m) {
    if (m.plan == Machine.Plan.USE && m.known() && m.hasRoom()) {
      tokens.offer(m);
      if (!m.queue.isEmpty()) {
        toServe.add(m);
      }
    }
  }

  private void alive(Machine m, MachineReport.Entry entry) {
    Job job = replica.jobs.get(entry.task().job());
    Attempt known = m.attempts.get(entry.task());
    if (known != null && known.number == entry.attempt()) {
      if (known.phase != Attempt.Phase.SEEN) {
        known.phase = Attempt.Phase.SEEN;
      }
      if (known.shown != entry.state()) {
        known.shown = entry.state();
        m.useImage(known.spec);
        if (entry.state() == MachineReport.TaskState.RUNNING) {
          known.runningSinceMicros = now;
          noteRunning(known.job);
        }
      }
      return;
    }
    boolean wanted =
        job != null
            && job.open()
            && known == null
            && entry.task().index() < job.tasks()
            && !job.done.get(entry.task().index())
            && !job.active.containsKey(entry.task().index());
    if (!wanted) {
      if (job != null && !job.open() && known == null && job.spec() != null) {
        adopt(m, job, entry);
      } else {
        m.strays.put(entry.task(), new Order.Kill(entry.task(), entry.attempt(), 0));
      }
      return;
    }
    ports.debug("task " + entry.task() + " found on " + m.id + ", term=" + term);
    adopt(m, job, entry);
    noteRunning(job);
  }

  private void adopt(Machine m, Job job, MachineReport.Entry entry) {
    Attempt a = new Attempt(job, entry.task().index(), entry.attempt(), m, Attempt.Phase.SEEN, now);
    a.shown = entry.state();
    a.runningSinceMicros = now;
    m.useImage(job.spec());
    attach(a);
    tell(a, true);
  }

  /**
   * An attempt comes to stand on a machine: the one place where that happens, so that room, team
   * use and queues are kept by increments. One that only waits at the leader uses nothing yet.
   */
  void attach(Attempt a) {
    a.machine.attempts.put(a.task(), a);
    a.job.active.put(a.index, a);
    if (a.phase == Attempt.Phase.QUEUED) {
      List<Attempt> queue = a.machine.queue;
      int at = queue.size();
      while (at > 0 && queue.get(at - 1).job.rank > a.job.rank) {
        at--;
      }
      queue.add(at, a);
      a.job.queued.add(a);
    } else {
      occupy(a);
    }
  }

  /** A waiting attempt gets its machine's room, or a new one comes with it. */
  void occupy(Attempt a) {
    if (a.phase == Attempt.Phase.QUEUED) {
      leaveQueue(a);
      a.phase = Attempt.Phase.PLANNED;
    }
    teams.add(a.spec, 1);
    a.machine.take(a.spec);
    if (!a.job.begun) {
      a.job.begun = true;
      begun.accept(a.job);
    }
    if (a.phase == Attempt.Phase.PLANNED) {
      a.machine.useImage(a.spec);
      a.machine.toLaunch.add(a);
      toSend.add(a.machine);
    }
    if (!a.machine.hasRoom()) {
      tokens.remove(a.machine);
    }
  }

  private void leaveQueue(Attempt a) {
    a.machine.queue.remove(a);
    a.job.queued.remove(a);
  }

  /** A machine has something to be told to stop. */
  void killSoon(Machine m) {
    m.killsPending = true;
    toSend.add(m);
  }

  private void noteRunning(Job job) {
    if (job.open() && job.shownRunning == 0) {
      ledger.progressed(job);
    }
  }

  private void ended(Machine m, MachineReport.Entry entry) {
    TaskId task = entry.task();
    Order.Reap reap = new Order.Reap(task, entry.attempt());
    Job job = replica.jobs.get(task.job());
    Attempt known = m.attempts.get(task);
    boolean ours = known != null && known.number == entry.attempt();
    if (ours) {
      remove(known);
    }
    if (entry.exit() == MachineReport.Exit.DONE
        && job != null
        && job.open()
        && task.index() < job.tasks()) {
      if (!job.done.get(task.index())) {
        job.done.set(task.index());
        job.failedOn.clear();
        job.failedRounds = 0;
        m.errorsInRow = 0;
        m.failedJobs.clear();
        boolean all =
            job.spec().shape() == JobSpec.Shape.ARRAY && job.done.cardinality() == job.tasks();
        if (all) {
          ledger.finished(job);
        } else {
          ledger.progressed(job);
        }
      }
      // Forgotten only once durable: until then the machine's own record is the only proof.
      if (job.durable.get(task.index())) {
        m.reaps.put(task, reap);
      }
      return;
    }
    m.reaps.put(task, reap);
    if (!ours || job == null || !job.open()) {
      return;
    }
    switch (entry.exit()) {
      case ERROR -> failed(m, job, task);
      case NO_ROOM, BUSY, UNKNOWN_JOB -> {
        ports.debug(
            "task " + task + " refused by " + m.id + ": " + entry.exit() + ", term=" + term);
        m.holdUntilMicros = now + 1_000_000;
        tokens.remove(m);
      }
      default -> {}
    }
  }

  /** Tells a machine that fails everything from a job that fails everywhere. */
  private void failed(Machine m, Job job, TaskId task) {
    ports.info("task " + task + " failed on " + m.id + ", term=" + term);
    boolean again = !job.failedOn.add(m.id);
    if ((again || job.failedOn.size() > 1) && now >= job.notBeforeMicros) {
      job.failedRounds++;
      long pause = FAILURE_PAUSE_MICROS << Math.min(job.failedRounds, 6);
      job.notBeforeMicros = now + Math.min(LONGEST_PAUSE_MICROS, pause);
    }
    m.errorsInRow++;
    if (!job.done.isEmpty() || job.failedOn.size() == 1) {
      m.failedJobs.add(job.id);
    }
    // A job with a mistake fails wherever it goes: it alone may cost one machine, never one after
    // another.
    boolean faulty =
        m.failedJobs.size() >= 2 && m.errorsInRow >= 3
            || job.failedOn.size() == 1 && m.errorsInRow >= 6;
    if (faulty && m.plan == Machine.Plan.USE) {
      ports.info(
          "machine "
              + m.id
              + " fails the tasks of "
              + m.failedJobs.size()
              + " jobs: draining, term="
              + term);
      drain(m);
    }
  }

  /** No new work; what waits for it at the leader goes back to the common queue. */
  void drain(Machine m) {
    m.plan = Machine.Plan.DRAIN;
    unplan(m);
    updateQueueable(m);
    changed = true;
  }

  /**
   * A machine that was to leave is kept: its mark is gone, and no request to delete it can arrive
   * any more.
   */
  void keep(String id) {
    Machine m = machines.get(id);
    if (m != null && m.plan == Machine.Plan.DELETE) {
      m.plan = Machine.Plan.USE;
      m.condemned = false;
      if (!m.rostered && m.phase != Machine.Phase.BOOTING) {
        ledger.enrol(m);
      }
      updateQueueable(m);
      m.measureRoom();
      roomChanged(m);
      changed = true;
    }
  }

  /**
   * Before a machine is taken away, tasks that can save in time are told to; the others may yet
   * complete.
   */
  private void saveProgress(Machine m, long noticeMicros) {
    for (Attempt a : m.attempts.values()) {
      if (a.spec.checkpointEveryMicros() > 0
          && a.spec.saveMicros() + SAVE_MARGIN_MICROS <= noticeMicros) {
        a.stop = true;
        killSoon(m);
      }
    }
  }

  private void unplan(Machine m) {
    tokens.remove(m);
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      if (a.phase == Attempt.Phase.QUEUED || a.phase == Attempt.Phase.PLANNED) {
        free(a, "machine not usable");
      }
    }
  }

  /** An attempt is gone from its machine: the opposite of {@link #attach}. */
  void remove(Attempt a) {
    if (!a.machine.attempts.remove(a.task(), a)) {
      return;
    }
    if (a.phase == Attempt.Phase.QUEUED) {
      leaveQueue(a);
    } else {
      teams.add(a.spec, -1);
      a.machine.give(a.spec);
      if (a.phase == Attempt.Phase.PLANNED) {
        a.machine.toLaunch.remove(a);
      } else {
        tell(a, false);
      }
      roomChanged(a.machine);
    }
    if (a.job.active.get(a.index) == a) {
      a.job.active.remove(a.index);
      a.job.freed(a.index);
    }
    a.machine.idleSinceMicros = now;
    changed = true;
  }

  private void free(Attempt a, String why) {
    ports.debug(
        "task "
            + a.task()
            + " attempt "
            + a.number
            + " free from "
            + a.machine.id
            + ": "
            + why
            + ", term="
            + term);
    remove(a);
  }

  private void freeAll(Machine m, String why) {
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      free(a, why);
    }
    m.strays.clear();
    m.reaps.clear();
    m.forgetImages();
  }

  /** The cloud confirmed that the machine is gone, with everything on it. */
  void deleted(String id) {
    Machine m = machines.remove(id);
    gone.add(id);
    if (gone.size() > MOST_GONE) {
      gone.remove(gone.iterator().next());
    }
    ledger.strike(id);
    if (m != null) {
      become(m, Machine.Phase.GONE);
      tokens.remove(m);
      freeAll(m, "machine deleted");
      toSend.remove(m);
      standby.change(new Batch.Change(false, id, 0, "", 0, 0));
    }
    changed = true;
  }

  void rostered(String id) {
    Machine m = machines.get(id);
    if (m != null) {
      m.rostered = true;
      updateQueueable(m);
      changed = true;
    }
  }

  /**
   * @param busy whether reports wait: each tells as much as an answer to a question, and costs no
   *     more
   */
  void tick(long nowMicros, boolean busy) {
    now = nowMicros;
    long lease = settings.leaseMicros() + settings.leaseMicros() / 1000 + LEASE_MARGIN_MICROS;
    while (!leased.isEmpty()) {
      Machine m = leased.iterator().next();
      if (now <= m.answeredMicros + lease) {
        break;
      }
      ports.info("machine " + m.id + " has lost its lease, term=" + term);
      become(m, Machine.Phase.LOST);
      tokens.remove(m);
      freeAll(m, "lease over");
    }
    boolean patient = busy && now < takenOverMicros + settings.reportMicros();
    if (!patient
        && now >= nextAskingMicros
        && !(unheard.isEmpty() && fencing.isEmpty() && pictured.isEmpty())) {
      nextAskingMicros = now + ASKING_EVERY_MICROS;
      youngAsks = 0;
      for (long since : asks.values()) {
        youngAsks += now < since + SLOW_ASK_MICROS ? 1 : 0;
      }
      fencing.forEach(this::askIfDue);
      unheard.forEach(this::askIfDue);
      pictured.forEach(this::askIfDue);
    }
  }

  /**
   * Only so many at once: a burst of hundreds would hold up the lease's renewal and the users.
   * Those that wait for their time limit do not count: seen during a zone's cut, 260 machines that
   * nobody reached kept the others from being asked, and half of all were heard 4.8 s after the
   * election instead of 1 s.
   */
  private void askIfDue(Machine m) {
    if (youngAsks < MOST_ASKS
        && asks.size() < MOST_SLOW_ASKS
        && !m.commandInFlight
        && now >= m.nextAskMicros) {
      ask(m);
    }
  }

  /**
   * Whether hardly any machine reaches this leader by itself: over the time that ten reports of the
   * fleet take, less than a tenth of them came. That alone may be the machines' fault as well as
   * its own: peers tell.
   */
  boolean unreached() {
    long window =
        Math.max(QUIET_MICROS, REPORTS * settings.reportMicros() / Math.max(1, leased.size()));
    if (now >= windowMicros + window) {
      double expected = (double) (now - windowMicros) * leased.size() / settings.reportMicros();
      unreached =
          windowMicros > takenOverMicros && leased.size() >= FEW && direct * REPORTS < expected;
      windowMicros = now;
      direct = 0;
    }
    return unreached;
  }

  /** How many machines that this leader knows a peer hears. */
  int heardBy(Membership membership) {
    return membership.heardElsewhere(
        id -> {
          Machine m = machines.get(id);
          return m != null && m.phase != Machine.Phase.BOOTING;
        });
  }

  /**
   * Whether this leader seems cut off from its machines: many of those it had heard are silent, and
   * hardly any is not. Dead machines alone do not look like that, and relayed reports count as
   * heard.
   */
  boolean outOfReach() {
    long patience = settings.reportMicros() * 3 / 2 + OUT_OF_REACH_MICROS;
    int silent = 0;
    int heard = 0;
    for (Machine m : machines.values()) {
      if (m.phase == Machine.Phase.HEARD || m.phase == Machine.Phase.FENCING) {
        if (now > m.heardMicros + patience) {
          silent++;
        } else {
          heard++;
        }
      }
    }
    return silent >= 3 && silent > heard * 3;
  }

  /**
   * Shows our token with no orders: that fences older commands and reports at once. Most machines
   * are in their first session; one that is not says so in its refusal, and is asked again with
   * what it said.
   */
  private void ask(Machine m) {
    if (m.address == null || !leadership.mayLaunch(now)) {
      return;
    }
    m.nextAskMicros = now + ASK_AGAIN_MICROS;
    youngAsks++;
    asks.put(m, now);
    m.commandInFlight = true;
    call(
        m,
        new Request.WorkerCommands(m.address, m.token(), Math.max(1, m.session), List.of()),
        List.of(),
        () -> asks.remove(m));
  }

  private List<Order> killsFor(Machine m) {
    List<Order> kills = new ArrayList<>();
    for (Attempt a : m.attempts.values()) {
      if (a.mayBeThere() && (!a.job.open() || a.stop)) {
        kills.add(new Order.Kill(a.task(), a.number, a.job.open() ? a.spec.saveMicros() : 0));
      }
    }
    kills.addAll(m.strays.values());
    return kills;
  }

  /** The job is over: what waits for room goes at once, what may be on machines is killed. */
  void jobOver(Job job) {
    for (Attempt a : new ArrayList<>(job.active.values())) {
      if (a.phase == Attempt.Phase.QUEUED || a.phase == Attempt.Phase.PLANNED) {
        remove(a);
      } else {
        killSoon(a.machine);
      }
    }
    changed = true;
  }

  /**
   * Tells each machine what was decided: in the answer to its report, else by one command at a
   * time.
   */
  void flush(long nowMicros) {
    now = nowMicros;
    boolean mayLaunch = leadership.mayLaunch(now) && standby.admitsLaunches();
    boolean mayKill = leadership.mayEndWork(now);
    for (Machine m : toAnswer) {
      answer(m, mayLaunch);
    }
    toAnswer.clear();
    for (Machine m : new ArrayList<>(toSend)) {
      if (m.toLaunch.isEmpty() && !m.killsPending) {
        toSend.remove(m);
      } else if (!comesThroughPeer(m)) {
        if (mayKill && m.killsPending && mayBeKilledOn(m)) {
          sendKills(m);
        }
        if (mayLaunch
            && !m.toLaunch.isEmpty()
            && !m.commandInFlight
            && m.known()
            && now >= m.holdUntilMicros) {
          sendLaunches(m);
        }
      }
    }
  }

  /**
   * Kills wait for nothing else that is on its way to the machine: not for a launch or a question
   * without an answer, which may take its whole time limit, nor for the pause after one. A kill may
   * be repeated, and may come before or after anything.
   */
  private boolean mayBeKilledOn(Machine m) {
    boolean sessionKnown = m.phase == Machine.Phase.FENCING || m.known();
    return sessionKnown && !m.killInFlight && now >= m.nextKillMicros;
  }

  /**
   * This node may not reach a machine whose reports a peer passes on. Seen with a leader cut from
   * its workers: each command ran into its time limit, and the fence raised for it kept the machine
   * from work. Its next report is soon here.
   */
  private boolean comesThroughPeer(Machine m) {
    return m.relayed && now < m.heardMicros + settings.reportMicros() * 2;
  }

  private void answer(Machine m, boolean mayLaunch) {
    List<Order> orders = killsFor(m);
    orders.addAll(m.reaps.values());
    List<Attempt> launches =
        mayLaunch && m.phase == Machine.Phase.HEARD
            ? launch(m, m.openReport.sequence())
            : List.of();
    answered(m);
    m.killsPending = false;
    long exchange = m.openReport.answered();
    long token = m.token();
    if (launches.isEmpty()) {
      respond(exchange, token, orders);
      return;
    }
    standby.launch(
        () -> {
          leaves();
          ports.respond(
              exchange,
              new Answer.Command(token, withLaunches(orders, launches)),
              leadership.mandate().launchEnd());
        },
        () -> {
          unlaunch(launches);
          respond(exchange, token, orders);
        });
  }

  /** Answers a report with what launches nothing. */
  private void respond(long exchange, long token, List<Order> orders) {
    if (closed) {
      ports.respond(exchange, new Answer.Redirect(null));
    } else {
      ports.respond(exchange, new Answer.Command(token, orders), leadership.mandate().answersEnd());
    }
  }

  private void sendLaunches(Machine m) {
    List<Order> reaps = new ArrayList<>(m.reaps.values());
    List<Attempt> launches = launch(m, -1);
    long token = m.token();
    long session = m.session;
    m.commandInFlight = true;
    standby.launch(
        () -> {
          leaves();
          call(
              m,
              new Request.WorkerCommands(m.address, token, session, withLaunches(reaps, launches)),
              launches,
              () -> {});
        },
        () -> {
          m.commandInFlight = false;
          unlaunch(launches);
        });
  }

  private void sendKills(Machine m) {
    m.killsPending = false;
    List<Order> kills = killsFor(m);
    if (kills.isEmpty()) {
      return;
    }
    m.killInFlight = true;
    ports.call(
        new Request.WorkerCommands(m.address, m.token(), m.session, kills),
        leadership.mandate().answersEnd(),
        reply -> {
          m.killInFlight = false;
          if (closed || m.phase == Machine.Phase.GONE) {
            return;
          }
          // What it shows may have been written before a command that is still on its way arrives.
          if (!absorbReply(m, reply, !m.commandInFlight)) {
            m.nextKillMicros = now + KILL_AGAIN_MICROS;
            killSoon(m);
          }
        });
  }

  /** Takes what is planned for a machine out of its list, to be sent now. */
  private List<Attempt> launch(Machine m, long sequence) {
    List<Attempt> launches = new ArrayList<>(m.toLaunch);
    for (Attempt a : launches) {
      a.phase = Attempt.Phase.SENT;
      a.sentSequence = sequence;
      a.sinceMicros = now;
      tell(a, true);
    }
    m.toLaunch.clear();
    return launches;
  }

  /** What was to be launched has not left, and will not: it is planned as before. */
  private void unlaunch(List<Attempt> launches) {
    for (Attempt a : launches) {
      if (stillSent(a)) {
        a.phase = Attempt.Phase.PLANNED;
        a.machine.toLaunch.add(a);
        toSend.add(a.machine);
      }
    }
  }

  private static boolean stillSent(Attempt a) {
    return a.phase == Attempt.Phase.SENT && a.machine.attempts.get(a.task()) == a;
  }

  /**
   * A launch may wait for the standby: what was cancelled or given up meanwhile is not started any
   * more. The attempt of a cancelled job counts until the machine shows that it is not there, like
   * any other.
   */
  private static List<Order> withLaunches(List<Order> orders, List<Attempt> launches) {
    List<Order> all = new ArrayList<>(orders);
    for (Attempt a : launches) {
      if (a.job.open() && stillSent(a)) {
        all.add(new Order.Launch(a.task(), a.number));
      }
    }
    return all;
  }

  /** A launch leaves, after all that it had to wait for. */
  private void leaves() {
    if (takeOver != null) {
      takeOver.launched(now);
    }
  }

  /** Takes the report that is the reply of a command; false when there is none. */
  private boolean absorbReply(Machine m, Reply reply, boolean settles) {
    if (!(reply instanceof Reply.Report answer) || !answer.report().machine().equals(m.id)) {
      return false;
    }
    if (answer.report().token() >> 20 > term) {
      leadership.deposed("machine " + m.id + " has seen token " + answer.report().token());
      return true;
    }
    absorb(m, answer.report(), false, settles);
    if (!answer.executed()) {
      m.nextAskMicros = now;
    }
    return true;
  }

  private void call(Machine m, Request request, List<Attempt> launches, Runnable over) {
    Mandate mandate = leadership.mandate();
    ports.call(
        request,
        launches.isEmpty() ? mandate.answersEnd() : mandate.launchEnd(),
        reply -> {
          m.commandInFlight = false;
          over.run();
          if (closed || m.phase == Machine.Phase.GONE) {
            return;
          }
          if (!m.toLaunch.isEmpty() || m.killsPending) {
            toSend.add(m);
          }
          if (launches.stream().anyMatch(a -> !a.job.open())) {
            // A kill that was sent meanwhile may have come before the launch.
            killSoon(m);
          }
          if (!absorbReply(m, reply, true)) {
            unanswered(m, !launches.isEmpty(), reply);
          }
        });
  }

  /**
   * The command may still arrive, minutes later: kill it with a higher token before anything is
   * concluded.
   */
  private void unanswered(Machine m, boolean launched, Reply reply) {
    if (launched && (m.phase == Machine.Phase.HEARD || m.phase == Machine.Phase.PICTURED)) {
      m.raiseFence();
      tokens.remove(m);
      // It may be out of this node's reach while its reports still come, relayed: no more launches
      // for a while.
      m.holdUntilMicros = now + UNREACHED_MICROS;
    }
    if (launched && m.phase == Machine.Phase.HEARD) {
      ports.info(
          "no answer from "
              + m.id
              + " to a command: raising its fence, term="
              + term
              + ": "
              + reply);
      become(m, Machine.Phase.FENCING);
    }
    m.nextAskMicros = Math.max(m.nextAskMicros, now + (launched ? 500_000 : 300_000));
  }
}
