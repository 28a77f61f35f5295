package org.eiderstair.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;

/**
 * The ordinary path: a task takes a uniformly random token whose machine fits it, else a random fitting
 * machine with a short queue, else it waits here. Jobs go by priority; a team inside its guarantee goes first
 * among equals, then the older job.
 */
final class Placement {
  private static final int MOST_KILLS = 8;
  private static final long PREEMPT_AGAIN_MICROS = 30_000_000;
  private static final long PREEMPT_AFTER_MICROS = 60_000_000;

  private final Settings settings;
  private final Ports ports;
  private final Replica replica;
  private final Fleet fleet;
  private final TokenList tokens;
  private final long term;
  private final Demand demand;
  private final IntUnaryOperator random;
  private Teams teams;

  Placement(Settings settings, Ports ports, Replica replica, Fleet fleet, TokenList tokens, long term,
      Demand demand, IntUnaryOperator random) {
    this.demand = demand;
    this.settings = settings;
    this.ports = ports;
    this.replica = replica;
    this.fleet = fleet;
    this.tokens = tokens;
    this.term = term;
    this.random = random;
  }

  /** Counts what every team may be using, unheard machines included. */
  Teams measure() {
    Teams measured = new Teams(settings);
    double unheardCpus = 0;
    double unheardAccelerators = 0;
    for (Machine m : fleet.machines.values()) {
      if (m.phase == Machine.Phase.UNHEARD) {
        unheardCpus += m.type == null ? Double.MAX_VALUE : m.type.cpus();
        unheardAccelerators += m.type == null ? Double.MAX_VALUE : m.type.accelerators();
      }
      for (Attempt a : m.attempts.values()) {
        if (a.spec != null) {
          measured.add(a.spec, 1);
        }
      }
      m.measureRoom();
    }
    measured.unheard(unheardCpus, unheardAccelerators);
    return measured;
  }

  /** Jobs with something to place now, in the order of service. */
  List<Job> order(long nowMicros, Set<Job> guaranteed) {
    boolean unheard = fleet.anyUnheard();
    List<Job> jobs = new ArrayList<>();
    Map<Job, Integer> rank = new HashMap<>();
    for (Job job : replica.open.values()) {
      boolean heldBack = unheard && job.version() < term;
      if (!heldBack && nowMicros >= job.notBeforeMicros && (job.waiting() > 0 || job.hasQueued())) {
        jobs.add(job);
        rank.put(job, guaranteed.contains(job) ? 0 : 1);
      }
    }
    jobs.sort(Comparator.comparing((Job j) -> j.spec().priority()).thenComparing(rank::get)
        .thenComparing(Job::version));
    return jobs;
  }

  void place(long nowMicros) {
    teams = measure();
    demand.reserve(teams);
    Set<Job> guaranteed = guaranteed();
    List<Job> jobs = order(nowMicros, guaranteed);
    JobSpec.Priority highest = jobs.isEmpty() ? JobSpec.Priority.LOW : jobs.get(0).spec().priority();
    serveQueues(highest, nowMicros);
    int kills = 0;
    for (Job job : jobs) {
      place(job, nowMicros);
      if (kills < MOST_KILLS && (job.waiting() > 0 || job.hasQueued())) {
        kills += preempt(job, guaranteed, nowMicros, MOST_KILLS - kills);
      }
    }
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
  private Set<Job> guaranteed() {
    Set<Job> inside = new HashSet<>();
    Map<String, Double> taken = new HashMap<>();
    List<Job> byAge = new ArrayList<>(replica.open.values());
    byAge.sort(Comparator.comparing(Job::version));
    for (Job job : byAge) {
      Settings.Team team = settings.teams().get(job.spec().team());
      double cpus = taken.merge(job.spec().team(), job.unfinished() * job.spec().cpus(), Double::sum);
      if (team != null && team.cpus() > 0 && cpus <= team.cpus()) {
        inside.add(job);
      }
    }
    return inside;
  }

  /**
   * Stops work of other teams beyond their guarantees when a job inside its own team's guarantee has waited for a
   * while. A job that is itself inside a guarantee is spared: it would be placed again at once, before the one it
   * was stopped for (seen in an incident: the same tasks were stopped three times in a second). Work of lower priority is not stopped for priority alone: see docs/design.md for the figures.
   */
  private int preempt(Job job, Set<Job> guaranteed, long nowMicros, int most) {
    JobSpec spec = job.spec();
    long waitedSince = Math.max(job.seenMicros + PREEMPT_AFTER_MICROS, job.preemptedMicros + PREEMPT_AGAIN_MICROS);
    if (!guaranteed.contains(job) || nowMicros < waitedSince || !teams.allowsOneMore(spec)) {
      return 0;
    }
    job.preemptedMicros = nowMicros;
    double needed = 0;
    for (Attempt a : job.active.values()) {
      needed += a.phase == Attempt.Phase.QUEUED ? spec.cpus() : 0;
    }
    needed += job.waiting() * spec.cpus();
    Predicate<Machine> allowed = allowed(job, zonesOf(job), nowMicros);
    List<Attempt> victims = new ArrayList<>();
    for (Machine m : fleet.machines.values()) {
      for (Attempt a : m.attempts.values()) {
        if (a.stop && allowed.test(m)) {
          needed -= a.spec.cpus();
        } else if (a.phase == Attempt.Phase.SEEN && a.spec != null && a.job.open() && !a.stop && allowed.test(m)
            && !guaranteed.contains(a.job) && spec.priority().compareTo(a.spec.priority()) <= 0 && !a.spec.team().equals(spec.team())
            && teams.beyondGuarantee(a.spec.team()) >= a.spec.cpus()) {
          victims.add(a);
        }
      }
    }
    // The least important first, and of those the one that loses the least work.
    victims.sort(Comparator.comparing((Attempt a) -> a.spec.priority()).reversed()
        .thenComparing(a -> -a.runningSinceMicros));
    int kills = 0;
    for (Attempt victim : victims) {
      if (needed <= 0 || kills >= most) {
        break;
      }
      victim.stop = true;
      victim.machine.killsPending = true;
      needed -= victim.spec.cpus();
      kills++;
      ports.info("stopping " + victim.task() + " on " + victim.machine.id + " for " + job.id + " of team "
          + spec.team() + ", term=" + term);
    }
    return kills;
  }

  /** A machine's own queue goes first, but never before waiting work of a higher priority. */
  private void serveQueues(JobSpec.Priority highest, long nowMicros) {
    for (Machine m : fleet.machines.values()) {
      for (Attempt a : new ArrayList<>(m.queue)) {
        boolean yields = a.spec.priority().compareTo(highest) > 0;
        if (yields || !a.job.open()) {
          fleet.remove(a);
        } else if (m.usable(nowMicros) && m.fits(a.spec)) {
          m.queue.remove(a);
          a.phase = Attempt.Phase.PLANNED;
          m.take(a.spec);
          m.toLaunch.add(a);
        }
      }
    }
  }

  private void place(Job job, long nowMicros) {
    JobSpec spec = job.spec();
    int most = job.failedOn.size() >= 3 ? 1 : Integer.MAX_VALUE;
    Map<String, Integer> perZone = zonesOf(job);
    leaveQueues(job, perZone, nowMicros);
    for (int index = job.nextFree(0); index >= 0; index = job.nextFree(index + 1)) {
      if (job.active.size() >= most || !teams.allowsOneMore(spec) || !teams.leavesReserve(spec)) {
        return;
      }
      Predicate<Machine> allowed = allowed(job, perZone, nowMicros);
      Predicate<Machine> good = allowed.and(m -> !job.failedOn.contains(m.id));
      Machine m = draw(job, good);
      if (m == null && !job.failedOn.isEmpty()) {
        // Every machine that is left has failed this job: rather one of those than never.
        m = draw(job, allowed);
      }
      Attempt.Phase phase = Attempt.Phase.PLANNED;
      if (m == null) {
        m = shortQueue(good);
        phase = Attempt.Phase.QUEUED;
      }
      if (m == null) {
        return;
      }
      put(job, index, m, phase, nowMicros);
      perZone.merge(m.zone, 1, Integer::sum);
    }
  }

  /** A token beats a place in a queue: what waits for one machine takes another that has room first. */
  private void leaveQueues(Job job, Map<String, Integer> perZone, long nowMicros) {
    for (Attempt a : new ArrayList<>(job.active.values())) {
      if (a.phase != Attempt.Phase.QUEUED) {
        continue;
      }
      perZone.merge(a.machine.zone, -1, Integer::sum);
      Machine m = draw(job, allowed(job, perZone, nowMicros).and(x -> !job.failedOn.contains(x.id)));
      if (m == null) {
        perZone.merge(a.machine.zone, 1, Integer::sum);
        return;
      }
      fleet.remove(a);
      put(job, a.index, m, Attempt.Phase.PLANNED, nowMicros);
      perZone.merge(m.zone, 1, Integer::sum);
    }
  }

  private Predicate<Machine> allowed(Job job, Map<String, Integer> perZone, long nowMicros) {
    JobSpec spec = job.spec();
    String only = spec.oneZone() ? chosenZone(job, perZone, nowMicros) : null;
    return m -> m.usable(nowMicros) && m.allows(spec)
        && (only == null || only.equals(m.zone))
        && (!spec.spread() || perZone.getOrDefault(m.zone, 0) < spec.mostPerZone());
  }

  /**
   * The paper's uniform draw, among the tokens that suit best: machines that the demand still asks for; cheap machines for work that may use them, so that
   * the others stay free for work that may not, or can be returned; then those that have the image; then those
   * already in use.
   */
  private Machine draw(Job job, Predicate<Machine> allowed) {
    JobSpec spec = job.spec();
    return tokens.draw(allowed.and(m -> m.fits(spec)), m -> (m.surplus ? 0 : 8) + (m.spot ? 4 : 0)
        + (m.images.contains(spec.image()) ? 2 : 0) + (m.attempts.isEmpty() ? 0 : 1), random);
  }

  private void put(Job job, int index, Machine m, Attempt.Phase phase, long nowMicros) {
    Attempt a = new Attempt(job, index, fleet.nextAttempt(), m, phase, nowMicros);
    job.active.put(index, a);
    m.attempts.put(a.task(), a);
    teams.add(a.spec, 1);
    if (phase == Attempt.Phase.QUEUED) {
      m.queue.add(a);
      return;
    }
    m.take(a.spec);
    m.toLaunch.add(a);
    if (!m.hasRoom()) {
      tokens.remove(m);
    }
  }

  private Machine shortQueue(Predicate<Machine> allowed) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine m : fleet.machines.values()) {
      if (m.queue.size() < settings.tuning().machineQueue() && allowed.test(m)) {
        candidates.add(m);
      }
    }
    return candidates.isEmpty() ? null : candidates.get(random.applyAsInt(candidates.size()));
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
    for (Machine m : fleet.machines.values()) {
      if (m.usable(nowMicros) && m.allows(job.spec())) {
        room.merge(m.zone, m.freeCpus(), Double::sum);
      }
    }
    return room.entrySet().stream().max(Map.Entry.<String, Double>comparingByValue()
        .thenComparing(Map.Entry.comparingByKey())).map(Map.Entry::getKey).orElse("");
  }
}
