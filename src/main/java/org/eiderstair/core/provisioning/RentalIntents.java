package org.eiderstair.core.provisioning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The open rentals of this term and earlier terms. A rental is open from its decision until all its
 * machines are registered or terminated, or the cloud grants none.
 */
final class RentalIntents {
  private static final int MAX_CONCURRENT_REQUESTS = 4;
  private static final long RETRY_DELAY_MICROS = 1_500_000;

  private final ProvisioningTerm term;
  private final ProvisioningHost host;
  private final ProvisioningRecords records;
  private final Predicate<String> isReleasing;
  private final Runnable onProgress;
  private final Map<String, RentalIntent> open = new LinkedHashMap<>();
  private final Map<String, RentalIntent> byMachine = new HashMap<>();
  private int concurrentRequests;

  /**
   * @param isReleasing whether a machine is being released and therefore does not count as booting
   * @param onProgress runs when the recovery of earlier terms may be complete
   */
  RentalIntents(
      ProvisioningTerm term,
      ProvisioningRecords records,
      Predicate<String> isReleasing,
      Runnable onProgress) {
    this.term = term;
    this.host = term.host();
    this.records = records;
    this.isReleasing = isReleasing;
    this.onProgress = onProgress;
  }

  int openCount() {
    return open.size();
  }

  /** Returns whether the machines of every rental of an earlier term are known. */
  boolean earlierTermsRecovered() {
    for (RentalIntent rental : open.values()) {
      if (rental.term() != term.number() && rental.state() != RentalIntent.State.GRANTED) {
        return false;
      }
    }
    return true;
  }

  /** Returns the rentals whose machines are not known yet. */
  List<RentalRequest> pending() {
    List<RentalRequest> pending = new ArrayList<>();
    for (RentalIntent rental : open.values()) {
      if (rental.state() != RentalIntent.State.GRANTED) {
        pending.add(rental.request());
      }
    }
    return pending;
  }

  /** Resumes a rental of an earlier term. */
  void resume(RentalIntent rental) {
    open.put(rental.requestId(), rental);
    if (rental.state() == RentalIntent.State.GRANTED) {
      trackMachines(rental);
    }
  }

  /** Starts a rental; the machines are requested once the intent is durable. */
  void decide(RentalOption option, int count) {
    RentalRequest request = new RentalRequest("r-" + term.nextName(), option, count);
    RentalIntent rental =
        new RentalIntent(
            request, term.number(), term.wallClockMicros(), RentalIntent.State.DECIDED);
    open.put(rental.requestId(), rental);
    records.write(rental, () -> transition(rental, RentalIntent.State.DURABLE, "record durable"));
  }

  /** Requests the machines of each rental that is durable and due. */
  void requestDue() {
    for (RentalIntent rental : open.values()) {
      if (rental.isDue(term.nowMicros())
          && concurrentRequests < MAX_CONCURRENT_REQUESTS
          && host.mayCallCloud()) {
        request(rental);
      }
    }
  }

  private void request(RentalIntent rental) {
    transition(rental, RentalIntent.State.REQUESTED, "sending rental request");
    concurrentRequests++;
    host.requestMachines(
        rental.request(),
        new RentalResponseHandler() {
          @Override
          public void granted(List<String> machines) {
            concurrentRequests--;
            if (!term.isClosed()) {
              RentalIntents.this.granted(rental, machines);
            }
          }

          @Override
          public void refused(String reason) {
            concurrentRequests--;
            if (!term.isClosed()) {
              transition(rental, RentalIntent.State.SETTLED, "refused: " + reason);
              host.optionExhausted(rental.request().option());
            }
          }

          @Override
          public void unanswered(String reason) {
            concurrentRequests--;
            if (!term.isClosed()) {
              // The request may have been executed or may be executed later. Repeating the same
              // request returns the result and rents nothing twice.
              rental.retryAt(term.nowMicros() + RETRY_DELAY_MICROS);
              transition(rental, RentalIntent.State.DURABLE, reason);
            }
          }
        });
  }

  private void granted(RentalIntent rental, List<String> machines) {
    transition(rental, RentalIntent.State.GRANTED, "granted=" + machines.size());
    rental.addMachines(machines);
    trackMachines(rental);
    if (machines.size() < rental.request().count()) {
      host.optionExhausted(rental.request().option());
    }
    if (machines.isEmpty()) {
      transition(rental, RentalIntent.State.SETTLED, "cloud granted no machines");
    } else if (open.containsKey(rental.requestId())) {
      records.write(rental);
      onProgress.run();
    }
  }

  private void trackMachines(RentalIntent rental) {
    long ageMicros = Math.max(0, term.wallClockMicros() - rental.decidedWallClockMicros());
    List<String> booting = new ArrayList<>();
    for (String machine : rental.machines()) {
      byMachine.put(machine, rental);
      if (!isReleasing.test(machine)) {
        booting.add(machine);
      }
    }
    host.machinesBooting(rental.request(), booting, ageMicros);
    rental.machines().stream()
        .filter(machine -> host.isRegistered(machine) || host.isTerminated(machine))
        .toList()
        .forEach(this::machineSettled);
  }

  /**
   * Records that a machine is registered or terminated. A later leader then does not need its
   * rental record.
   */
  void machineSettled(String machine) {
    RentalIntent rental = byMachine.get(machine);
    if (rental != null && rental.settle(machine)) {
      transition(rental, RentalIntent.State.SETTLED, "all machines registered or terminated");
    }
  }

  /**
   * Records that a machine is terminated. Its rental record is rewritten without the machine, so
   * that a later leader does not count it as booting.
   */
  void machineTerminated(String machine) {
    machineSettled(machine);
    RentalIntent rental = byMachine.remove(machine);
    if (rental != null) {
      records.write(rental);
    }
  }

  private void transition(RentalIntent rental, RentalIntent.State next, String reason) {
    if (term.isClosed()) {
      return;
    }
    host.info(
        "rental request="
            + rental.requestId()
            + " "
            + rental.state()
            + " -> "
            + next
            + ", "
            + rental.describe()
            + " term="
            + term.number()
            + ": "
            + reason);
    rental.transition(next);
    if (next == RentalIntent.State.SETTLED) {
      open.remove(rental.requestId());
      rental.machines().forEach(machine -> byMachine.remove(machine, rental));
      records.remove(rental);
      onProgress.run();
    }
  }
}
