package org.eiderstair.core.provisioning;

import java.util.List;
import java.util.function.Consumer;
import org.eiderstair.core.record.StoredValue;

/** What {@link ProvisioningController} needs of the leader: state service, cloud, machines, log. */
public interface ProvisioningHost {
  /**
   * Writes a record on condition that this term still holds the leader key.
   *
   * @param onDurable runs once the record is written; never if this node has been replaced
   */
  void put(String key, StoredValue value, Runnable onDurable);

  /** Removes a record, on the same condition. */
  void remove(String key);

  /** Whether one more cloud request is within the rate limit and this leader's authority. */
  boolean mayCallCloud();

  /** Asks the cloud for machines. */
  void requestMachines(RentalRequest request, RentalResponseHandler handler);

  /** Asks the cloud to delete machines. */
  void deleteMachines(List<String> machines, Consumer<DeletionResult> callback);

  /**
   * The cloud has rented machines, which are booting.
   *
   * @param ageMicros the time since the rental was decided
   */
  void machinesBooting(RentalRequest request, List<String> machines, long ageMicros);

  /** A rental brought fewer machines than it asked for, or none. */
  void optionExhausted(RentalOption option);

  /** The cloud has confirmed that a machine is deleted. */
  void machineTerminated(String machine);

  /** A machine that was being released is in use again. */
  void releaseCancelled(String machine);

  /** Whether a machine is in the durable list of registered workers. */
  boolean isRegistered(String machine);

  /** Whether the deletion of a machine was confirmed in this term. */
  boolean isTerminated(String machine);

  /** Logs an ordinary event. */
  void info(String text);

  /** Logs a fault. */
  void error(String text);
}
