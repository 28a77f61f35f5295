package org.eiderstair.core.capacity;

import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.workers.WorkerManager;

/** Takes machines out of use and has them released. */
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

  /** Takes a machine out of use and releases it; the reason is logged. */
  void release(Machine machine, String reason) {
    sink.info("scaling in machine=" + machine.id() + ": " + reason + ", term=" + term);
    stopUsing(machine);
    provisioning.scaleIn(machine.id());
  }

  /** The cloud reports a machine as failed: it is released whatever may be on it. */
  void releaseFailed(Machine machine) {
    stopUsing(machine);
    machine.setPresumedDead(false);
    provisioning.scaleIn(machine.id());
  }

  /** Nothing is placed on the machine any more; what it runs goes on until it is deleted. */
  void stopUsing(Machine machine) {
    workers.drain(machine);
    machine.terminate();
  }

  /** Keeps a machine that was presumed dead, if it can still be kept. */
  void cancel(Machine machine) {
    machine.setPresumedDead(false);
    provisioning.cancelScaleIn(machine.id());
  }
}
