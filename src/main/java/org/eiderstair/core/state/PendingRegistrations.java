package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.WorkerRecord;

/** Registrations of workers that still have to be written or removed. */
final class PendingRegistrations {
  private final Replica replica;
  private final Consumer<String> onRegistered;
  private final Map<String, Machine> toRegister = new LinkedHashMap<>();
  private final Set<String> toUnregister = new LinkedHashSet<>();

  /**
   * @param onRegistered receives the name of each machine whose registration has become durable
   */
  PendingRegistrations(Replica replica, Consumer<String> onRegistered) {
    this.replica = replica;
    this.onRegistered = onRegistered;
  }

  /** Schedules the registration of a worker; replaces a pending removal. */
  void register(Machine machine) {
    toRegister.put(machine.id(), machine);
    toUnregister.remove(machine.id());
  }

  /** Cancels a pending registration and schedules the removal of a known one. */
  void unregister(String machine) {
    toRegister.remove(machine);
    if (replica.isRegistered(machine)) {
      toUnregister.add(machine);
    }
  }

  /** Adds pending registrations, then pending removals, as far as the batch has room. */
  void addTo(WriteBatch batch) {
    for (Machine machine : new ArrayList<>(toRegister.values())) {
      if (!batch.reserve(1)) {
        return;
      }
      addRegistration(batch, machine);
    }
    for (String machine : new ArrayList<>(toUnregister)) {
      Replica.RegisteredWorker known = replica.registeredWorker(machine);
      if (known == null) {
        toUnregister.remove(machine);
        continue;
      }
      if (!batch.reserve(1)) {
        return;
      }
      batch.require(StateKeys.worker(machine), known.version());
      batch.remove(StateKeys.worker(machine));
      batch.whenDurable(() -> toUnregister.remove(machine));
    }
  }

  private void addRegistration(WriteBatch batch, Machine machine) {
    String id = machine.id();
    Replica.RegisteredWorker known = replica.registeredWorker(id);
    batch.require(StateKeys.worker(id), known == null ? Request.Condition.ABSENT : known.version());
    batch.put(
        StateKeys.worker(id),
        new WorkerRecord(machine.address(), machine.typeName(), machine.zone(), machine.isSpot()));
    batch.whenDurable(
        () -> {
          toRegister.remove(id);
          onRegistered.accept(id);
        });
  }
}
