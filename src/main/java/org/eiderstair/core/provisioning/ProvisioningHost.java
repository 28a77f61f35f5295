package org.eiderstair.core.provisioning;

import java.util.List;
import java.util.function.Consumer;
import org.eiderstair.core.record.StoredValue;

/**
 * The services that the leader provides to {@link ProvisioningController}: the state service, the
 * cloud, the known machines and the log.
 */
public interface ProvisioningHost {
  /**
   * Writes a record on condition that this term still holds the leader key.
   *
   * @param onDurable runs once the record is durable; never runs if this leader was replaced
   */
  void put(String key, StoredValue value, Runnable onDurable);

  /** Removes a record on condition that this term still holds the leader key. */
  void remove(String key);

  /** Returns whether the rate limit and this leader's authority allow one more cloud request. */
  boolean mayCallCloud();

  /** Requests machines from the cloud. */
  void requestMachines(RentalRequest request, RentalResponseHandler handler);

  /** Requests the deletion of machines from the cloud. */
  void deleteMachines(List<String> machines, Consumer<DeletionResult> callback);

  /**
   * Reports the machines that the cloud granted to a rental and that are booting.
   *
   * @param machines the ids of the machines, without those that are being released
   * @param ageMicros the time since the rental was decided
   */
  void machinesBooting(RentalRequest request, List<String> machines, long ageMicros);

  /** Reports that a rental returned fewer machines than requested, or none. */
  void optionExhausted(RentalOption option);

  /** Reports that the cloud confirmed the deletion of a machine. */
  void machineTerminated(String machine);

  /** Reports that the release of a machine was cancelled, so the machine may be used again. */
  void releaseCancelled(String machine);

  /** Returns whether a machine is in the durable list of registered workers. */
  boolean isRegistered(String machine);

  /** Returns whether the deletion of a machine was confirmed in this term. */
  boolean isTerminated(String machine);

  /** Logs a message at level info. */
  void info(String text);

  /** Logs a message at level error. */
  void error(String text);
}
