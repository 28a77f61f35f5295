package org.eiderstair.core.capacity;

import java.util.List;
import java.util.function.Consumer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.provisioning.DeletionResult;
import org.eiderstair.core.provisioning.ProvisioningHost;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.provisioning.RentalRequest;
import org.eiderstair.core.provisioning.RentalResponseHandler;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;
import org.eiderstair.core.workers.WorkerManager;

/** Connects provisioning to the leader's durable writes, cloud requests, machines and log. */
final class LeaderProvisioningHost implements ProvisioningHost {
  private static final Runnable NO_OP = () -> {};

  /**
   * Delay from an unexpected machine loss to the next capacity decision, so that simultaneous
   * losses are handled together.
   */
  private static final long LOSS_DECISION_DELAY_MICROS = 100_000;

  private final EffectSink sink;
  private final Replica replica;
  private final WorkerManager workers;
  private final StateWriter stateWriter;
  private final CloudCalls cloud;
  private final PendingMachines pendingMachines;
  private final RentalOptionSelector selector;
  private final CapacityClock clock;

  LeaderProvisioningHost(
      EffectSink sink,
      Replica replica,
      WorkerManager workers,
      StateWriter stateWriter,
      CloudCalls cloud,
      PendingMachines pendingMachines,
      RentalOptionSelector selector,
      CapacityClock clock) {
    this.sink = sink;
    this.replica = replica;
    this.workers = workers;
    this.stateWriter = stateWriter;
    this.cloud = cloud;
    this.pendingMachines = pendingMachines;
    this.selector = selector;
    this.clock = clock;
  }

  @Override
  public void put(String key, StoredValue value, Runnable onDurable) {
    stateWriter.putProvisioningRecord(key, value, onDurable);
  }

  @Override
  public void remove(String key) {
    stateWriter.removeProvisioningRecord(key, NO_OP);
  }

  @Override
  public boolean mayCallCloud() {
    return cloud.mayChange();
  }

  @Override
  public void requestMachines(RentalRequest rental, RentalResponseHandler handler) {
    RentalOption option = rental.option();
    cloud.change(
        new Request.CloudRent(
            rental.requestId(), option.type(), option.zone(), option.spot(), rental.count()),
        reply -> {
          rentalAnswered(rental, reply, handler);
          clock.decideWithin(0);
        });
  }

  private void rentalAnswered(RentalRequest rental, Reply reply, RentalResponseHandler handler) {
    if (reply instanceof Reply.NoResponse) {
      handler.unanswered(reply.toString());
      return;
    }
    pendingMachines.remove(rental);
    if (reply instanceof Reply.Rented rented) {
      handler.granted(rented.machines());
    } else if (reply instanceof Reply.Refused) {
      handler.refused(reply.toString());
    } else {
      handler.unanswered(reply.toString());
    }
  }

  @Override
  public void deleteMachines(List<String> machines, Consumer<DeletionResult> callback) {
    cloud.change(
        new Request.CloudDelete(machines), reply -> callback.accept(deletionResult(reply)));
  }

  private static DeletionResult deletionResult(Reply reply) {
    if (reply instanceof Reply.Applied) {
      return DeletionResult.CONFIRMED;
    }
    return reply instanceof Reply.Refused ? DeletionResult.REFUSED : DeletionResult.NO_ANSWER;
  }

  @Override
  public void machinesBooting(RentalRequest rental, List<String> machines, long ageMicros) {
    RentalOption option = rental.option();
    pendingMachines.remove(rental);
    for (String id : machines) {
      if (!workers.machines().containsKey(id) && !workers.isTerminated(id)) {
        Machine machine = workers.addBooting(id, null, option.type(), option.zone(), option.spot());
        machine.setCreatedMicros(clock.nowMicros() - ageMicros);
      }
    }
  }

  @Override
  public void optionExhausted(RentalOption option) {
    selector.markExhausted(option);
  }

  @Override
  public void machineTerminated(String id) {
    Machine machine = workers.machines().get(id);
    if (machine != null && machine.isPresumedDead()) {
      // The cloud may have capacity again for an option that it refused. Otherwise replacements
      // wait until the refusal is 15 s old, as seen with 350 machines after a zone partition. The
      // next decision rents replacements for demand only; a lost idle machine needs none.
      selector.clearExhausted(
          new RentalOption(machine.typeName(), machine.zone(), machine.isSpot()));
      clock.decideWithin(LOSS_DECISION_DELAY_MICROS);
    }
    workers.markTerminated(id);
  }

  @Override
  public void releaseCancelled(String machine) {
    workers.cancelTermination(machine);
  }

  @Override
  public boolean isTerminated(String machine) {
    return workers.isTerminated(machine);
  }

  @Override
  public boolean isRegistered(String machine) {
    return replica.isRegistered(machine);
  }

  @Override
  public void info(String text) {
    sink.info(text);
  }

  @Override
  public void error(String text) {
    sink.error(text);
  }
}
