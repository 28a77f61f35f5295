package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.AvailableMachines;
import org.eiderstair.core.workers.WorkerManager;

/**
 * The ordinary path: a task takes a uniformly random token whose machine fits it, else a random
 * fitting machine with a short queue, else it waits here. Jobs go by priority; a team inside its
 * guarantee goes first among equals, then the older job.
 */
public final class Placement {
  private static final int MAX_KILLS = 8;
  private static final int QUEUE_PROBES = 8;
  private static final int LIKINGS = 16;
  private static final long GUARANTEED_EVERY_MICROS = 500_000;
  private static final long PREEMPT_AGAIN_MICROS = 30_000_000;
  private static final long PREEMPT_AFTER_MICROS = 60_000_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final WorkerManager workers;
  private final AvailableMachines availableMachines;
  private final TeamQuotas teams;
  private final long term;
  private final Demand demand;
  private final IntUnaryOperator random;
  private Set<Job> guaranteed = new HashSet<>();
  private long nextGuaranteedMicros;

  /**
   * What found no token in this pass; room only shrinks in a pass, so its like need not be tried
   * again in it.
   */
  private final List<JobSpec> unplaceable = new ArrayList<>();

  private long steps;
  private final StarvationGuard starvationGuard;

  public Placement(
      Settings settings,
      EffectSink sink,
      Replica replica,
      WorkerManager workers,
      AvailableMachines availableMachines,
      TeamQuotas teams,
      long term,
      Demand demand,
      IntUnaryOperator random) {
    this.demand = demand;
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.workers = workers;
    this.availableMachines = availableMachines;
    this.teams = teams;
    this.term = term;
    this.random = random;
    this.starvationGuard = new StarvationGuard(what -> sink.info(what + ", term=" + term));
    workers.onJobStarted(starvationGuard::noteStarted);
  }

  /** Tokens, machines and jobs looked at so far: what a test of growing cost counts. */
  public long steps() {
    return steps;
  }

  /**
   * What unconfirmed machines may hold for each team: no more than the tasks of its older jobs that
   * are neither done nor seen, nor more than those machines' room. Of cancelled jobs, all that a
   * worker may still run counts; after {@code cancel_s} nothing of one is anywhere. A finished job
   * has nothing left to run.
   */
  private void measureUnheard(long nowMicros) {
    teams.clearUnconfirmed();
    if (workers.unconfirmed().isEmpty()) {
      return;
    }
    double cpus = 0;
    double accelerators = 0;
    for (Machine m : workers.unconfirmed()) {
      cpus += m.type == null ? Double.MAX_VALUE : m.type.cpus();
      accelerators += m.type == null ? Double.MAX_VALUE : m.type.accelerators();
    }
    for (Job job : replica.open.values()) {
      if (job.version() < term) {
        teams.unconfirmed(job.spec(), job.waiting());
      }
    }
    for (Job job : replica.cancelledLately(nowMicros)) {
      teams.unconfirmed(job.spec(), job.tasks());
    }
    teams.capUnconfirmed(cpus, accelerators);
  }

  /** Jobs with something to place now, in the order of service. */
  List<Job> order(long nowMicros) {
    boolean unconfirmed = !workers.unconfirmed().isEmpty();
    List<Job> jobs = new ArrayList<>();
    steps += replica.open.size();
    for (Job job : replica.open.values()) {
      job.rank = rank(job);
      boolean heldBack = unconfirmed && job.version() < term;
      if (!heldBack && nowMicros >= job.notBeforeMicros && (job.waiting() > 0 || job.hasQueued())) {
        jobs.add(job);
      }
    }
    jobs.sort(Comparator.comparingInt((Job j) -> j.rank).thenComparing(Job::version));
    return jobs;
  }

  /**
   * The order of service, the smallest first: by priority, among equals those inside their team's
   * guarantee. Work of low priority inside a guarantee goes with the ordinary work that is inside
   * one, since a guarantee holds against what other teams borrow, whatever its priority.
   */
  private int rank(Job job) {
    if (starvationGuard.isBoosted(job)) {
      return -1;
    }
    JobSpec.Priority priority = job.spec().priority();
    if (!guaranteed.contains(job)) {
      return priority.ordinal() * 2 + 1;
    }
    return Math.min(priority.ordinal(), JobSpec.Priority.NORMAL.ordinal()) * 2;
  }

  /** Makes one pass: places what can be placed now. */
  public void place(long nowMicros) {
    measureUnheard(nowMicros);
    teams.forgetReserves();
    demand.reserve(teams);
    if (nowMicros >= nextGuaranteedMicros) {
      nextGuaranteedMicros = nowMicros + GUARANTEED_EVERY_MICROS;
      guaranteed = guaranteed();
      starvationGuard.update(replica.open.values(), this::cpusInUse, nowMicros);
    }
    unplaceable.clear();
    List<Job> jobs = order(nowMicros);
    serveQueues(jobs.isEmpty() ? Integer.MAX_VALUE : jobs.get(0).rank, nowMicros);
    int kills = 0;
    for (Job job : jobs) {
      place(job, nowMicros);
      if (kills < MAX_KILLS && (job.waiting() > 0 || job.hasQueued())) {
        kills += preempt(job, guaranteed, nowMicros, MAX_KILLS - kills);
      }
    }
    // What gave way to more urgent work takes the room that is left.
    serveQueues(Integer.MAX_VALUE, nowMicros);
    workers.queuesToServe().clear();
  }

  private double cpusInUse() {
    double cpus = 0;
    for (Machine m : workers.queueable()) {
      cpus += m.type.cpus();
    }
    return cpus;
  }

  /**
   * One line for operators: what waits, by class and team, what each team uses, and how much room
   * is left.
   */
  public String summary(long nowMicros) {
    Map<String, Integer> waiting = new TreeMap<>();
    for (Job job : replica.open.values()) {
      if (job.waiting() + job.queued.size() > 0) {
        JobSpec spec = job.spec();
        String why =
            !teams.allowsOneMore(spec)
                ? " at its limit"
                : !teams.leavesReserve(spec) ? " at its reservation" : "";
        waiting.merge(
            spec.jobClass() + " of " + spec.team() + why,
            job.waiting() + job.queued.size(),
            Integer::sum);
      }
    }
    double free = 0;
    for (Machine m : availableMachines.all()) {
      free += m.usable(nowMicros) ? m.freeCpus() : 0;
    }
    return "machines "
        + workers.machines().size()
        + ", unconfirmed "
        + workers.unconfirmed().size()
        + ", available machines "
        + availableMachines.all().size()
        + ", free cpus "
        + Math.round(free)
        + ", used by teams "
        + Math.round(teams.totalCpus())
        + ", waiting "
        + waiting
        + starvationGuard.summary();
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
  private Set<Job> guaranteed() {
    Set<Job> inside = new HashSet<>();
    Map<String, Double> taken = new HashMap<>();
    List<Job> byAge = new ArrayList<>(replica.open.values());
    byAge.sort(Comparator.comparing(Job::version));
    for (Job job : byAge) {
      Settings.Team team = settings.teams().get(job.spec().team());
      double cpus =
          taken.merge(job.spec().team(), job.unfinished() * job.spec().cpus(), Double::sum);
      if (team != null && team.cpus() > 0 && cpus <= team.cpus()) {
        inside.add(job);
      }
    }
    return inside;
  }

  /**
   * Stops work of other teams beyond their guarantees when a job inside its own team's guarantee
   * has waited for a while. A job that is itself inside a guarantee is spared: it would be placed
   * again at once, before the one it was stopped for (seen in an incident: the same tasks were
   * stopped three times in a second). Work of lower priority is not stopped for priority alone: see
   * docs/design.md for the figures.
   */
  private int preempt(Job job, Set<Job> guaranteed, long nowMicros, int most) {
    JobSpec spec = job.spec();
    long waitedSince =
        Math.max(job.seenMicros + PREEMPT_AFTER_MICROS, job.preemptedMicros + PREEMPT_AGAIN_MICROS);
    if (!guaranteed.contains(job) || nowMicros < waitedSince || !teams.allowsOneMore(spec)) {
      return 0;
    }
    job.preemptedMicros = nowMicros;
    double needed = 0;
    needed += (job.waiting() + job.queued.size()) * spec.cpus();
    Predicate<Machine> allowed = allowed(job, zonesOf(job), nowMicros);
    List<Attempt> victims = new ArrayList<>();
    for (Machine m : workers.machines().values()) {
      for (Attempt a : m.attempts.values()) {
        if (a.stopRequested && allowed.test(m)) {
          needed -= a.spec.cpus();
        } else if (a.phase == Attempt.Phase.REPORTED
            && a.job.open()
            && !a.stopRequested
            && allowed.test(m)
            && !guaranteed.contains(a.job)
            && spec.priority().compareTo(a.spec.priority()) <= 0
            && !a.spec.team().equals(spec.team())
            && teams.beyondGuarantee(a.spec.team()) >= a.spec.cpus()) {
          victims.add(a);
        }
      }
    }
    // The least important first, and of those the one that loses the least work.
    victims.sort(
        Comparator.comparing((Attempt a) -> a.spec.priority())
            .reversed()
            .thenComparing(a -> -a.runningSinceMicros));
    int kills = 0;
    for (Attempt victim : victims) {
      if (needed <= 0 || kills >= most) {
        break;
      }
      victim.stopRequested = true;
      workers.killSoon(victim.machine);
      needed -= victim.spec.cpus();
      kills++;
      sink.info(
          "preempting task="
              + victim.task()
              + " on machine="
              + victim.machine.id
              + " for job="
              + job.id
              + " team="
              + spec.team()
              + ", term="
              + term);
    }
    return kills;
  }

  /** A machine's own queue goes first, but never before waiting work that is more urgent. */
  private void serveQueues(int first, long nowMicros) {
    for (Machine m : workers.queuesToServe()) {
      for (Attempt a : new ArrayList<>(m.queue)) {
        steps++;
        if (!a.job.open()) {
          workers.remove(a);
        } else if (a.job.rank > first || !m.usable(nowMicros) || !m.fits(a.spec)) {
          // Nothing behind it goes ahead: room may be gathering for this one.
          break;
        } else if (mayHaveOneMore(a.job)) {
          workers.occupy(a);
        }
      }
    }
  }

  private boolean mayHaveOneMore(Job job) {
    return teams.allowsOneMore(job.spec())
        && (teams.leavesReserve(job.spec()) || starvationGuard.isBoosted(job));
  }

  private void place(Job job, long nowMicros) {
    JobSpec spec = job.spec();
    int most = job.failedOn.size() >= 3 ? 1 : Integer.MAX_VALUE;
    Map<String, Integer> perZone = zonesOf(job);
    leaveQueues(job, perZone, nowMicros);
    Candidates candidates = null;
    for (int index = job.nextFree(0); index >= 0; index = job.nextFree(index + 1)) {
      if (job.active.size() >= most || !mayHaveOneMore(job)) {
        return;
      }
      Predicate<Machine> allowed = allowed(job, perZone, nowMicros);
      if (candidates == null || spec.oneZone() || spec.spread()) {
        candidates = candidates(job, allowed);
      }
      Machine m = candidates.draw(random);
      Attempt.Phase phase = Attempt.Phase.PLANNED;
      if (m == null) {
        m = shortQueue(job, allowed);
        phase = Attempt.Phase.QUEUED;
      }
      if (m == null) {
        return;
      }
      workers.attach(new Attempt(job, index, workers.nextAttempt(), m, phase, nowMicros));
      perZone.merge(m.zone, 1, Integer::sum);
    }
  }

  /**
   * A token beats a place in a queue: what waits for one machine takes another that has room first.
   */
  private void leaveQueues(Job job, Map<String, Integer> perZone, long nowMicros) {
    if (!job.hasQueued()) {
      return;
    }
    JobSpec spec = job.spec();
    Candidates candidates = null;
    if (!spec.oneZone() && !spec.spread()) {
      // Most often there is no token for any of them, and then nothing is gone through.
      candidates = candidates(job, allowed(job, perZone, nowMicros));
      if (candidates.none()) {
        return;
      }
    }
    // Not all that the job has somewhere: copying those cost 80 KB a pass for a job of 16,000
    // tasks.
    for (Attempt a : new ArrayList<>(job.queued)) {
      if (!mayHaveOneMore(job)) {
        return;
      }
      perZone.merge(a.machine.zone, -1, Integer::sum);
      if (candidates == null || spec.oneZone() || spec.spread()) {
        candidates = candidates(job, allowed(job, perZone, nowMicros));
      }
      Machine m = candidates.draw(random);
      if (m == null) {
        perZone.merge(a.machine.zone, 1, Integer::sum);
        return;
      }
      workers.remove(a);
      workers.attach(
          new Attempt(job, a.index, workers.nextAttempt(), m, Attempt.Phase.PLANNED, nowMicros));
      perZone.merge(m.zone, 1, Integer::sum);
    }
  }

  private Predicate<Machine> allowed(Job job, Map<String, Integer> perZone, long nowMicros) {
    JobSpec spec = job.spec();
    String only = spec.oneZone() ? chosenZone(job, perZone, nowMicros) : null;
    return m ->
        isOpenTo(m, spec, nowMicros)
            && (only == null || only.equals(m.zone))
            && (!spec.spread() || perZone.getOrDefault(m.zone, 0) < spec.maxPerZone());
  }

  private static boolean isOpenTo(Machine m, JobSpec spec, long nowMicros) {
    return m.usable(nowMicros) && m.allows(spec) && !(m.reservedForOnDemand && spec.spotAllowed());
  }

  /**
   * The tokens that fit a job's tasks, by how well they suit: machines that the demand still asks
   * for; cheap machines for work that may use them, so that the others stay free for work that may
   * not, or can be returned; then those that have the image; then those already in use. Looked up
   * once for all of a job's tasks.
   */
  private final class Candidates {
    private final JobSpec spec;
    private List<List<Machine>> byLiking;
    private int best = -1;

    /** It is known of its like that there is no token. */
    private boolean known;

    Candidates(JobSpec spec) {
      this.spec = spec;
    }

    void add(Machine m) {
      int liking =
          (m.excess ? 0 : 8)
              + (m.spot ? 4 : 0)
              + (m.hasImage(spec) ? 2 : 0)
              + (m.attempts.isEmpty() ? 0 : 1);
      if (byLiking == null) {
        byLiking = new ArrayList<>(Collections.nCopies(LIKINGS, null));
      }
      List<Machine> equals = byLiking.get(liking);
      if (equals == null) {
        equals = new ArrayList<>();
        byLiking.set(liking, equals);
      }
      equals.add(m);
      best = Math.max(best, liking);
    }

    /** Whether there is none; its like need not be tried again in this pass. */
    boolean none() {
      if (best < 0 && !known && !spec.oneZone() && !spec.spread()) {
        known = true;
        unplaceable.add(spec);
      }
      return best < 0;
    }

    /** The paper's uniform draw, among those that suit best; null when none is left. */
    Machine draw(IntUnaryOperator random) {
      while (best >= 0) {
        List<Machine> equals = byLiking.get(best);
        if (equals == null || equals.isEmpty()) {
          best--;
          continue;
        }
        steps++;
        int drawn = random.applyAsInt(equals.size());
        Machine m = equals.get(drawn);
        if (!m.fits(spec)) {
          equals.set(drawn, equals.get(equals.size() - 1));
          equals.remove(equals.size() - 1);
          continue;
        }
        return m;
      }
      none();
      return null;
    }
  }

  private Candidates candidates(Job job, Predicate<Machine> allowed) {
    JobSpec spec = job.spec();
    Candidates found = new Candidates(spec);
    for (JobSpec tried : unplaceable) {
      steps++;
      if (needsNoLess(spec, tried)) {
        found.known = true;
        return found;
      }
    }
    steps += availableMachines.all().size();
    boolean avoiding = false;
    for (Machine m : availableMachines.all()) {
      if (m.fits(spec) && allowed.test(m) && !isKept(m, job)) {
        if (job.failedOn.contains(m.id)) {
          avoiding = true;
        } else {
          found.add(m);
        }
      }
    }
    if (avoiding && found.best < 0) {
      // Every machine that is left has failed this job: rather one of those than never.
      availableMachines.all().stream()
          .filter(m -> m.fits(spec) && allowed.test(m))
          .forEach(found::add);
    }
    return found;
  }

  /**
   * Room that gathers for a more urgent task in the machine's queue. Seen after a burst: as every
   * processor that came free went to a small task of low priority, no machine ever had room for the
   * larger ones that were more urgent.
   */
  private static boolean isKept(Machine m, Job job) {
    return !m.queue.isEmpty() && m.queue.get(0).job.rank < job.rank;
  }

  /** Whether a machine that fits the first would also fit the second. */
  private static boolean needsNoLess(JobSpec spec, JobSpec tried) {
    return spec.cpus() >= tried.cpus()
        && spec.memoryGb() >= tried.memoryGb()
        && spec.accelerators() >= tried.accelerators()
        && (tried.spotAllowed() || !spec.spotAllowed())
        && (tried.zone() == null || tried.zone().equals(spec.zone()))
        && (tried.machineTypes() == null || tried.machineTypes().equals(spec.machineTypes()));
  }

  /**
   * Of a few random machines with a short queue the one with the most room: so it is found in few
   * looks. A queue is short for a task if what is less urgent gives way: that goes back to the
   * common queue.
   */
  private Machine shortQueue(Job job, Predicate<Machine> allowed) {
    List<Machine> all = workers.queueable();
    Machine best = null;
    for (int i = 0; i < QUEUE_PROBES && !all.isEmpty(); i++) {
      steps++;
      Machine m = all.get(random.applyAsInt(all.size()));
      if (isShort(m.queue, job)
          && allowed.test(m)
          && !job.failedOn.contains(m.id)
          && (best == null || suitsQueue(m, job) > suitsQueue(best, job))) {
        best = m;
      }
    }
    if (best != null && best.queue.size() >= settings.tuning().machineQueue()) {
      workers.remove(best.queue.get(best.queue.size() - 1));
    }
    return best;
  }

  /** One that has the image, and of those the one with the most room. */
  private static double suitsQueue(Machine m, Job job) {
    return m.freeCpus() + (m.hasImage(job.spec()) ? m.type.cpus() : 0);
  }

  private boolean isShort(List<Attempt> queue, Job job) {
    int most = settings.tuning().machineQueue();
    return queue.size() < most || most > 0 && queue.get(queue.size() - 1).job.rank > job.rank;
  }

  private Map<String, Integer> zonesOf(Job job) {
    Map<String, Integer> zones = new HashMap<>();
    if (job.spec().oneZone() || job.spec().spread()) {
      for (Attempt a : job.active.values()) {
        zones.merge(a.machine.zone, 1, Integer::sum);
      }
    }
    return zones;
  }

  /** The zone of the job's other tasks; for a job with none, the zone with the most room for it. */
  private String chosenZone(Job job, Map<String, Integer> perZone, long nowMicros) {
    if (!perZone.isEmpty()) {
      for (Map.Entry<String, Integer> zone : perZone.entrySet()) {
        if (zone.getValue() > 0) {
          return zone.getKey();
        }
      }
    }
    Map<String, Double> room = new HashMap<>();
    for (Machine m : workers.machines().values()) {
      if (isOpenTo(m, job.spec(), nowMicros)) {
        room.merge(m.zone, m.freeCpus(), Double::sum);
      }
    }
    return room.entrySet().stream()
        .max(Map.Entry.<String, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey)
        .orElse("");
  }
}
