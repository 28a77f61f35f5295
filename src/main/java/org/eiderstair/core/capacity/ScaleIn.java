package org.eiderstair.core.capacity;

import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.workers.WorkerManager;

/** Stops placing tasks on machines and requests their release from provisioning. */
final class ScaleIn {
  private final EffectSink sink;
  private final WorkerManager workers;
  private final ProvisioningController provisioning;
  private final long term;

  ScaleIn(EffectSink sink, WorkerManager workers, ProvisioningController provisioning, long term) {
    this.sink = sink;
    this.workers = workers;
    this.provisioning = provisioning;
    this.term = term;
  }

  /** Stops using a machine, releases it and logs the reason. */
  void release(Machine machine, String reason) {
    sink.info("scaling in machine=" + machine.id() + ": " + reason + ", term=" + term);
    stopUsing(machine);
    provisioning.scaleIn(machine.id());
  }

  /** Releases a machine that the cloud reports as failed, even if tasks may be on it. */
  void releaseFailed(Machine machine) {
    stopUsing(machine);
    machine.setPresumedDead(false);
    provisioning.scaleIn(machine.id());
  }

  /** Stops placing tasks on the machine. Its running tasks continue until it is deleted. */
  void stopUsing(Machine machine) {
    workers.drain(machine);
    machine.terminate();
  }

  /** Cancels the release of a machine that was presumed dead, if that is still possible. */
  void cancel(Machine machine) {
    machine.setPresumedDead(false);
    provisioning.cancelScaleIn(machine.id());
  }
}
