package org.eiderstair.core;

import java.util.function.IntUnaryOperator;

/** Everything that a leader does in one term. A new term starts with a new one: nothing is carried over. */
final class Scheduler implements Ledger.Listener {
  private final Leadership leadership;
  private final Replica replica;
  private final Ledger ledger;
  private final TokenList tokens;
  private final Fleet fleet;
  private final Placement placement;
  private final Renting renting;
  private final long term;
  private boolean started;
  private long now;

  Scheduler(Settings settings, Ports ports, Replica replica, Leadership leadership, long term,
      IntUnaryOperator random) {
    this.leadership = leadership;
    this.replica = replica;
    this.term = term;
    this.ledger = new Ledger(settings, ports, replica, term, this);
    this.tokens = new TokenList(settings.tuning().tokenListSize());
    this.fleet = new Fleet(settings, ports, replica, leadership, ledger, tokens, term);
    Demand demand = new Demand(settings, replica);
    this.placement = new Placement(settings, ports, replica, fleet, tokens, term, demand, random);
    this.renting = new Renting(settings, ports, replica, fleet, leadership, demand, term);
  }

  void close() {
    ledger.close();
    fleet.close();
    renting.close();
  }

  Answer reported(MachineReport report, long nowMicros) {
    if (!started) {
      return new Answer.Failure(503, "taking over", 0);
    }
    Answer answer = fleet.reported(report, nowMicros);
    tick(nowMicros);
    return answer;
  }

  void jobChanged(Job job) {
    if (started) {
      if (!job.open()) {
        fleet.jobOver(job);
      }
      fleet.changed = true;
    }
  }

  void tick(long nowMicros) {
    now = nowMicros;
    if (!started) {
      // What an earlier term wrote last must be in the picture, above all its roster and its newest jobs.
      if (replica.revision() < term) {
        return;
      }
      started = true;
      replica.jobs.values().forEach(Job::forgetPlaces);
      fleet.takeOver(now);
    }
    fleet.tick(now);
    if (fleet.outOfReach()) {
      leadership.giveUp("most machines have not been heard for a while");
      return;
    }
    renting.tick(now);
    if (leadership.mayCommand(now) && (fleet.changed || replica.open.values().stream()
        .anyMatch(j -> j.notBeforeMicros > 0 && j.waiting() > 0 && now >= j.notBeforeMicros))) {
      fleet.changed = false;
      placement.place(now);
    }
    fleet.flush(now);
    ledger.tick(now);
  }

  @Override
  public void jobFinished(Job job) {
    fleet.changed = true;
  }

  @Override
  public void rosterWritten(String machine) {
    fleet.rostered(machine);
  }
}
